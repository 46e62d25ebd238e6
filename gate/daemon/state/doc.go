// Package state keeps the gate's fold of the platform's log: one goroutine owns the folder, all others read its published states.
package state
