package sched

import "time"

const (
	// A task is overdue when it has run for this many times its estimate, and a while more.
	overdueFactor = 2.5
	overdueSlack  = 700 * time.Millisecond
	// Estimates below this are taken for it.
	minEstimate = 300 * time.Millisecond
)

// rescue stops the overdue tasks of stalled workers, so that they run elsewhere.
func (sc *Scheduler) restartStalled(now time.Time) {
	for _, w := range sc.workersByID {
		if !w.listed || !w.verified || w.unanswered > 0 {
			continue
		}
		if r := w.stalledRun(now); r != nil && sc.canRunElsewhere(now, r) {
			sc.logDecision(now, "worker-stalls", r.task.id().String(), w.id, "overdue, and nothing has ended well there for as long")
			w.quarantinedUntil, w.lastFaultAt, w.faults = now.Add(quarantineTime), now, faultsToQuarantine
			sc.stopOverdue(now, w)
		}
	}
}

// stalled returns the oldest overdue task of a worker on which nothing has ended well since it began, or for as long while
// several are overdue; nil if it is not stalled.
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

// overdue tells whether a task that ends by itself runs for much longer than estimated; each rescue doubles the patience.
func (r *run) isOverdue(now time.Time) bool {
	spec := r.spec()
	if spec.LongRunning || spec.Gang || r.stopping || r.phase != runConfirmed {
		return false
	}
	return now.Sub(r.startedAt) > r.overdueAfter()
}

// patience returns how long a task may run before it is overdue.
func (r *run) overdueAfter() time.Duration {
	patience := time.Duration(overdueFactor*float64(max(r.spec().Estimate(), minEstimate))) + overdueSlack
	return patience << min(r.task.rescues, maxDoublings)
}

// mostDoublings bounds the patience with a task that is long indeed.
const maxDoublings = 6

// canRunElsewhere tells whether another worker of the pool has room for the task.
func (sc *Scheduler) canRunElsewhere(now time.Time, r *run) bool {
	needs := r.spec().Reservation()
	for _, w := range sc.workersByID {
		if w != r.worker && w.entry.Pool == r.worker.entry.Pool && w.isSchedulable(now) && !w.hasRecentFaults(now) && needs.FitsWithin(w.free()) {
			return true
		}
	}
	return false
}

func (sc *Scheduler) stopOverdue(now time.Time, w *worker) {
	for _, r := range w.runList {
		if r.isOverdue(now) {
			r.task.rescues++
			r.task.avoidWorker = w.id
			sc.stopRun(now, r)
		}
	}
}
