package sched

import (
	"slices"
	"time"
)

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
