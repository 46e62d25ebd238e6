package sched

import "mangowing/core/admit"

// Counters counts attempts and new jobs since the scheduler was created.
type Counters struct {
	started       uint64
	refusedStarts uint64
	ended         [AttemptOrphaned + 1]uint64
	offers        [admit.OfferedLate + 1][schedulerOverloaded + 1]uint64
}

// Started returns the number of attempts that were ordered.
func (c Counters) Started() uint64 { return c.started }

// RefusedStarts returns the number of attempts that workers refused to start.
func (c Counters) RefusedStarts() uint64 { return c.refusedStarts }

// Ended returns the number of attempts that ended with the outcome.
func (c Counters) Ended(outcome AttemptOutcome) uint64 { return c.ended[outcome] }

// Offers calls f with the number of new jobs, retries included, of each result ("in-time", "late" or "refused") and cause ("none" unless
// refused). There are none unless jobs are checked against a timeline.
func (c Counters) Offers(f func(result, cause string, count uint64)) {
	for offer, byCause := range c.offers {
		for cause, count := range byCause {
			if count > 0 {
				f(admit.Offer(offer).String(), refusalCause(cause).String(), count)
			}
		}
	}
}

// Counters returns the counts so far.
func (sc *Scheduler) Counters() Counters { return sc.counters }
