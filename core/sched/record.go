package sched

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// codecVersion is the first byte of every encoded record.
const codecVersion = 1

// Record is a fact that lasts: JobAccepted, JobCancelled, TaskStarted, TaskEnded, InboxRead, WaveSeen, ServiceOrdered,
// MachineServed, TurnSeen, SnapshotBegun, JobSaved or SnapshotEnded.
type Record interface {
	record()
}

// JobAccepted says that a job was taken; the first one of an id counts.
type JobAccepted struct {
	_   struct{} `cbor:",toarray"`
	Job JobSpec
}

// JobCancelled says that a job's caller no longer wants it.
type JobCancelled struct {
	_  struct{} `cbor:",toarray"`
	ID string
}

// TaskStarted says that a worker is about to be told to start an attempt.
type TaskStarted struct {
	_       struct{} `cbor:",toarray"`
	Task    TaskID
	Attempt int
	Worker  string
	Born    int64 // start of the worker's incarnation in Unix milliseconds
}

// TaskEnded says how an attempt ended.
type TaskEnded struct {
	_          struct{} `cbor:",toarray"`
	Task       TaskID
	Attempt    int
	Ending     Ending
	Checkpoint string
}

// InboxRead says that all records of the inbox before the offset were taken over.
type InboxRead struct {
	_      struct{} `cbor:",toarray"`
	Offset int64
}

// WaveSeen says when a wave became known.
type WaveSeen struct {
	_    struct{} `cbor:",toarray"`
	Wave int64
	AtMs int64 // Unix milliseconds
}

// ServiceOrdered says that a machine is about to be told to go down for a wave.
type ServiceOrdered struct {
	_       struct{} `cbor:",toarray"`
	Wave    int64
	Machine string
}

// MachineServed says that a machine had its maintenance for a wave.
type MachineServed struct {
	_       struct{} `cbor:",toarray"`
	Wave    int64
	Machine string
}

// TurnSeen says what is known of a pool's turns of high demand.
type TurnSeen struct {
	_       struct{} `cbor:",toarray"`
	Pool    string
	BeganMs int64   // start of the last turn in Unix milliseconds, 0 if there was none
	Peak    float64 // core-seconds in a second of its turns
	Home    float64 // cores of the pool's first machines
	CycleMs int64   // time between two turns of a pool
}

// SnapshotBegun says that the whole state follows, up to SnapshotEnded; what was before counts no more.
type SnapshotBegun struct {
	_      struct{} `cbor:",toarray"`
	Offset int64    // inbox offset
}

// JobSaved is a job with the state of its tasks, part of a snapshot.
type JobSaved struct {
	_         struct{} `cbor:",toarray"`
	Job       JobSpec
	Cancelled bool
	EndedMs   int64
	Outcome   State
	Begun     bool
	Tasks     []taskSaved
}

// taskSaved is the state of a task that is not fresh.
type taskSaved struct {
	_          struct{} `cbor:",toarray"`
	Task       TaskID
	Done       bool
	Attempts   int
	Failures   int
	Checkpoint string
	Runs       []runSaved
}

type runSaved struct {
	_       struct{} `cbor:",toarray"`
	Attempt int
	Worker  string
	Born    int64
}

// SnapshotEnded says that the snapshot is whole.
type SnapshotEnded struct {
	_    struct{} `cbor:",toarray"`
	Jobs int
}

func (JobAccepted) record()    {}
func (JobCancelled) record()   {}
func (TaskStarted) record()    {}
func (TaskEnded) record()      {}
func (InboxRead) record()      {}
func (WaveSeen) record()       {}
func (MachineServed) record()  {}
func (TurnSeen) record()       {}
func (ServiceOrdered) record() {}
func (SnapshotBegun) record()  {}
func (JobSaved) record()       {}
func (SnapshotEnded) record()  {}

// tag tells the kinds of records apart in their encoded form.
type tag uint8

const (
	tagJobAccepted tag = iota + 1
	tagJobCancelled
	tagTaskStarted
	tagTaskEnded
	tagInboxRead
	tagSnapshotBegun
	tagJobSaved
	tagSnapshotEnded
	tagWaveSeen
	tagMachineServed
	tagTurnSeen
	tagServiceOrdered
)

// Encode returns the record's compact binary form.
func Encode(r Record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, eris.Wrap(err, "encode a record")
	}
	return append([]byte{codecVersion, byte(tagOf(r))}, body...), nil
}

func tagOf(r Record) tag {
	switch r.(type) {
	case JobAccepted:
		return tagJobAccepted
	case JobCancelled:
		return tagJobCancelled
	case TaskStarted:
		return tagTaskStarted
	case TaskEnded:
		return tagTaskEnded
	case InboxRead:
		return tagInboxRead
	case SnapshotBegun:
		return tagSnapshotBegun
	case JobSaved:
		return tagJobSaved
	case SnapshotEnded:
		return tagSnapshotEnded
	case WaveSeen:
		return tagWaveSeen
	case MachineServed:
		return tagMachineServed
	case TurnSeen:
		return tagTurnSeen
	case ServiceOrdered:
		return tagServiceOrdered
	default:
		return 0
	}
}

// Decode reads a record's binary form; the error says what is wrong with it.
func Decode(b []byte) (Record, error) {
	if len(b) < 2 || b[0] != codecVersion {
		return nil, eris.Errorf("record of %d bytes has no known codec version", len(b))
	}
	switch tag(b[1]) {
	case tagJobAccepted:
		return decodeAs[JobAccepted](b[2:])
	case tagJobCancelled:
		return decodeAs[JobCancelled](b[2:])
	case tagTaskStarted:
		return decodeAs[TaskStarted](b[2:])
	case tagTaskEnded:
		return decodeAs[TaskEnded](b[2:])
	case tagInboxRead:
		return decodeAs[InboxRead](b[2:])
	case tagSnapshotBegun:
		return decodeAs[SnapshotBegun](b[2:])
	case tagJobSaved:
		return decodeAs[JobSaved](b[2:])
	case tagSnapshotEnded:
		return decodeAs[SnapshotEnded](b[2:])
	case tagWaveSeen:
		return decodeAs[WaveSeen](b[2:])
	case tagMachineServed:
		return decodeAs[MachineServed](b[2:])
	case tagTurnSeen:
		return decodeAs[TurnSeen](b[2:])
	case tagServiceOrdered:
		return decodeAs[ServiceOrdered](b[2:])
	default:
		return nil, eris.Errorf("record has the unknown tag %d", b[1])
	}
}

func decodeAs[R Record](body []byte) (Record, error) {
	var r R
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, eris.Wrap(err, "decode a record")
	}
	return r, nil
}
