package sched

import (
	"fmt"
	"time"

	"mangowing/core/setup"
)

// applyRestart updates a worker that has restarted under the same id: its earlier runs are gone. Runs are not ended here,
// because the answer to a start does not name the incarnation, so that a run may belong to the new one. The next poll's
// answer tells which runs the new incarnation has.
func (sc *Scheduler) applyRestart(now time.Time, w *worker, incarnation int64, source string) {
	sc.logDecision(now, "worker-reborn", "", w.id, fmt.Sprintf("%s names incarnation %d after %d", source, incarnation, w.incarnation))
	w.markUnanswered(now, true)
	sc.recordCrash(now, w)
	w.lastEndSeen, w.lastEndStored, w.lastEndAcked, w.faults = 0, 0, 0, 0
	w.ackFailed = false
	w.zombies, w.zombieRoom = nil, setup.Resources{}
	w.setIncarnation(now, incarnation)
	w.endedAt = time.Time{}
	sc.raiseGeneration(w)
	sc.allowForLateRenewals(now, w)
	for _, r := range w.runList {
		// What the former incarnation has stopped, or was stopping, says nothing of this one.
		r.stopAcked, r.missingSince = false, time.Time{}
		if r.stopping || r.phase == runUnknown || r.phase == runOrdered {
			// The start may still arrive, and the new incarnation would execute it.
			sc.stopRun(now, r)
		}
	}
}

// distrust has a worker polled that may have restarted. Which incarnation it is in is not known yet.
func (sc *Scheduler) distrust(now time.Time, w *worker) {
	w.verified, w.endedAt = false, time.Time{}
	sc.raiseGeneration(w)
	sc.allowForLateRenewals(now, w)
	sc.pollSoon(now, w)
}

// setIncarnation stores the incarnation of the worker, which has become known now.
func (w *worker) setIncarnation(now time.Time, incarnation int64) {
	w.incarnation, w.incarnationSince = incarnation, now
}
