// Package event keeps a bounded timeline of a process's actions, timestamped by a hybrid logical clock.
package event
