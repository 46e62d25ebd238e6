// Package route decides which worker of a pool gets a request, when a request may be tried again, and whether a job
// or the workers are to blame for its failures.
//
// One goroutine owns each value; none reads a clock. The calls, in the order in which a dispatcher uses them:
//
//	b := route.New(route.Options{EjectedPercent: n})      // 0: no worker is ever ejected
//	t := route.NewTarget(name, address, slots, connections)
//	b.SetTargets(targets []Target)                        // keeps the state of targets whose name and address stay
//	t, ok := b.Pick(now, exclude)                         // not ok: none has room; a nil exclude excludes none
//	b.Started(name)                                       // right after Pick
//	b.Ended(name, result Result, took, now)               // Good, Failed, Refused, Unreached or Neutral
//	b.ReportLoad(name, running int, now)                  // all that the worker says it runs, ours included
//	b.Healthy(name) bool; b.Free(now) int; b.Slots() int; b.Snapshot(now) []TargetSnapshot
//
//	var budget route.Budget                               // or NewBudget(percent)
//	budget.Deposit()                                      // for each first try
//	ok := budget.Withdraw()                               // before each further try
//
//	var blame route.Blame                                 // or NewBlame(workers)
//	setAside := blame.Failed(job, worker, healthy)        // healthy: func(worker string) bool, as by Balancer.Healthy
//	blame.FailedOn(job, worker) bool                      // for exclude
//	blame.Forget(job)                                     // the job ended well or was cancelled
package route
