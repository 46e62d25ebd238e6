// Package fold applies the platform's log entries, in order and deterministically, to the state that all gates share.
package fold
