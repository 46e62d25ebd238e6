// Package lead runs the scheduler on the gate that owns it: it replays the journal, stores the scheduler's records and
// dispatches its orders to workers and machines.
package lead
