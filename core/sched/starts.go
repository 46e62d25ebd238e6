package sched

import "time"

func (sc *Scheduler) applyStart(now time.Time, res StartResult) {
	if res.Answer == AnswerFenced {
		sc.fenced = true
		return
	}
	w, found := sc.workers[res.Order.Worker]
	if !found {
		return
	}
	w.renewalsInFlight = max(0, w.renewalsInFlight-1)
	sc.extendLeaseExpiry(w, res.GrantedAt)
	r := w.runs[runKey{res.Order.Task, res.Order.Attempt}]
	if r == nil {
		return
	}
	sc.noteStartAnswer(now, r, res)
	if r.phase == runConfirmed {
		return
	}
	switch res.Answer {
	case AnswerOK:
		sc.confirmStart(now, r)
	case AnswerUnknown:
		sc.retryStart(now, r, res.Order)
	case AnswerSuperseded, AnswerLeaseExpired, AnswerNoRoom, AnswerNoTicket, AnswerRefused, AnswerInvalid, AnswerWrongIncarnation, AnswerWithdrawn, AnswerBusy, AnswerFenced:
		sc.applyRefusedStart(now, r, res.Answer)
	}
}

// refusedStart ends an attempt that the worker refused to start. If an order before had no answer, or the worker says that
// the attempt is over, it may have run: then only what the worker lists tells.
func (sc *Scheduler) applyRefusedStart(now time.Time, r *run, why OrderAnswer) {
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
		w.fullUntil = now.Add(noRoomBackoff)
	case AnswerNoTicket:
		delete(r.task.step.tickets, w.id)
	case AnswerRefused, AnswerInvalid, AnswerWrongIncarnation:
		w.quarantinedUntil = now.Add(refusalBackoff)
	default:
	}
	sc.endUnstarted(now, r, why)
}

// granted notes that whatever runs on the worker may have been renewed from then on.
func (sc *Scheduler) extendLeaseExpiry(w *worker, at time.Time) {
	if until := at.Add(sc.options.leaseExpiryBound()); until.After(w.leasesExpireAt) {
		w.leasesExpireAt = until
	}
}

func (sc *Scheduler) confirmStart(now time.Time, r *run) {
	r.phase, r.startedAt, r.absenceValidAfter = runConfirmed, now, now
	j := r.task.job()
	if !j.started {
		j.started = true
		sc.markChanged(j)
	}
}

// notBegun ends an attempt that the worker refused to start.
func (sc *Scheduler) endUnstarted(now time.Time, r *run, why OrderAnswer) {
	sc.counters.refusedStarts++
	sc.logDecision(now, "start-refused", r.task.id().String(), r.worker.id, why.String())
	sc.endRun(now, r, AttemptLost, "")
}

// retryStart repeats an order without an answer; it is idempotent. After some tries the run is stopped, so that it
// surely does not begin later.
func (sc *Scheduler) retryStart(now time.Time, r *run, o StartTask) {
	r.phase = runUnknown
	if r.worker.unanswered == 0 {
		r.worker.unanswered = 1
	}
	if r.stopping {
		return
	}
	if r.retries++; r.retries <= maxStartRetries {
		r.worker.renewalsInFlight++
		sc.orderImmediately(o)
		return
	}
	sc.logDecision(now, "start-given-up", r.task.id().String(), r.worker.id, "no answer")
	sc.stopRun(now, r)
}

// IsStartWanted reports whether a start that waited for its record should still be given.
func (sc *Scheduler) IsStartWanted(o StartTask) bool {
	r := sc.findRun(o.Worker, o.Task, o.Attempt)
	return r != nil && !r.stopping && r.task.job().isOpen()
}
