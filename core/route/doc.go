// Package route decides which worker of a pool gets a request, when a request may be retried, and whether a job or its
// workers are to blame for failures.
//
// The types are not safe for concurrent use and never read the clock. A dispatcher calls them in this order:
//
//	b := route.New(route.Options{MaxEjectedPercent: n})   // 0: no worker is ever ejected
//	t := route.NewTarget(name, address, slots, connections)
//	b.SetTargets(targets []Target)                        // keeps the state of targets with unchanged name and address
//	t, ok := b.Pick(now, exclude)                         // not ok: no free slot; a nil exclude excludes none
//	b.RecordStart(name)                                   // right after Pick
//	b.RecordResult(name, result Result, took, now)        // Succeeded, Failed, Refused, Unreachable or Inconclusive
//	b.ReportLoad(name, running int, now)                  // all requests that the worker runs, ours included
//	b.IsHealthy(name) bool; b.FreeSlots(now) int; b.Slots() int; b.Snapshot(now) []TargetSnapshot
//
//	var budget route.RetryBudget                          // or NewRetryBudget(percent)
//	budget.Deposit()                                      // for each first attempt
//	ok := budget.TryWithdraw()                            // before each retry
//
//	var tracker route.FailureTracker                      // or NewFailureTracker(workers)
//	blamed := tracker.RecordFailure(job, worker, healthy) // healthy: func(worker string) bool, such as Balancer.IsHealthy
//	tracker.HasFailedOn(job, worker) bool                 // for exclude
//	tracker.Forget(job)                                   // the job succeeded or was cancelled
package route
