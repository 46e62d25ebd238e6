package sched

// Record is a fact that lasts: JobAccepted, JobCancelled, TaskStarted, TaskEnded, InboxRead, WaveSeen, ServiceOrdered,
// MachineServed, TurnSeen, SnapshotBegun, JobSaved or SnapshotEnded.
type Record interface {
	tag() recordTag
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
	_           struct{} `cbor:",toarray"`
	Task        TaskID
	Attempt     int
	Worker      string
	Incarnation int64 // start of the worker's incarnation in Unix milliseconds
}

// TaskEnded says how an attempt ended.
type TaskEnded struct {
	_          struct{} `cbor:",toarray"`
	Task       TaskID
	Attempt    int
	Outcome    AttemptOutcome
	Checkpoint string
}

// InboxRead says that all records of the inbox before the offset were taken over.
type InboxAdvanced struct {
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
type MaintenanceOrdered struct {
	_       struct{} `cbor:",toarray"`
	Wave    int64
	Machine string
}

// MachineServed says that a machine had its maintenance for a wave.
type MaintenanceDone struct {
	_       struct{} `cbor:",toarray"`
	Wave    int64
	Machine string
}

// TurnSeen says what is known of a pool's turns of high demand.
type SurgeSeen struct {
	_         struct{} `cbor:",toarray"`
	Pool      string
	StartMs   int64   // start of the last turn in Unix milliseconds, 0 if there was none
	PeakRate  float64 // core-seconds in a second of its turns
	BaseCores float64 // cores of the pool's first machines
	CycleMs   int64   // time between two turns of a pool
}

// SnapshotBegun says that the whole state follows, up to SnapshotEnded; once that is there, what was before counts no more.
type SnapshotBegun struct {
	_      struct{} `cbor:",toarray"`
	Offset int64    // inbox offset
}

// JobSaved is a job with the state of its tasks, part of a snapshot.
type JobSnapshot struct {
	_          struct{} `cbor:",toarray"`
	Job        JobSpec
	Cancelled  bool
	EndedMs    int64
	FinalState JobState
	Started    bool
	Tasks      []taskSnapshot
}

// taskSaved is the state of a task that is not fresh.
type taskSnapshot struct {
	_          struct{} `cbor:",toarray"`
	Task       TaskID
	Done       bool
	Attempts   int
	Failures   int
	Checkpoint string
	Runs       []runSnapshot
}

type runSnapshot struct {
	_           struct{} `cbor:",toarray"`
	Attempt     int
	Worker      string
	Incarnation int64
}

// SnapshotEnded says that the snapshot is whole.
type SnapshotEnded struct {
	_    struct{} `cbor:",toarray"`
	Jobs int
}

func (JobAccepted) tag() recordTag        { return tagJobAccepted }
func (JobCancelled) tag() recordTag       { return tagJobCancelled }
func (TaskStarted) tag() recordTag        { return tagTaskStarted }
func (TaskEnded) tag() recordTag          { return tagTaskEnded }
func (InboxAdvanced) tag() recordTag      { return tagInboxAdvanced }
func (WaveSeen) tag() recordTag           { return tagWaveSeen }
func (MaintenanceDone) tag() recordTag    { return tagMaintenanceDone }
func (SurgeSeen) tag() recordTag          { return tagSurgeSeen }
func (MaintenanceOrdered) tag() recordTag { return tagMaintenanceOrdered }
func (SnapshotBegun) tag() recordTag      { return tagSnapshotBegun }
func (JobSnapshot) tag() recordTag        { return tagJobSnapshot }
func (SnapshotEnded) tag() recordTag      { return tagSnapshotEnded }
