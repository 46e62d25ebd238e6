package sched

import (
	"time"
)

// Verdict says what became of a job that was handed in.
type Verdict uint8

// Verdicts; the zero value took the job.
const (
	Accepted Verdict = iota
	Repeated         // the job is known already
	Overload         // the job was not taken, its pool has more work than it can do in time
)

// String returns the verdict's name.
func (v Verdict) String() string { return [...]string{"accepted", "repeated", "overload"}[v] }

// Submit takes a job, or says why not.
func (m *Machine) Submit(now time.Time, spec JobSpec) (Verdict, Refusal) {
	m.Called(now)
	if _, known := m.jobs[spec.ID]; known {
		return Repeated, Refusal{}
	}
	spec.Excess = m.beyondShare(now, &spec)
	if r, refused := m.overloaded(&spec); refused {
		return Overload, r
	}
	m.accept(now, spec)
	return Accepted, Refusal{}
}

// TakeOver takes a job that a gate has accepted by way of the inbox, where it is stored.
func (m *Machine) TakeOver(now time.Time, spec JobSpec) {
	j, known := m.jobs[spec.ID]
	if !known {
		j = m.accept(now, spec)
	}
	j.stored = true
}

func (m *Machine) accept(now time.Time, spec JobSpec) *job {
	record := JobAccepted{Job: spec}
	m.emit(record)
	j := m.foldAccepted(record)
	for _, r := range j.rounds {
		for _, s := range r.steps {
			s.readyAt = now
		}
	}
	m.touch(j)
	if j.cancelled {
		m.forgetLater(j, now)
	}
	if j.live() && !spec.Excess && !spec.Lasting() {
		_, coreSeconds := spec.Size()
		m.turns.arrived(now, m.poolNameOf(j), coreSeconds)
	}
	return j
}

// Cancel notes that a job's caller no longer wants it, and tells whether the job is known.
func (m *Machine) Cancel(now time.Time, id string) bool {
	j, known := m.jobs[id]
	if !known {
		return false
	}
	if j.live() {
		record := JobCancelled{ID: id}
		m.emit(record)
		m.foldCancelled(record)
		m.touch(j)
		m.forgetLater(j, now)
		m.stopJob(now, j)
	}
	return true
}

// CancelEarly notes a cancellation by way of the inbox; the job itself may come later.
func (m *Machine) CancelEarly(now time.Time, id string) {
	if !m.Cancel(now, id) {
		record := JobCancelled{ID: id}
		m.emit(record)
		m.foldCancelled(record)
	}
}

// ReadInbox notes that all records of the inbox before the offset were taken over.
func (m *Machine) ReadInbox(offset int64) {
	record := InboxRead{Offset: offset}
	m.emit(record)
	m.inbox = offset
}

func (m *Machine) forgetLater(j *job, now time.Time) {
	j.ended = now
	m.finished = append(m.finished, j)
}

// forget drops ended jobs that callers can no longer ask for.
func (m *Machine) forget(now time.Time) {
	for len(m.finished) > 0 {
		j := m.finished[0]
		if now.Sub(j.ended) < m.options.Retention || j.running > 0 {
			return
		}
		m.finished = m.finished[1:]
		if m.jobs[j.spec.ID] == j {
			delete(m.jobs, j.spec.ID)
		}
	}
}
