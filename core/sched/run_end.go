package sched

import (
	"slices"
	"time"
)

// lateStartWait is how long a start order without an answer is waited for after its worker has ended.
const lateStartWait = 2 * time.Second

// endRun records the end of an attempt, and stops attempts that are no longer needed because of it.
func (sc *Scheduler) endRun(now time.Time, r *run, outcome AttemptOutcome, checkpoint string) {
	if outcome == AttemptLost || outcome == AttemptLeaseExpired {
		outcome = r.outcomeOfLost(outcome)
	}
	record := TaskEnded{Task: r.task.id(), Attempt: r.number, Outcome: outcome, Checkpoint: checkpoint}
	sc.appendRecord(record)
	sc.counters.ended[outcome]++
	if outcome == AttemptDone {
		sc.throughput.add(now, r.spec().QuotaUsage().Cores()*r.spec().Estimate().Seconds())
	}
	sc.updateWorkerHealth(now, r, outcome)
	sc.applyRunEnd(r.task, record, now)
	if r.task.done {
		sc.stopRuns(now, r.task)
	}
	if r.task.crashes.isExhausted(r.spec().LongRunning) {
		sc.logDecision(now, "task-given-up", r.task.id().String(), r.worker.id, "workers crash under it")
	}
	if j := r.task.job(); j.finalState.IsFinal() {
		sc.stopJob(now, j)
	}
}

// updateWorkerHealth resets the worker's fault count after a success. After a failure it counts a fault, and quarantines the
// worker after several in a row.
func (sc *Scheduler) updateWorkerHealth(now time.Time, r *run, outcome AttemptOutcome) {
	w := r.worker
	switch outcome {
	case AttemptDone:
		w.faults, w.lastSuccessAt = 0, now
		sc.recordDuration(now, r)
	case AttemptFailed:
		if r.spec().LongRunning && r.phase == runConfirmed && now.Sub(r.startedAt) >= minLongRunningUptime {
			return
		}
		r.task.avoidWorker = w.id
		if !w.hasRecentFaults(now) {
			w.faults = 0
		}
		w.lastFaultAt = now
		if w.faults++; w.faults >= faultsToQuarantine {
			w.quarantinedUntil = now.Add(quarantineTime)
			sc.logDecision(now, "worker-rests", r.task.id().String(), w.id, "failed attempts in a row")
		}
	default:
	}
}

// removeWorker ends all attempts on a worker that is known to be gone.
func (sc *Scheduler) removeWorker(now time.Time, w *worker, reason string) {
	sc.logDecision(now, "worker-gone", "", w.id, reason)
	for _, r := range slices.Clone(w.runList) {
		sc.endRun(now, r, AttemptLost, "")
	}
	w.listed = false
	sc.removeWorkerIfUnused(now, w)
}

// endIncarnation ends the attempts on a worker whose incarnation is known to be gone. The worker may start again under its id, and carry
// out start orders that have had no answer. Their attempts are stopped, and kept until a new incarnation answers, or for lateStartWait.
func (sc *Scheduler) endIncarnation(now time.Time, w *worker, reason string) {
	sc.recordCrash(now, w)
	sc.logDecision(now, "worker-gone", "", w.id, reason)
	w.endedAt = now
	sc.raiseGeneration(w)
	for _, r := range slices.Clone(w.runList) {
		switch {
		case !r.mayStillStart():
			sc.endRun(now, r, AttemptLost, "")
		case !r.stopping:
			sc.stopRun(now, r)
		}
	}
	w.listed = false
	sc.removeWorkerIfUnused(now, w)
}

// mayStillStart reports whether a start order for the run may be carried out yet.
func (r *run) mayStillStart() bool { return r.phase != runConfirmed || r.starts.mayCopyArrive() }

// endLateStarts ends the attempts on workers whose incarnation has ended, and whose start orders have had no answer for lateStartWait.
func (sc *Scheduler) endLateStarts(now time.Time) {
	for _, w := range slices.Clone(sc.workersByID) {
		if w.endedAt.IsZero() || now.Sub(w.endedAt) < lateStartWait {
			continue
		}
		for _, r := range slices.Clone(w.runList) {
			if !r.starts.isInFlight() && now.Sub(r.starts.unansweredAt) >= lateStartWait {
				sc.endRun(now, r, AttemptLost, "")
			}
		}
		sc.removeWorkerIfUnused(now, w)
	}
}

// removeWorkerIfUnused removes a worker that is not listed, has no attempts and no poll in flight.
func (sc *Scheduler) removeWorkerIfUnused(now time.Time, w *worker) {
	if w.listed || len(w.runs) > 0 || w.pollInFlight {
		return
	}
	// If it is listed again, it refuses the calls that were sent to it so far.
	sc.raiseGeneration(w)
	sc.keepFormerLeases(now, w)
	delete(sc.workers, w.id)
	sc.workersByID = slices.DeleteFunc(sc.workersByID, func(other *worker) bool { return other == w })
}
