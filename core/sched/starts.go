package sched

import "time"

func (m *Machine) applyStart(now time.Time, rep StartReport) {
	if rep.Answer == Fenced {
		m.fenced = true
		return
	}
	w, found := m.workers[rep.Order.Worker]
	if !found {
		return
	}
	w.granting = max(0, w.granting-1)
	m.granted(w, rep.GrantedAt)
	r := w.runs[runKey{rep.Order.Task, rep.Order.Attempt}]
	if r == nil {
		return
	}
	m.noteAnswer(now, r, rep)
	if r.phase == runConfirmed {
		return
	}
	switch rep.Answer {
	case OK:
		m.confirm(now, r)
	case Unknown:
		m.retryStart(now, r, rep.Order)
	case Outrun, TooLate, NoRoom, NoTicket, Refused, Invalid, WrongLife, Withdrawn, Busy, Fenced:
		m.refusedStart(now, r, rep.Answer)
	}
}

// refusedStart ends an attempt that the worker refused to start. If an order before had no answer, or the worker says that
// the attempt is over, it may have run: then only what the worker lists tells.
func (m *Machine) refusedStart(now time.Time, r *run, why Answer) {
	w := r.worker
	if r.phase == runUnknown || why == Outrun {
		r.phase = runUnknown
		if !r.stopping {
			m.stopRun(now, r)
		}
		return
	}
	switch why {
	case NoRoom:
		w.full = now.Add(fullPause)
	case NoTicket:
		delete(r.task.step.tickets, w.id)
	case Refused, Invalid, WrongLife:
		w.rest = now.Add(refusedPause)
	default:
	}
	m.notBegun(now, r, why)
}

// granted notes that whatever runs on the worker may have been renewed from then on.
func (m *Machine) granted(w *worker, at time.Time) {
	if until := at.Add(m.options.lapseAfter()); until.After(w.lapse) {
		w.lapse = until
	}
}

func (m *Machine) confirm(now time.Time, r *run) {
	r.phase, r.began, r.settled = runConfirmed, now, now
	j := r.task.job()
	if !j.begun {
		j.begun = true
		m.touch(j)
	}
}

// notBegun ends an attempt that the worker refused to start.
func (m *Machine) notBegun(now time.Time, r *run, why Answer) {
	m.counters.refusedStarts++
	m.decide(now, "start-refused", r.task.id().String(), r.worker.id, why.String())
	m.endRun(now, r, Lost, "")
}

// retryStart repeats an order without an answer; it is idempotent. After some tries the run is stopped, so that it
// surely does not begin later.
func (m *Machine) retryStart(now time.Time, r *run, o StartTask) {
	r.phase = runUnknown
	if r.worker.silent == 0 {
		r.worker.silent = 1
	}
	if r.stopping {
		return
	}
	if r.retries++; r.retries <= startRetries {
		r.worker.granting++
		m.orderNow(o)
		return
	}
	m.decide(now, "start-given-up", r.task.id().String(), r.worker.id, "no answer")
	m.stopRun(now, r)
}

// Wanted tells whether a start that waited for its record should still be given.
func (m *Machine) Wanted(o StartTask) bool {
	r := m.runOf(o.Worker, o.Task, o.Attempt)
	return r != nil && !r.stopping && r.task.job().live()
}
