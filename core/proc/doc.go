// Package proc holds what all components of a process share: its name, incarnation, timer service, clock and timeline.
package proc
