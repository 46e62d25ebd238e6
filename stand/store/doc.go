// Package store is the stand's append-only log: streams with offsets, retention by age and number of entries, and fault
// injection.
package store
