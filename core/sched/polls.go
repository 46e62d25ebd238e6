package sched

import (
	"slices"
	"time"
)

func (sc *Scheduler) applyPoll(now time.Time, res PollResult) {
	w, found := sc.workers[res.Order.Worker]
	if !found {
		return
	}
	w.pollInFlight = false
	if res.Order.Lease > 0 {
		w.renewalsInFlight = max(0, w.renewalsInFlight-1)
		sc.extendLeaseExpiry(w, res.GrantedAt)
	}
	switch res.Answer {
	case AnswerOK:
		sc.applyPollAnswer(now, w, res)
	case AnswerFenced:
		sc.fenced = true
	case AnswerWrongIncarnation:
		sc.removeWorker(now, w, "another worker answers at its address")
	default:
		w.unanswered++
		w.nextPollAt = now.Add(silentPollInterval)
		if w.unanswered == maxUnanswered {
			sc.logDecision(now, "worker-silent", "", w.id, res.Answer.String())
		}
	}
}

// heard takes over what a worker says.
func (sc *Scheduler) applyPollAnswer(now time.Time, w *worker, res PollResult) {
	if res.Incarnation != 0 && w.incarnation != 0 && res.Incarnation != w.incarnation {
		sc.applyRestart(now, w, res.Incarnation)
	}
	if res.Incarnation != 0 {
		w.incarnation = res.Incarnation
	}
	if w.unanswered >= maxUnanswered {
		sc.logDecision(now, "worker-answers", "", w.id, "")
	}
	if !w.verified || w.unanswered > 0 {
		sc.markPoolDirty(w.entry.Pool)
	}
	w.unanswered, w.lastAnswerAt = 0, now
	fresh := !w.verified
	w.verified = true
	for _, e := range res.Ended {
		sc.applyEnd(now, w, e)
	}
	listed := make(map[runKey]bool, len(res.Active))
	for _, a := range res.Active {
		key := runKey{a.Task, a.Attempt}
		listed[key] = true
		sc.applyActive(now, w, key, a)
	}
	if !res.Partial {
		sc.endMissingRuns(now, w, listed, res.SentAt)
	}
	sc.adjustThrottling(w)
	w.nextPollAt = now.Add(sc.pollInterval())
	if fresh || len(res.Ended) >= maxEndsPerPoll {
		sc.pollSoon(now, w)
	}
}

// lookSoon lets the worker be looked at without waiting for its turn.
func (sc *Scheduler) pollSoon(now time.Time, w *worker) {
	w.nextPollAt, sc.fullPassDue = now, true
}

func (sc *Scheduler) applyEnd(now time.Time, w *worker, e EndedRun) {
	if e.Number <= w.lastEndSeen {
		return
	}
	w.lastEndSeen = e.Number
	sc.workersWithNewEnds[w] = true
	if r := w.runs[runKey{e.Task, e.Attempt}]; r != nil {
		sc.endRun(now, r, e.Outcome, e.Checkpoint)
		return
	}
	sc.applyLateEnd(now, e)
}

// lateEnd takes over that a task is done although its attempt was given up before.
func (sc *Scheduler) applyLateEnd(now time.Time, e EndedRun) {
	j, known := sc.jobs[e.Task.Job]
	if !known || e.Outcome != AttemptDone || !j.isOpen() {
		return
	}
	t := j.taskByID(e.Task)
	if t == nil || t.done || t.step.spec.LongRunning || e.Attempt > t.attempts {
		return
	}
	record := TaskEnded{Task: e.Task, Attempt: e.Attempt, Outcome: AttemptDone}
	sc.appendRecord(record)
	sc.applyRunEnd(t, record, now)
	sc.stopOtherRuns(now, t)
}

// takeActive notes that an attempt runs; one that should not is stopped.
func (sc *Scheduler) applyActive(now time.Time, w *worker, key runKey, a ActiveRun) {
	r := w.runs[key]
	if r == nil {
		sc.orderImmediately(StopTask{Worker: w.id, Task: a.Task, Attempt: a.Attempt})
		return
	}
	r.firstMissing = time.Time{}
	if r.phase != runConfirmed {
		sc.confirmStart(now, r)
	}
	if a.Checkpoint != "" && a.Checkpoint != r.task.checkpoint {
		r.task.checkpoint = a.Checkpoint
		sc.shareCheckpoint(r.task)
	}
	sc.recordProgress(now, r, a)
	if !r.stopping && (r.task.done || !r.task.job().isOpen()) {
		sc.stopRun(now, r)
	}
}

// settle ends the attempts that a worker would have listed if it had them.
func (sc *Scheduler) endMissingRuns(now time.Time, w *worker, listed map[runKey]bool, sentAt time.Time) {
	for _, r := range slices.Clone(w.runList) {
		if listed[r.key()] {
			continue
		}
		if sc.isProvenAbsent(w, r, sentAt) {
			sc.endRun(now, r, AttemptLost, "")
		}
	}
}

// surelyAbsent tells whether a worker whose answer to a look does not list the attempt does not have it. While it is being
// stopped, by this owner or the one before, it is in no list until it has ended: then a look after the stop's time tells.
func (sc *Scheduler) isProvenAbsent(w *worker, r *run, sentAt time.Time) bool {
	mayBeStopping := r.phase == runInherited || r.stopping && !r.stopAcked
	switch {
	case r.absenceValidAfter.IsZero() && r.phase != runInherited, !sentAt.After(r.absenceValidAfter):
		return false
	case !mayBeStopping:
		return true
	case r.firstMissing.IsZero():
		r.firstMissing = sentAt
		w.recheckAt = sentAt.Add(sc.options.StopTimeout + stopListingDelay)
		return false
	default:
		return sentAt.After(r.firstMissing.Add(sc.options.StopTimeout + stopListingDelay))
	}
}

// reborn notes that a worker started anew under its id: it holds nothing of before. What was begun there may be of its new
// life all the same, since the answer to a start does not tell lives apart; the lists of a look that is sent from now on do.
func (sc *Scheduler) applyRestart(now time.Time, w *worker, born int64) {
	sc.logDecision(now, "worker-reborn", "", w.id, "")
	w.lastEndSeen, w.lastEndStored, w.faults = 0, 0, 0
	w.incarnation = born
	for _, r := range w.runList {
		if !r.stopping && (r.phase == runUnknown || r.phase == runOrdered) {
			// The order may still arrive, and the new life would take it.
			sc.stopRun(now, r)
		}
	}
}
