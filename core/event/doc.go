// Package event keeps a bounded time line of what a process did, stamped with a hybrid logical clock.
package event
