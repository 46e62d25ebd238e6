package sched

import "time"

// A task is stopped this long, beside the time that a stop takes, before its worker may leave.
const drainStopMargin = 300 * time.Millisecond

// leaveDraining stops, on workers that are about to leave, the tasks that would otherwise end with them: those that last, as
// soon as there is room elsewhere, and just before the end those that save their progress.
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

// leavesBefore tells whether an attempt should be stopped now, since its worker leaves before it ends.
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
