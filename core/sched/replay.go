package sched

import "github.com/rotisserie/eris"

// pendingSnapshot collects the records of a snapshot until its SnapshotEnded is replayed. A snapshot is written by several
// appends, so its writer may lose the journal in between; an incomplete snapshot is dropped, and the state before it remains.
type pendingSnapshot struct {
	started     bool
	inboxOffset int64
	jobs        int
	records     []Record
}

// add collects the record if a snapshot was started.
func (s *pendingSnapshot) add(r Record) {
	if s.started {
		s.records = append(s.records, r)
	}
}

// addPart collects a record that has its meaning in a snapshot only. It fails if none was started.
func (s *pendingSnapshot) addPart(r Record) error {
	if !s.started {
		return eris.Errorf("%T outside of a snapshot", r)
	}
	if _, isJob := r.(JobSnapshot); isJob {
		s.jobs++
	}
	s.records = append(s.records, r)
	return nil
}

// Replay applies a record of the journal. Records must be passed in journal order, before TakeOwnership. It fails on records
// that contradict the state.
func (sc *Scheduler) Replay(r Record) error {
	switch r := r.(type) {
	case SnapshotStarted:
		sc.snapshot = pendingSnapshot{started: true, inboxOffset: r.Offset}
		return nil
	case JobSnapshot, TasksSnapshot, TasksDone, RoundsDone, TaskCrashes:
		return sc.snapshot.addPart(r)
	case SnapshotEnded:
		return sc.replaySnapshot(r)
	case InboxPartitionAdvanced:
		if sc.snapshot.started {
			// It counts only if the snapshot is complete: the jobs before the offset may be in the snapshot alone.
			sc.snapshot.add(r)
			return nil
		}
	case JobAccepted, TaskStarted, TaskEnded, InboxAdvanced:
		sc.snapshot = pendingSnapshot{}
	default:
		sc.snapshot.add(r)
	}
	return sc.applyRecord(r)
}

// replaySnapshot replaces the state by the collected snapshot. It fails if the snapshot lacks jobs.
func (sc *Scheduler) replaySnapshot(end SnapshotEnded) error {
	s := sc.snapshot
	sc.snapshot = pendingSnapshot{}
	if !s.started || s.jobs != end.Jobs {
		return eris.Errorf("snapshot of %d jobs has %d", end.Jobs, s.jobs)
	}
	sc.reset()
	sc.inboxOffset = s.inboxOffset
	clear(sc.inboxOffsets)
	for _, r := range s.records {
		if err := sc.applyRecord(r); err != nil {
			return err
		}
	}
	return nil
}

// applyRecord applies a record other than SnapshotStarted and SnapshotEnded.
func (sc *Scheduler) applyRecord(r Record) error {
	switch r := r.(type) {
	case JobAccepted:
		sc.addJob(r)
	case JobCancelled:
		sc.cancelJob(r)
	case TaskStarted:
		return sc.replayTaskStarted(r)
	case TaskEnded:
		sc.replayTaskEnded(r)
	case InboxAdvanced:
		sc.inboxOffset = r.Offset
	case InboxPartitionAdvanced:
		sc.inboxOffsets[r.Partition] = r.Offset
	case JobSnapshot:
		sc.restoreJob(r)
	case TasksSnapshot:
		return sc.restoreTasks(r)
	case TasksDone:
		return sc.restoreDone(r)
	case RoundsDone:
		return sc.restoreRounds(r)
	case TaskCrashes:
		sc.restoreCrashes(r)
	case WaveSeen:
		sc.applyWaveSeen(r)
	case MaintenanceOrdered:
		sc.maintenanceOrders[r.Machine] = r.Wave
	case MaintenanceDone:
		sc.applyMaintenanceDone(r)
	case EvacuationChanged:
		sc.applyEvacuationChanged(r)
	case SurgeSeen:
		sc.surges.restore(r)
	default:
		return eris.Errorf("record %T is not known", r)
	}
	return nil
}
