package sched

import (
	"time"
)

// SubmitResult is the outcome of a Submit.
type SubmitResult uint8

// Outcomes of a Submit.
const (
	Accepted   SubmitResult = iota // the job was accepted
	Duplicate                      // a job of this id is already known
	Overloaded                     // refused; see the Refusal
)

// String returns the result's name, such as "repeated".
func (r SubmitResult) String() string { return [...]string{"accepted", "repeated", "overload"}[r] }

// HasJob reports whether the job was submitted, even if its record is not stored yet.
func (sc *Scheduler) HasJob(id string) bool {
	_, known := sc.jobs[id]
	return known
}

// Submit accepts a job, or returns why it was refused. The Refusal is set for Overloaded only.
func (sc *Scheduler) Submit(now time.Time, spec JobSpec) (SubmitResult, Refusal) {
	sc.RecordSubmission(now)
	if sc.HasJob(spec.ID) {
		return Duplicate, Refusal{}
	}
	if r, refused := sc.refuseEvacuated(&spec); refused {
		return Overloaded, r
	}
	if r, refused := sc.checkOwnerLimits(&spec); refused {
		return Overloaded, r
	}
	spec.OverShare = !sc.isRetryOfRefused(spec.ID) && sc.exceedsShare(now, &spec)
	if r, refused := sc.checkAdmission(now, &spec); refused {
		return Overloaded, r
	}
	sc.acceptJob(now, spec)
	return Accepted, Refusal{}
}

// AcceptFromInbox adds a job that a gate has already accepted and stored in the inbox. It is never refused.
func (sc *Scheduler) AcceptFromInbox(now time.Time, spec JobSpec) {
	j, known := sc.jobs[spec.ID]
	if !known {
		if sc.options.AdmissionTimeline {
			// It is late work if its team was above its share when it was stored.
			spec.OverShare = sc.exceedsShare(time.UnixMilli(min(spec.AcceptedMs, now.UnixMilli())), &spec)
		}
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
		sc.markEnded(j, now)
	}
	if j.isOpen() && !spec.OverShare && !spec.IsLongRunning() && !sc.admission.refused[spec.ID].isArrival {
		sc.surges.recordArrival(now, sc.currentPool(j), spec.nearWork())
	}
	return j
}

// Cancel cancels a job and stops its attempts. It reports whether the job is known.
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
		sc.markEnded(j, now)
		sc.stopJob(now, j)
	}
	return true
}

// CancelFromInbox cancels a job by an inbox record. The job itself may arrive later, and is cancelled then.
func (sc *Scheduler) CancelFromInbox(now time.Time, id string) {
	if !sc.Cancel(now, id) {
		record := JobCancelled{ID: id}
		sc.appendRecord(record)
		sc.cancelJob(record)
		sc.earlyCancels[id] = now
	}
}

// forgetEarlyCancels forgets the cancellations of jobs that can't arrive any more.
func (sc *Scheduler) forgetEarlyCancels(now time.Time) {
	for id, at := range sc.earlyCancels {
		if sc.isForgotten(now, at) {
			delete(sc.earlyCancels, id)
		}
	}
}

// AdvanceInbox records that all records of an inbox partition before the offset were processed.
func (sc *Scheduler) AdvanceInbox(partition int, offset int64) {
	if partition == 0 {
		sc.appendRecord(InboxAdvanced{Offset: offset})
		sc.inboxOffset = offset
		return
	}
	sc.appendRecord(InboxPartitionAdvanced{Partition: partition, Offset: offset})
	sc.inboxOffsets[partition] = offset
}
