// Package share is a weighted fair queue: it decides which waiting request of a pool starts next, so that every team gets
// its share of a full pool.
//
// A Scheduler is not safe for concurrent use and never reads the clock. A dispatcher calls it in this order:
//
//	var s share.Scheduler                              // the zero value works; New returns one too
//	s.SetSlots(slots int)                              // slots that the dispatcher fills; 0 if unknown
//	s.SetTeam(name string, weight, queueLength int)    // on each configuration change; weight 0 counts as 1
//	known := s.SetWeight(name string, weight int)      // when the share of a team with waiting or running items changed
//	code := s.Add(item Item, now time.Time)            // OK, QueueFull, DeadlineUnmeetable, AlreadyClaimed
//	item, ok := s.Next(now, mayStart)                  // when a slot is free; the item then counts as running
//	s.Unblock(team string)                             // the team has headroom below its limit again (Finish implies it)
//	known := s.Finish(id string, ran time.Duration, now time.Time) // ran 0: it never started, nothing is charged
//	s.Adopt(item Item, startedAt, now time.Time) bool  // registers running work after a take-over
//	removed := s.Remove(id string)                     // a waiting item whose caller disconnected
//	items := s.Expire(now time.Time)                   // waiting items that can't meet their deadline; answer them as not run
//	items := s.Take(team string, n int, now time.Time) // waiting items for another dispatcher of the pool
//	s.Service(team string) float64                     // slot-seconds charged here; part of them may be refunded later
//	s.AddRemoteService(team string, seconds float64)   // slot-seconds given elsewhere in the pool since the last call
//	s.SetLongRunReserve(percent int)                   // slots that long-running work leaves free; default 25
//	s.Waiting() int; s.TeamWaiting(team) int; s.Running() int; s.Snapshot() []TeamSnapshot
//
// Shares are most accurate with one scheduler for a whole pool (docs/DECISIONS.md), so one gate should dispatch a pool
// while the data centres can reach each other. Schedulers that each manage a part of a pool must exchange Service and
// AddRemoteService every 250 ms, and rebalance with Take and Add so that each holds its part of every team's backlog.
//
// A team that mayStart refuses is retried after RetryDelay at the earliest, or at once after Unblock or Finish. To put
// back an item that a worker refused, call Finish with 0 and then Add with the original Arrived time.
package share
