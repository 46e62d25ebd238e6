package sched

// Counters counts what the machine did since it was made.
type Counters struct {
	started       uint64
	refusedStarts uint64
	ended         [AttemptLost + 1]uint64
}

// Started returns how many attempts were ordered.
func (c Counters) Started() uint64 { return c.started }

// RefusedStarts returns how many attempts workers refused to start.
func (c Counters) RefusedStarts() uint64 { return c.refusedStarts }

// Ended returns how many attempts ended in that way.
func (c Counters) Ended(outcome AttemptOutcome) uint64 { return c.ended[outcome] }

// Counters returns what the machine did since it was made.
func (sc *Scheduler) Counters() Counters { return sc.counters }
