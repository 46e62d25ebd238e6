package sched

import "time"

const (
	// A task is overdue when it has run for overdueFactor times its estimate plus overdueSlack.
	overdueFactor = 2.5
	overdueSlack  = 700 * time.Millisecond
	// Shorter estimates are raised to this.
	minEstimate = 300 * time.Millisecond
)

// quarantineStalledWorkers quarantines stalled workers and stops their overdue tasks, so that they start again elsewhere.
func (sc *Scheduler) quarantineStalledWorkers(now time.Time) {
	for _, w := range sc.workersByID {
		if !w.answers() {
			continue
		}
		if r := w.stalledRun(now); r != nil && sc.canRunElsewhere(now, r) {
			sc.logDecision(now, "worker-stalls", r.task.id().String(), w.id, "overdue, and nothing has ended well there for as long")
			w.quarantinedUntil, w.lastFaultAt, w.faults = now.Add(quarantineTime), now, faultsToQuarantine
			sc.stopOverdue(now, w)
		}
	}
}

// stalledRun returns the oldest overdue run of a stalled worker, nil if the worker is not stalled. It is stalled if no
// attempt has succeeded there since that run started. With several overdue runs, it is also stalled if none has succeeded
// within that run's overdueAfter.
func (w *worker) stalledRun(now time.Time) *run {
	var oldest *run
	n := 0
	for _, r := range w.runList {
		if !r.isOverdue(now) {
			continue
		}
		n++
		if oldest == nil || r.startedAt.Before(oldest.startedAt) {
			oldest = r
		}
	}
	if oldest == nil || w.lastSuccessAt.Before(oldest.startedAt) || n > 1 && now.Sub(w.lastSuccessAt) > oldest.overdueAfter() {
		return oldest
	}
	return nil
}

// isOverdue reports whether a task that ends by itself has run for much longer than estimated.
func (r *run) isOverdue(now time.Time) bool {
	spec := r.spec()
	if spec.LongRunning || spec.Gang || r.stopping || r.phase != runConfirmed {
		return false
	}
	return now.Sub(r.startedAt) > r.overdueAfter()
}

// overdueAfter returns how long a task may run before it is overdue. The time doubles each time the task was stopped for
// being overdue, since its estimate may simply be too low.
func (r *run) overdueAfter() time.Duration {
	limit := time.Duration(overdueFactor*float64(max(r.spec().Estimate(), minEstimate))) + overdueSlack
	return limit << min(r.task.restarts, maxDoublings)
}

// maxDoublings limits how often overdueAfter doubles for a task that always takes that long.
const maxDoublings = 6

// canRunElsewhere reports whether another worker of the pool, without recent faults, has room for the task.
func (sc *Scheduler) canRunElsewhere(now time.Time, r *run) bool {
	needs := r.spec().Reservation()
	for _, w := range sc.workersByID {
		if w != r.worker && w.entry.Pool == r.worker.entry.Pool && w.isSchedulable(now) && !w.hasRecentFaults(now) && needs.FitsWithin(w.free()) {
			return true
		}
	}
	return false
}

// stopOverdue stops the worker's overdue runs; their tasks avoid the worker.
func (sc *Scheduler) stopOverdue(now time.Time, w *worker) {
	for _, r := range w.runList {
		if r.isOverdue(now) {
			r.task.restarts++
			r.task.avoidWorker = w.id
			sc.stopRun(now, r)
		}
	}
}
