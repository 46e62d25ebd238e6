package sched

import (
	"slices"
	"time"
)

func (sc *Scheduler) applyHold(now time.Time, rep PollResult) {
	w, found := sc.workers[rep.Order.Worker]
	if !found {
		return
	}
	w.holding = false
	if rep.Order.Lease > 0 {
		w.granting = max(0, w.granting-1)
		sc.granted(w, rep.GrantedAt)
	}
	switch rep.Answer {
	case AnswerOK:
		sc.heard(now, w, rep)
	case AnswerFenced:
		sc.fenced = true
	case AnswerWrongIncarnation:
		sc.gone(now, w, "another worker answers at its address")
	default:
		w.silent++
		w.nextHold = now.Add(silentLook)
		if w.silent == silentCalls {
			sc.decide(now, "worker-silent", "", w.id, rep.Answer.String())
		}
	}
}

// heard takes over what a worker says.
func (sc *Scheduler) heard(now time.Time, w *worker, rep PollResult) {
	if rep.Incarnation != 0 && w.born != 0 && rep.Incarnation != w.born {
		sc.reborn(now, w, rep.Incarnation)
	}
	if rep.Incarnation != 0 {
		w.born = rep.Incarnation
	}
	if w.silent >= silentCalls {
		sc.decide(now, "worker-answers", "", w.id, "")
	}
	if !w.verified || w.silent > 0 {
		sc.markPoolDirty(w.entry.Pool)
	}
	w.silent, w.heard = 0, now
	fresh := !w.verified
	w.verified = true
	for _, e := range rep.Ended {
		sc.takeEnd(now, w, e)
	}
	listed := make(map[runKey]bool, len(rep.Active))
	for _, a := range rep.Active {
		key := runKey{a.Task, a.Attempt}
		listed[key] = true
		sc.takeActive(now, w, key, a)
	}
	if !rep.Partial {
		sc.settle(now, w, listed, rep.SentAt)
	}
	sc.setPaces(w)
	w.nextHold = now.Add(sc.endsGather())
	if fresh || len(rep.Ended) >= endsOfOneCall {
		sc.lookSoon(now, w)
	}
}

// lookSoon lets the worker be looked at without waiting for its turn.
func (sc *Scheduler) lookSoon(now time.Time, w *worker) {
	w.nextHold, sc.fullPassDue = now, true
}

func (sc *Scheduler) takeEnd(now time.Time, w *worker, e EndedRun) {
	if e.Number <= w.seen {
		return
	}
	w.seen = e.Number
	sc.ackedWorkers[w] = true
	if r := w.runs[runKey{e.Task, e.Attempt}]; r != nil {
		sc.endRun(now, r, e.Outcome, e.Checkpoint)
		return
	}
	sc.lateEnd(now, e)
}

// lateEnd takes over that a task is done although its attempt was given up before.
func (sc *Scheduler) lateEnd(now time.Time, e EndedRun) {
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
	sc.end(t, record, now)
	sc.stopOthers(now, t)
}

// takeActive notes that an attempt runs; one that should not is stopped.
func (sc *Scheduler) takeActive(now time.Time, w *worker, key runKey, a ActiveRun) {
	r := w.runs[key]
	if r == nil {
		sc.orderImmediately(StopTask{Worker: w.id, Task: a.Task, Attempt: a.Attempt})
		return
	}
	r.firstMissing = time.Time{}
	if r.phase != runConfirmed {
		sc.confirm(now, r)
	}
	if a.Checkpoint != "" && a.Checkpoint != r.task.checkpoint {
		r.task.checkpoint = a.Checkpoint
		sc.shareCheckpoint(r.task)
	}
	sc.watch(now, r, a)
	if !r.stopping && (r.task.done || !r.task.job().isOpen()) {
		sc.stopRun(now, r)
	}
}

// settle ends the attempts that a worker would have listed if it had them.
func (sc *Scheduler) settle(now time.Time, w *worker, listed map[runKey]bool, sentAt time.Time) {
	for _, r := range slices.Clone(w.order) {
		if listed[r.key()] {
			continue
		}
		if sc.surelyAbsent(w, r, sentAt) {
			sc.endRun(now, r, AttemptLost, "")
		}
	}
}

// surelyAbsent tells whether a worker whose answer to a look does not list the attempt does not have it. While it is being
// stopped, by this owner or the one before, it is in no list until it has ended: then a look after the stop's time tells.
func (sc *Scheduler) surelyAbsent(w *worker, r *run, sentAt time.Time) bool {
	mayBeStopping := r.phase == runInherited || r.stopping && !r.stopAcked
	switch {
	case r.absenceValidAfter.IsZero() && r.phase != runInherited, !sentAt.After(r.absenceValidAfter):
		return false
	case !mayBeStopping:
		return true
	case r.firstMissing.IsZero():
		r.firstMissing = sentAt
		w.doubt = sentAt.Add(sc.options.StopTimeout + stopMargin)
		return false
	default:
		return sentAt.After(r.firstMissing.Add(sc.options.StopTimeout + stopMargin))
	}
}

// reborn notes that a worker started anew under its id: it holds nothing of before. What was begun there may be of its new
// life all the same, since the answer to a start does not tell lives apart; the lists of a look that is sent from now on do.
func (sc *Scheduler) reborn(now time.Time, w *worker, born int64) {
	sc.decide(now, "worker-reborn", "", w.id, "")
	w.seen, w.stored, w.faults = 0, 0, 0
	w.born = born
	for _, r := range w.order {
		if !r.stopping && (r.phase == runUnknown || r.phase == runOrdered) {
			// The order may still arrive, and the new life would take it.
			sc.stopRun(now, r)
		}
	}
}
