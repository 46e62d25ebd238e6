package sched

import (
	"slices"
	"time"
)

func (m *Machine) applyHold(now time.Time, rep HoldReport) {
	w, found := m.workers[rep.Order.Worker]
	if !found {
		return
	}
	w.holding = false
	if rep.Order.Lease > 0 {
		w.granting = max(0, w.granting-1)
		m.granted(w, rep.GrantedAt)
	}
	switch rep.Answer {
	case OK:
		m.heard(now, w, rep)
	case Fenced:
		m.fenced = true
	case WrongLife:
		m.gone(now, w, "another worker answers at its address")
	default:
		w.silent++
		w.nextHold = now.Add(silentLook)
		if w.silent == silentCalls {
			m.decide(now, "worker-silent", "", w.id, rep.Answer.String())
		}
	}
}

// heard takes over what a worker says.
func (m *Machine) heard(now time.Time, w *worker, rep HoldReport) {
	if rep.Born != 0 && w.born != 0 && rep.Born != w.born {
		m.reborn(now, w, rep.Born)
	}
	if rep.Born != 0 {
		w.born = rep.Born
	}
	if w.silent >= silentCalls {
		m.decide(now, "worker-answers", "", w.id, "")
	}
	if !w.verified || w.silent > 0 {
		m.wake(w.entry.Pool)
	}
	w.silent, w.heard = 0, now
	fresh := !w.verified
	w.verified = true
	for _, e := range rep.Ended {
		m.takeEnd(now, w, e)
	}
	listed := make(map[runKey]bool, len(rep.Active))
	for _, a := range rep.Active {
		key := runKey{a.Task, a.Attempt}
		listed[key] = true
		m.takeActive(now, w, key, a)
	}
	if !rep.Partial {
		m.settle(now, w, listed, rep.SentAt)
	}
	m.setPaces(w)
	w.nextHold = now.Add(m.endsGather())
	if fresh || len(rep.Ended) >= endsOfOneCall {
		m.lookSoon(now, w)
	}
}

// lookSoon lets the worker be looked at without waiting for its turn.
func (m *Machine) lookSoon(now time.Time, w *worker) {
	w.nextHold, m.hasten = now, true
}

func (m *Machine) takeEnd(now time.Time, w *worker, e EndedRun) {
	if e.Number <= w.seen {
		return
	}
	w.seen = e.Number
	m.saw[w] = true
	if r := w.runs[runKey{e.Task, e.Attempt}]; r != nil {
		m.endRun(now, r, e.Ending, e.Checkpoint)
		return
	}
	m.lateEnd(now, e)
}

// lateEnd takes over that a task is done although its attempt was given up before.
func (m *Machine) lateEnd(now time.Time, e EndedRun) {
	j, known := m.jobs[e.Task.Job]
	if !known || e.Ending != Done || !j.live() {
		return
	}
	t := j.task(e.Task)
	if t == nil || t.done || t.step.spec.Lasting || e.Attempt > t.attempts {
		return
	}
	record := TaskEnded{Task: e.Task, Attempt: e.Attempt, Ending: Done}
	m.emit(record)
	m.end(t, record, now)
	m.stopOthers(now, t)
}

// takeActive notes that an attempt runs; one that should not is stopped.
func (m *Machine) takeActive(now time.Time, w *worker, key runKey, a ActiveRun) {
	r := w.runs[key]
	if r == nil {
		m.orderNow(StopTask{Worker: w.id, Task: a.Task, Attempt: a.Attempt})
		return
	}
	r.missing = time.Time{}
	if r.phase != runConfirmed {
		m.confirm(now, r)
	}
	if a.Checkpoint != "" && a.Checkpoint != r.task.checkpoint {
		r.task.checkpoint = a.Checkpoint
		m.shareCheckpoint(r.task)
	}
	m.watch(now, r, a)
	if !r.stopping && (r.task.done || !r.task.job().live()) {
		m.stopRun(now, r)
	}
}

// settle ends the attempts that a worker would have listed if it had them.
func (m *Machine) settle(now time.Time, w *worker, listed map[runKey]bool, sentAt time.Time) {
	for _, r := range slices.Clone(w.order) {
		if listed[r.key()] {
			continue
		}
		if m.surelyAbsent(w, r, sentAt) {
			m.endRun(now, r, Lost, "")
		}
	}
}

// surelyAbsent tells whether a worker whose answer to a look does not list the attempt does not have it. While it is being
// stopped, by this owner or the one before, it is in no list until it has ended: then a look after the stop's time tells.
func (m *Machine) surelyAbsent(w *worker, r *run, sentAt time.Time) bool {
	mayBeStopping := r.phase == runInherited || r.stopping && !r.stopped
	switch {
	case r.settled.IsZero() && r.phase != runInherited, !sentAt.After(r.settled):
		return false
	case !mayBeStopping:
		return true
	case r.missing.IsZero():
		r.missing = sentAt
		w.doubt = sentAt.Add(m.options.StopLimit + stopMargin)
		return false
	default:
		return sentAt.After(r.missing.Add(m.options.StopLimit + stopMargin))
	}
}

// reborn notes that a worker started anew under its id: it holds nothing of before. What was begun there may be of its new
// life all the same, since the answer to a start does not tell lives apart; the lists of a look that is sent from now on do.
func (m *Machine) reborn(now time.Time, w *worker, born int64) {
	m.decide(now, "worker-reborn", "", w.id, "")
	w.seen, w.stored, w.faults = 0, 0, 0
	w.born = born
	for _, r := range w.order {
		if !r.stopping && (r.phase == runUnknown || r.phase == runOrdered) {
			// The order may still arrive, and the new life would take it.
			m.stopRun(now, r)
		}
	}
}
