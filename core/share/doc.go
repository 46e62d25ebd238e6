// Package share decides which waiting request of a pool starts next, so that every team gets its share of a full pool.
//
// One goroutine owns a Scheduler; it reads no clock. The calls, in the order in which a dispatcher uses them:
//
//	var s share.Scheduler                              // the zero value works; New returns one too
//	s.SetSlots(slots int)                              // slots that the dispatcher fills; 0 if unknown
//	s.SetTeam(name string, weight, queueLength int)    // on each configuration; weight 0 counts as 1
//	known := s.SetWeight(name string, weight int)      // of a team that waits or runs, when its share changed
//	code := s.Add(item Item, now time.Time)            // OK, QueueFull, DeadlineUnmeetable, AlreadyClaimed
//	item, ok := s.Next(now, mayStart)                  // on a free slot; the item counts as running from now on
//	s.Unblock(team string)                             // the team's limit has room again (Ended does it too)
//	known := s.Ended(id string, ran time.Duration, now time.Time) // ran 0: it never started, nothing is charged
//	s.Started(item Item, since, now time.Time) bool    // adopts work that runs already, after a take-over
//	removed := s.Remove(id string)                     // a waiting item whose caller left
//	items := s.Expire(now time.Time)                   // waiting items that can't meet their deadline: answer as not run
//	items := s.Take(team string, n int, now time.Time) // waiting items for another dispatcher of the pool
//	s.Service(team string) float64                     // slot-seconds charged here; prepaid seconds may be refunded
//	s.Correct(team string, foreign float64)            // slot-seconds given elsewhere in the pool since the last call
//	s.SetLongReserve(percent int)                      // slots that work which runs long leaves free; default 25
//	s.Waiting() int; s.WaitingOf(team) int; s.Running() int; s.Snapshot() []TeamSnapshot
//
// One scheduler for a whole pool keeps shares closest (docs/DECISIONS.md), so let one gate dispatch a pool while the
// data centres see each other. Schedulers of parts of a pool need Service and Correct every 250 ms, and Take and Add so
// that each has its part of every team's waiting items.
//
// A team that mayStart refuses is asked again after RetryDelay at the earliest, or at once after Unblock or one of its
// items ended. An item that a worker refused is handed back by Ended with 0 and Add with its first Arrived time.
package share
