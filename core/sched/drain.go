package sched

import "time"

// drainStopMargin is added to the stop timeout: a task that saves its progress is stopped this much before a draining worker
// may leave.
const drainStopMargin = 300 * time.Millisecond

// stopTasksOnDrainingWorkers stops tasks that would otherwise be cut off when their draining worker leaves, if another worker
// has room: long-running tasks at once, tasks that save their progress as late as possible.
func (sc *Scheduler) stopTasksOnDrainingWorkers(now time.Time) {
	for _, w := range sc.workersByID {
		if !w.entry.Draining || !w.listed || !w.verified || w.unanswered > 0 {
			continue
		}
		for _, r := range w.runList {
			if sc.shouldStopBeforeDrain(now, w, r) && sc.canRunElsewhere(now, r) {
				sc.logDecision(now, "task-leaves-draining", r.task.id().String(), w.id, "")
				sc.stopRun(now, r)
			}
		}
	}
}

// shouldStopBeforeDrain reports whether the run on a draining worker should be stopped now. Batch tasks without checkpoints
// are not stopped, since they may still finish.
func (sc *Scheduler) shouldStopBeforeDrain(now time.Time, w *worker, r *run) bool {
	spec := r.spec()
	switch {
	case r.stopping || r.phase != runConfirmed || spec.Gang:
		return false
	case spec.LongRunning:
		return true
	case !spec.Checkpoints:
		return false
	default:
		return !now.Before(w.staysUntil.Add(-sc.options.StopTimeout - drainStopMargin))
	}
}
