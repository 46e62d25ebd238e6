// Package proc holds what every part of a process shares: its name, incarnation, timer service and time line.
package proc
