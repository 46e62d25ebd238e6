package sched

import "github.com/rotisserie/eris"

// openSnapshot is a snapshot whose end was not replayed yet. It is stored by several appends, so that its owner may have
// lost the log in between: what is there of it says nothing then, and the state before it stands.
type openSnapshot struct {
	begun   bool
	inbox   int64
	jobs    int
	records []Record
}

// add keeps a record that may be part of the snapshot.
func (s *openSnapshot) add(r Record) {
	if s.begun {
		s.records = append(s.records, r)
	}
}

// Replay applies a record of the journal; records must come in order.
func (m *Machine) Replay(r Record) error {
	switch r := r.(type) {
	case SnapshotBegun:
		m.snapshot = openSnapshot{begun: true, inbox: r.Offset}
		return nil
	case JobSaved:
		if !m.snapshot.begun {
			return eris.Errorf("job %s is saved outside of a snapshot", r.Job.ID)
		}
		m.snapshot.jobs++
		m.snapshot.add(r)
		return nil
	case SnapshotEnded:
		return m.replaySnapshot(r)
	case JobAccepted, TaskStarted, TaskEnded, InboxRead:
		m.snapshot = openSnapshot{}
	default:
		m.snapshot.add(r)
	}
	return m.fold(r)
}

// replaySnapshot puts a whole snapshot in the place of the state before it.
func (m *Machine) replaySnapshot(end SnapshotEnded) error {
	s := m.snapshot
	m.snapshot = openSnapshot{}
	if !s.begun || s.jobs != end.Jobs {
		return eris.Errorf("snapshot of %d jobs has %d", end.Jobs, s.jobs)
	}
	m.reset()
	m.inbox = s.inbox
	for _, r := range s.records {
		if err := m.fold(r); err != nil {
			return err
		}
	}
	return nil
}

// fold applies a record other than the marks of a snapshot.
func (m *Machine) fold(r Record) error {
	switch r := r.(type) {
	case JobAccepted:
		m.foldAccepted(r)
	case JobCancelled:
		m.foldCancelled(r)
	case TaskStarted:
		return m.foldStarted(r)
	case TaskEnded:
		m.foldEnded(r)
	case InboxRead:
		m.inbox = r.Offset
	case JobSaved:
		m.foldSaved(r)
	case WaveSeen:
		m.foldWaveSeen(r)
	case ServiceOrdered:
		m.inService[r.Machine] = r.Wave
	case MachineServed:
		m.foldServed(r)
	case TurnSeen:
		m.turns.fold(r)
	default:
		return eris.Errorf("record %T is not known", r)
	}
	return nil
}
