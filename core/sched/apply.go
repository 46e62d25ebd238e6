package sched

import (
	"slices"
	"time"
)

const (
	// Pause before a worker that had no room is asked again.
	fullPause = 150 * time.Millisecond
	// Pause before a worker that refused a task for its own health is asked again.
	refusedPause = time.Second
	// Orders without an answer are repeated this often before the run is stopped.
	startRetries = 2
	// Time between two looks at a worker that does not answer.
	silentLook = 300 * time.Millisecond
	stopRepeat = 400 * time.Millisecond
	// Time between the end of a stopped run and its entry in the worker's list.
	stopMargin = 200 * time.Millisecond
)

// Apply notes the outcome of an order.
func (m *Machine) Apply(now time.Time, r Report) {
	switch r := r.(type) {
	case StartReport:
		m.applyStart(now, r)
	case StopReport:
		m.applyStop(now, r)
	case HoldReport:
		m.applyHold(now, r)
	case PaceReport:
		m.applyPace(r)
	case AdviceReport:
		m.applyAdvice(now, r)
	case MoveReport:
		m.applyMove(now, r)
	case ServiceReport:
		m.applyService(now, r)
	}
}

// Wanted tells whether a start that waited for its record should still be given.
func (m *Machine) Wanted(o StartTask) bool {
	r := m.runOf(o.Worker, o.Task, o.Attempt)
	return r != nil && !r.stopping && r.task.job().live()
}

func (m *Machine) runOf(workerID string, id TaskID, attempt int) *run {
	w, found := m.workers[workerID]
	if !found {
		return nil
	}
	return w.runs[runKey{id, attempt}]
}

// endRun records the end of an attempt.
func (m *Machine) endRun(now time.Time, r *run, ending Ending, checkpoint string) {
	record := TaskEnded{Task: r.task.id(), Attempt: r.attempt, Ending: ending, Checkpoint: checkpoint}
	m.emit(record)
	m.counters.ended[ending]++
	if ending == Done {
		m.flow.add(now, r.needs().Uses().Cores()*r.needs().Estimate().Seconds())
	}
	m.judge(now, r, ending)
	m.end(r.task, record, now)
	if r.task.done {
		m.stopOthers(now, r.task)
	}
	if j := r.task.job(); j.outcome.Final() {
		m.stopJob(now, j)
	}
}

// judge learns from an end how sound the worker is.
func (m *Machine) judge(now time.Time, r *run, ending Ending) {
	w := r.worker
	switch ending {
	case Done:
		w.faults, w.good = 0, now
		m.timeEnd(now, r)
	case Faulted:
		if r.needs().Lasting && r.phase == runConfirmed && now.Sub(r.began) >= lastingSound {
			return
		}
		r.task.avoid = w.id
		if !w.suspect(now) {
			w.faults = 0
		}
		w.faulted = now
		if w.faults++; w.faults >= faultsToRest {
			w.rest = now.Add(restTime)
			m.decide(now, "worker-rests", r.task.id().String(), w.id, "failed attempts in a row")
		}
	default:
	}
}

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

func (m *Machine) applyStop(now time.Time, rep StopReport) {
	if rep.Answer == Fenced {
		m.fenced = true
		return
	}
	r := m.runOf(rep.Order.Worker, rep.Order.Task, rep.Order.Attempt)
	if r == nil {
		return
	}
	if rep.Answer == OK && !r.stopped {
		// While it stops, the worker lists it neither as active nor as ended.
		r.stopped = true
		r.settled = now.Add(m.options.StopLimit + stopMargin)
		m.lookSoon(now, r.worker)
	}
}

// stopRun tells the worker to end an attempt.
func (m *Machine) stopRun(now time.Time, r *run) {
	r.stopping, r.stopSent = true, now
	m.orderNow(StopTask{Worker: r.worker.id, Task: r.task.id(), Attempt: r.attempt})
}

// stopJob ends all attempts of a job that is cancelled or has failed.
func (m *Machine) stopJob(now time.Time, j *job) {
	if j.running == 0 {
		return
	}
	for _, round := range j.rounds {
		for _, s := range round.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					if !r.stopping {
						m.stopRun(now, r)
					}
				}
			}
		}
	}
}

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
	m.settle(now, w, listed, rep.SentAt)
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

// endsOfOneCall is how many ends a worker lists at most; more may wait.
const endsOfOneCall = 500

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
		settled := !r.settled.IsZero() && sentAt.After(r.settled)
		if r.phase == runInherited || settled {
			m.endRun(now, r, Lost, "")
		}
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

// gone ends all attempts on a worker that surely runs no more.
func (m *Machine) gone(now time.Time, w *worker, why string) {
	m.decide(now, "worker-gone", "", w.id, why)
	for _, r := range slices.Clone(w.order) {
		m.endRun(now, r, Lost, "")
	}
	w.listed = false
	m.dropUnused(w)
}

// dropUnused forgets a worker that is not listed and holds nothing.
func (m *Machine) dropUnused(w *worker) {
	if !w.listed && len(w.runs) == 0 && !w.holding {
		delete(m.workers, w.id)
		m.byID = slices.DeleteFunc(m.byID, func(other *worker) bool { return other == w })
	}
}
