package sched

import "time"

const (
	// A task is overdue when it has run for this many times its estimate, and a while more.
	overdueFactor = 2.5
	overdueSlack  = 700 * time.Millisecond
	// Estimates below this are taken for it.
	leastEstimate = 300 * time.Millisecond
)

// rescue stops the overdue tasks of stalled workers, so that they run elsewhere.
func (sc *Scheduler) rescue(now time.Time) {
	for _, w := range sc.workersByID {
		if !w.listed || !w.verified || w.silent > 0 {
			continue
		}
		if r := w.stalled(now); r != nil && sc.canRunElsewhere(now, r) {
			sc.decide(now, "worker-stalls", r.task.id().String(), w.id, "overdue, and nothing has ended well there for as long")
			w.rest, w.faulted, w.faults = now.Add(restTime), now, faultsToRest
			sc.stopOverdue(now, w)
		}
	}
}

// stalled returns the oldest overdue task of a worker on which nothing has ended well since it began, or for as long while
// several are overdue; nil if it is not stalled.
func (w *worker) stalled(now time.Time) *run {
	var oldest *run
	n := 0
	for _, r := range w.order {
		if !r.overdue(now) {
			continue
		}
		n++
		if oldest == nil || r.startedAt.Before(oldest.startedAt) {
			oldest = r
		}
	}
	if oldest == nil || w.good.Before(oldest.startedAt) || n > 1 && now.Sub(w.good) > oldest.patience() {
		return oldest
	}
	return nil
}

// overdue tells whether a task that ends by itself runs for much longer than estimated; each rescue doubles the patience.
func (r *run) overdue(now time.Time) bool {
	spec := r.spec()
	if spec.LongRunning || spec.Gang || r.stopping || r.phase != runConfirmed {
		return false
	}
	return now.Sub(r.startedAt) > r.patience()
}

// patience returns how long a task may run before it is overdue.
func (r *run) patience() time.Duration {
	patience := time.Duration(overdueFactor*float64(max(r.spec().Estimate(), leastEstimate))) + overdueSlack
	return patience << min(r.task.rescues, mostDoublings)
}

// mostDoublings bounds the patience with a task that is long indeed.
const mostDoublings = 6

// canRunElsewhere tells whether another worker of the pool has room for the task.
func (sc *Scheduler) canRunElsewhere(now time.Time, r *run) bool {
	needs := r.spec().Reservation()
	for _, w := range sc.workersByID {
		if w != r.worker && w.entry.Pool == r.worker.entry.Pool && w.usable(now) && !w.suspect(now) && needs.FitsWithin(w.free()) {
			return true
		}
	}
	return false
}

func (sc *Scheduler) stopOverdue(now time.Time, w *worker) {
	for _, r := range w.order {
		if r.overdue(now) {
			r.task.rescues++
			r.task.avoidWorker = w.id
			sc.stopRun(now, r)
		}
	}
}
