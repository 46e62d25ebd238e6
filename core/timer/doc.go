// Package timer sends periodic ticks to its subscribers and counts pauses during which the process did not run.
package timer
