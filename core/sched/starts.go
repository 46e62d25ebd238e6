package sched

import "time"

func (sc *Scheduler) applyStart(now time.Time, rep StartResult) {
	if rep.Answer == AnswerFenced {
		sc.fenced = true
		return
	}
	w, found := sc.workers[rep.Order.Worker]
	if !found {
		return
	}
	w.granting = max(0, w.granting-1)
	sc.granted(w, rep.GrantedAt)
	r := w.runs[runKey{rep.Order.Task, rep.Order.Attempt}]
	if r == nil {
		return
	}
	sc.noteAnswer(now, r, rep)
	if r.phase == runConfirmed {
		return
	}
	switch rep.Answer {
	case AnswerOK:
		sc.confirm(now, r)
	case AnswerUnknown:
		sc.retryStart(now, r, rep.Order)
	case AnswerSuperseded, AnswerLeaseExpired, AnswerNoRoom, AnswerNoTicket, AnswerRefused, AnswerInvalid, AnswerWrongIncarnation, AnswerWithdrawn, AnswerBusy, AnswerFenced:
		sc.refusedStart(now, r, rep.Answer)
	}
}

// refusedStart ends an attempt that the worker refused to start. If an order before had no answer, or the worker says that
// the attempt is over, it may have run: then only what the worker lists tells.
func (sc *Scheduler) refusedStart(now time.Time, r *run, why OrderAnswer) {
	w := r.worker
	if r.phase == runUnknown || why == AnswerSuperseded {
		r.phase = runUnknown
		if !r.stopping {
			sc.stopRun(now, r)
		}
		return
	}
	switch why {
	case AnswerNoRoom:
		w.full = now.Add(fullPause)
	case AnswerNoTicket:
		delete(r.task.step.tickets, w.id)
	case AnswerRefused, AnswerInvalid, AnswerWrongIncarnation:
		w.rest = now.Add(refusedPause)
	default:
	}
	sc.notBegun(now, r, why)
}

// granted notes that whatever runs on the worker may have been renewed from then on.
func (sc *Scheduler) granted(w *worker, at time.Time) {
	if until := at.Add(sc.options.lapseAfter()); until.After(w.lapse) {
		w.lapse = until
	}
}

func (sc *Scheduler) confirm(now time.Time, r *run) {
	r.phase, r.startedAt, r.absenceValidAfter = runConfirmed, now, now
	j := r.task.job()
	if !j.started {
		j.started = true
		sc.markChanged(j)
	}
}

// notBegun ends an attempt that the worker refused to start.
func (sc *Scheduler) notBegun(now time.Time, r *run, why OrderAnswer) {
	sc.counters.refusedStarts++
	sc.decide(now, "start-refused", r.task.id().String(), r.worker.id, why.String())
	sc.endRun(now, r, AttemptLost, "")
}

// retryStart repeats an order without an answer; it is idempotent. After some tries the run is stopped, so that it
// surely does not begin later.
func (sc *Scheduler) retryStart(now time.Time, r *run, o StartTask) {
	r.phase = runUnknown
	if r.worker.silent == 0 {
		r.worker.silent = 1
	}
	if r.stopping {
		return
	}
	if r.retries++; r.retries <= startRetries {
		r.worker.granting++
		sc.orderImmediately(o)
		return
	}
	sc.decide(now, "start-given-up", r.task.id().String(), r.worker.id, "no answer")
	sc.stopRun(now, r)
}

// Wanted tells whether a start that waited for its record should still be given.
func (sc *Scheduler) Wanted(o StartTask) bool {
	r := sc.runOf(o.Worker, o.Task, o.Attempt)
	return r != nil && !r.stopping && r.task.job().isOpen()
}
