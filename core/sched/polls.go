package sched

import (
	"slices"
	"strconv"
	"time"
)

func (sc *Scheduler) applyPollResult(now time.Time, res PollResult) {
	w, found := sc.workers[res.Order.Worker]
	if !found {
		return
	}
	if res.Order.Lease > 0 {
		w.renewalsInFlight = max(0, w.renewalsInFlight-1)
		sc.countRenewal(now, w, res.GrantedAt, res.ClockIncarnation)
	}
	if res.Order.Generation < w.polledGeneration {
		// A later poll has been sent meanwhile, whose answer counts.
		return
	}
	w.pollInFlight = false
	switch res.Answer {
	case AnswerOK:
		sc.applyPollAnswer(now, w, res)
	case AnswerFenced:
		sc.applyFence(w.id, res.Order.Generation)
		sc.pollSoon(now, w)
	case AnswerWrongIncarnation:
		if w.answeredAddress != "" && w.answeredAddress != w.entry.Address {
			// The worker answered elsewhere, so this tells more of the entry than of the worker.
			sc.recordUnanswered(now, w, res)
			return
		}
		sc.crashWorker(now, w, "another worker answers at its address")
	default:
		sc.recordUnanswered(now, w, res)
	}
}

func (sc *Scheduler) recordUnanswered(now time.Time, w *worker, res PollResult) {
	w.markUnanswered(now, now.Sub(res.SentAt) >= res.Order.MaxWait+callTimeout)
	w.unanswered++
	w.nextPollAt = now.Add(silentPollInterval)
	w.ackFailed = w.ackFailed || res.Order.AckedThrough > 0
	if res.Order.Lease > 0 || res.Order.AckedThrough > 0 {
		sc.barLateCalls(w, res.Order.Generation)
	}
	if w.unanswered == silentThreshold {
		sc.logDecision(now, "worker-silent", "", w.id, res.Answer.String())
	}
}

// applyPollAnswer updates a worker and its runs from its answer to a poll.
func (sc *Scheduler) applyPollAnswer(now time.Time, w *worker, res PollResult) {
	switch {
	case res.Incarnation == 0 || res.Incarnation == w.incarnation:
		w.lastEndAcked = max(w.lastEndAcked, res.Order.AckedThrough)
		w.ackFailed = w.ackFailed && w.lastEndAcked < w.lastEndStored
	case w.incarnation == 0:
		w.setIncarnation(now, res.Incarnation)
	case res.Incarnation < w.incarnation && !res.SentAt.After(w.incarnationSince):
		// It was given before the worker restarted.
		sc.pollSoon(now, w)
		return
	default:
		sc.applyRestart(now, w, res.Incarnation, "its answer")
	}
	sc.endLateRenewals(now, w, res.Order.Generation)
	if w.unanswered >= silentThreshold {
		sc.logDecision(now, "worker-answers", "", w.id, "")
	}
	if !w.verified || w.unanswered > 0 {
		sc.markPoolDirty(w.entry.Pool)
	}
	w.unanswered, w.lastAnswerAt, w.lastAliveAt, w.endedAt = 0, now, now, time.Time{}
	if res.SentAt.After(w.addressSince) {
		w.answeredAddress = w.entry.Address
	}
	isFirst := !w.verified
	w.verified = true
	defer w.clearUnanswered(res.Order.Generation)
	for _, e := range res.Ended {
		sc.applyEnd(now, w, e)
	}
	listed := make(map[runKey]bool, len(res.Active))
	for _, a := range res.Active {
		key := runKey{a.Task, a.Attempt}
		listed[key] = true
		sc.applyActive(now, w, key, a)
	}
	if len(res.Ended) == 0 && !res.Partial {
		w.lastEndAcked, w.ackFailed = w.lastEndSeen, false
	}
	if !res.Partial {
		sc.endMissingRuns(now, w, listed, res.SentAt, res.Order.Generation)
		sc.forgetZombies(now, w, listed, res.SentAt)
	}
	sc.adjustThrottling(w)
	w.nextPollAt = now.Add(sc.minPollInterval())
	if isFirst || res.MoreEnds || w.lateRenewalsBefore != 0 {
		sc.pollSoon(now, w)
	}
}

// pollSoon makes the worker due for a poll at the next call of Decide.
func (sc *Scheduler) pollSoon(now time.Time, w *worker) {
	w.nextPollAt, sc.fullPassDue = now, true
}

func (sc *Scheduler) applyEnd(now time.Time, w *worker, e EndedRun) {
	if e.Number <= w.lastEndSeen {
		return
	}
	w.lastEndSeen = e.Number
	sc.workersWithNewEnds[w] = true
	if !sc.isStorable(e.Checkpoint) {
		sc.logDecision(now, "checkpoint-too-large", e.Task.String(), w.id, strconv.Itoa(len(e.Checkpoint))+" bytes")
		e.Checkpoint = ""
	}
	if r := w.runs[runKey{e.Task, e.Attempt}]; r != nil {
		sc.endRun(now, r, e.Outcome, e.Checkpoint)
		return
	}
	delete(w.zombies, runKey{e.Task, e.Attempt})
	w.sumZombies()
	sc.applyLateEnd(now, e)
}

// isStorable reports whether a record with the checkpoint fits into the journal. The task goes on from an earlier checkpoint, or
// from its beginning, if it does not.
func (sc *Scheduler) isStorable(checkpoint string) bool {
	return len(checkpoint) <= sc.options.maxTasksBytes()
}

// applyLateEnd completes a task whose attempt had been given up, but succeeded after all.
func (sc *Scheduler) applyLateEnd(now time.Time, e EndedRun) {
	j, known := sc.jobs[e.Task.Job]
	if !known || e.Outcome != AttemptDone || !j.isOpen() {
		return
	}
	t := j.knownTask(e.Task)
	if t == nil || t.done || t.step.spec.LongRunning || e.Attempt > t.attempts {
		return
	}
	record := TaskEnded{Task: e.Task, Attempt: e.Attempt, Outcome: AttemptDone}
	sc.appendRecord(record)
	sc.applyRunEnd(t, record, now)
	sc.stopRuns(now, t)
}

// applyActive updates a run that the worker lists as active. A run that should not be there is stopped.
func (sc *Scheduler) applyActive(now time.Time, w *worker, key runKey, a ActiveRun) {
	r := w.runs[key]
	if r == nil {
		sc.recordZombie(w, key)
		sc.orderStop(w, a.Task, a.Attempt)
		return
	}
	r.missingSince, r.crashOutcome = time.Time{}, AttemptDone
	if r.phase != runConfirmed {
		sc.confirmStart(now, r)
	}
	if a.Checkpoint != "" && a.Checkpoint != r.task.checkpoint && sc.isStorable(a.Checkpoint) {
		r.task.checkpoint = a.Checkpoint
		sc.shareCheckpoint(r.task)
	}
	sc.recordProgress(now, r, a)
	if !r.stopping && (r.task.done || !r.task.job().isOpen()) {
		sc.stopRun(now, r)
	}
}

// endMissingRuns ends the runs that the worker no longer has, as shown by a poll answer that does not list them.
func (sc *Scheduler) endMissingRuns(now time.Time, w *worker, listed map[runKey]bool, sentAt time.Time, generation int64) {
	for _, r := range slices.Clone(w.runList) {
		if listed[r.key()] {
			continue
		}
		if sc.isProvenAbsent(now, w, r, sentAt, generation) {
			sc.endRun(now, r, AttemptLost, "")
		}
	}
}

// isProvenAbsent reports whether a worker does not have the run and refuses to start it, given that its answer to a poll of the
// generation, sent at sentAt, does not list it.
//
// A start order without an answer, or a repeated one that is in flight, is refused once a later generation has arrived. A run that is
// being stopped, by this owner or the previous one, is listed neither as active nor as ended until the stop is complete. Such a run is
// absent only if a poll sent more than the stop timeout after the first answer that lacked it does not list it either: the stop may have
// begun right before that answer, long after its poll was sent.
func (sc *Scheduler) isProvenAbsent(now time.Time, w *worker, r *run, sentAt time.Time, generation int64) bool {
	mayBeStopping := r.phase == runInherited || r.stopping && !r.stopAcked
	switch {
	case r.absenceValidAfter.IsZero() && r.phase != runInherited, !sentAt.After(r.absenceValidAfter):
		return false
	case r.starts.mayArriveAfter(generation):
		return false
	case !mayBeStopping:
		return true
	case r.missingSince.IsZero():
		r.missingSince = now
		w.recheckAt = now.Add(sc.options.stopBound())
		return false
	default:
		return sentAt.After(r.missingSince.Add(sc.options.stopBound()))
	}
}
