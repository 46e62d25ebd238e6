// Package timer is the one source of periodic work: parts subscribe to it and notices of pauses of the process reach them through it.
package timer
