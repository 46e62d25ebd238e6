package sched

// Record is an entry of the journal: JobAccepted, JobCancelled, TaskStarted, TaskEnded, InboxAdvanced, InboxPartitionAdvanced, WaveSeen,
// MaintenanceOrdered, MaintenanceDone, SurgeSeen, EvacuationChanged, SnapshotStarted, JobSnapshot, TasksSnapshot, TasksDone,
// RoundsDone, TaskCrashes or SnapshotEnded. Records are stored as CBOR arrays, so the order and the types of their fields must not change.
type Record interface {
	tag() recordTag
}

// JobAccepted records a new job. Repeated records of the same id are ignored.
type JobAccepted struct {
	_   struct{} `cbor:",toarray"`
	Job JobSpec
}

// JobCancelled records that a job was cancelled; it may precede the job's JobAccepted.
type JobCancelled struct {
	_  struct{} `cbor:",toarray"`
	ID string
}

// TaskStarted records an attempt. It is stored before the start order is sent.
type TaskStarted struct {
	_           struct{} `cbor:",toarray"`
	Task        TaskID
	Attempt     int
	Worker      string
	Incarnation int64 // start of the worker's incarnation in Unix milliseconds
}

// TaskEnded records how an attempt ended.
type TaskEnded struct {
	_          struct{} `cbor:",toarray"`
	Task       TaskID
	Attempt    int
	Outcome    AttemptOutcome
	Checkpoint string
}

// InboxAdvanced records that all inbox records before the offset were processed.
type InboxAdvanced struct {
	_      struct{} `cbor:",toarray"`
	Offset int64
}

// InboxPartitionAdvanced records that all records before the offset of an inbox partition other than the first were processed. It is also
// part of a snapshot, for each such partition.
type InboxPartitionAdvanced struct {
	_         struct{} `cbor:",toarray"`
	Partition int
	Offset    int64
}

func (InboxPartitionAdvanced) tag() recordTag { return tagInboxPartitionAdvanced }

// WaveSeen records when a maintenance wave became known.
type WaveSeen struct {
	_    struct{} `cbor:",toarray"`
	Wave int64
	AtMs int64 // Unix milliseconds
}

// MaintenanceOrdered records that a machine is taken down for a wave. It is stored before the order is sent.
type MaintenanceOrdered struct {
	_       struct{} `cbor:",toarray"`
	Wave    int64
	Machine string
}

// MaintenanceDone records that a machine's maintenance for a wave is done.
type MaintenanceDone struct {
	_       struct{} `cbor:",toarray"`
	Wave    int64
	Machine string
}

// SurgeSeen records what was learned of a pool's surges, its recurring periods of high demand.
type SurgeSeen struct {
	_         struct{} `cbor:",toarray"`
	Pool      string
	StartMs   int64   // start of the last surge in Unix milliseconds, 0 if none was seen
	SurgeRate float64 // core-seconds of work that arrive in a second during a surge
	BaseCores float64 // cores of the machines that the pool had at first
	CycleMs   int64   // time between the starts of two surges
}

// EvacuationChanged records that the evacuation of a data centre begins or ends. Without a data centre it records the offset only.
type EvacuationChanged struct {
	_          struct{} `cbor:",toarray"`
	DataCentre string
	SinceMs    int64 // when the evacuation became known in Unix milliseconds, 0 if it ends
	Offset     int64 // the operators' declarations were read up to this offset
}

// SnapshotStarted starts a snapshot of the whole state. The snapshot replaces the state from earlier records once its
// SnapshotEnded is replayed.
type SnapshotStarted struct {
	_      struct{} `cbor:",toarray"`
	Offset int64    // offset of the first inbox record that has not been processed
}

// JobSnapshot is the part of a snapshot that holds one job. If its tasks would make the record too large, TasksSnapshot records
// follow with them.
type JobSnapshot struct {
	_          struct{} `cbor:",toarray"`
	Job        JobSpec
	Cancelled  bool
	EndedMs    int64          // when the job ended in Unix milliseconds, 0 while it is open
	FinalState JobState       // StateQueued while the job is open
	Started    bool           // a worker has started a task
	Tasks      []taskSnapshot // tasks that were attempted or are done
}

// TasksSnapshot is the part of a snapshot that holds tasks of a job whose JobSnapshot precedes it.
type TasksSnapshot struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Tasks []taskSnapshot
}

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

// TasksDone is the part of a snapshot that holds which tasks of a step are done and have no attempt any more. The JobSnapshot of their job
// precedes it.
type TasksDone struct {
	_      struct{} `cbor:",toarray"`
	Job    string
	Round  int
	Step   int
	Ranges []indexRange
}

// RoundsDone is the part of a snapshot that holds which rounds of a job are done and have no attempt any more. It follows the job's
// JobSnapshot and precedes its tasks.
type RoundsDone struct {
	_      struct{} `cbor:",toarray"`
	Job    string
	Ranges []indexRange
}

// TaskCrashes is the part of a snapshot that holds how many workers have crashed under a task of a job whose JobSnapshot precedes it.
type TaskCrashes struct {
	_         struct{} `cbor:",toarray"`
	Task      TaskID
	Proven    int
	Suspected int
	Orphaned  int
	Doubtful  int
}

// SnapshotEnded completes a snapshot.
type SnapshotEnded struct {
	_    struct{} `cbor:",toarray"`
	Jobs int      // number of JobSnapshot records since SnapshotStarted
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
func (SnapshotStarted) tag() recordTag    { return tagSnapshotStarted }
func (JobSnapshot) tag() recordTag        { return tagJobSnapshot }
func (TasksSnapshot) tag() recordTag      { return tagTasksSnapshot }
func (TasksDone) tag() recordTag          { return tagTasksDone }
func (RoundsDone) tag() recordTag         { return tagRoundsDone }
func (TaskCrashes) tag() recordTag        { return tagTaskCrashes }
func (EvacuationChanged) tag() recordTag  { return tagEvacuationChanged }
func (SnapshotEnded) tag() recordTag      { return tagSnapshotEnded }
