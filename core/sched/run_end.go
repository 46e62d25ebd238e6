package sched

import (
	"slices"
	"time"
)

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
	sc.removeWorkerIfUnused(w)
}

// removeWorkerIfUnused removes a worker that is not listed, has no attempts and no poll in flight.
func (sc *Scheduler) removeWorkerIfUnused(w *worker) {
	if !w.listed && len(w.runs) == 0 && !w.pollInFlight {
		delete(sc.workers, w.id)
		sc.workersByID = slices.DeleteFunc(sc.workersByID, func(other *worker) bool { return other == w })
	}
}
