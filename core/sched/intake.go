package sched

import (
	"time"
)

// Verdict says what became of a job that was handed in.
type SubmitResult uint8

// Verdicts; the zero value took the job.
const (
	Accepted   SubmitResult = iota
	Duplicate               // the job is known already
	Overloaded              // the job was not taken, its pool has more work than it can do in time
)

// String returns the verdict's name.
func (result SubmitResult) String() string {
	return [...]string{"accepted", "repeated", "overload"}[result]
}

// Submit takes a job, or says why not.
func (sc *Scheduler) Submit(now time.Time, spec JobSpec) (SubmitResult, Refusal) {
	sc.RecordCall(now)
	if _, known := sc.jobs[spec.ID]; known {
		return Duplicate, Refusal{}
	}
	spec.OverShare = sc.exceedsShare(now, &spec)
	if r, refused := sc.checkOverload(&spec); refused {
		return Overloaded, r
	}
	sc.acceptJob(now, spec)
	return Accepted, Refusal{}
}

// TakeOver takes a job that a gate has accepted by way of the inbox, where it is stored.
func (sc *Scheduler) AcceptFromInbox(now time.Time, spec JobSpec) {
	j, known := sc.jobs[spec.ID]
	if !known {
		j = sc.acceptJob(now, spec)
	}
	j.stored = true
}

func (sc *Scheduler) acceptJob(now time.Time, spec JobSpec) *job {
	record := JobAccepted{Job: spec}
	sc.appendRecord(record)
	j := sc.addJob(record)
	for _, r := range j.rounds {
		for _, s := range r.steps {
			s.readyAt = now
		}
	}
	sc.markChanged(j)
	if j.cancelled {
		sc.markFinished(j, now)
	}
	if j.isOpen() && !spec.OverShare && !spec.IsLongRunning() {
		_, coreSeconds := spec.Size()
		sc.surges.recordArrival(now, sc.currentPool(j), coreSeconds)
	}
	return j
}

// Cancel notes that a job's caller no longer wants it, and tells whether the job is known.
func (sc *Scheduler) Cancel(now time.Time, id string) bool {
	j, known := sc.jobs[id]
	if !known {
		return false
	}
	if j.isOpen() {
		record := JobCancelled{ID: id}
		sc.appendRecord(record)
		sc.cancelJob(record)
		sc.markChanged(j)
		sc.markFinished(j, now)
		sc.stopJob(now, j)
	}
	return true
}

// CancelEarly notes a cancellation by way of the inbox; the job itself may come later.
func (sc *Scheduler) CancelFromInbox(now time.Time, id string) {
	if !sc.Cancel(now, id) {
		record := JobCancelled{ID: id}
		sc.appendRecord(record)
		sc.cancelJob(record)
	}
}

// ReadInbox notes that all records of the inbox before the offset were taken over.
func (sc *Scheduler) AdvanceInbox(offset int64) {
	record := InboxAdvanced{Offset: offset}
	sc.appendRecord(record)
	sc.inboxOffset = offset
}

func (sc *Scheduler) markFinished(j *job, now time.Time) {
	j.endedAt = now
	sc.finishedJobs = append(sc.finishedJobs, j)
}

// forget drops ended jobs that callers can no longer ask for.
func (sc *Scheduler) forgetFinishedJobs(now time.Time) {
	for len(sc.finishedJobs) > 0 {
		j := sc.finishedJobs[0]
		if now.Sub(j.endedAt) < sc.options.Retention || j.runCount > 0 {
			return
		}
		sc.finishedJobs = sc.finishedJobs[1:]
		if sc.jobs[j.spec.ID] == j {
			delete(sc.jobs, j.spec.ID)
		}
	}
}
