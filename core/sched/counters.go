package sched

// Counters counts attempts since the scheduler was created.
type Counters struct {
	started       uint64
	refusedStarts uint64
	ended         [AttemptOrphaned + 1]uint64
}

// Started returns the number of attempts that were ordered.
func (c Counters) Started() uint64 { return c.started }

// RefusedStarts returns the number of attempts that workers refused to start.
func (c Counters) RefusedStarts() uint64 { return c.refusedStarts }

// Ended returns the number of attempts that ended with the outcome.
func (c Counters) Ended(outcome AttemptOutcome) uint64 { return c.ended[outcome] }

// Counters returns the counts so far.
func (sc *Scheduler) Counters() Counters { return sc.counters }
