// Package lead runs the scheduler on the gate that owns it: it takes the journal over, stores what the scheduler
// records and carries its orders to workers and machines.
package lead
