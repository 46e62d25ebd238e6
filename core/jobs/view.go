package jobs

// State is what a job is doing.
type State uint8

// States of a job; the zero value waits for a worker.
const (
	Waiting State = iota
	Running
	Checkpointed // saved on request of a drain, still holding its lease
	Failed       // ended with an error on its worker
)

// Job is one job as the last step and its worker's report show it.
type Job struct {
	spec JobSpec
}

// JobSpec names the fields of a Job for NewJob.
type JobSpec struct {
	ID        string   // the job's id
	Team      string   // the team that it works for
	Size      int      // slots that it takes
	State     State    // what it is doing
	Worker    string   // the worker that holds its lease, empty while it waits
	LeaseEnds int64    // when the lease surely lapsed, in Unix milliseconds
	FailedOn  []string // distinct healthy workers on which it failed
	Cancelled bool     // its caller no longer wants it
}

// NewJob returns the job described by the specification.
func NewJob(s JobSpec) Job { return Job{s} }

// Worker is one VM that may run jobs.
type Worker struct {
	spec WorkerSpec
}

// WorkerSpec names the fields of a Worker for NewWorker.
type WorkerSpec struct {
	Name      string // the VM's name
	Domain    string // its failure domain
	Free      int    // slots that are not in use
	Serving   bool   // it serves its pool
	Reachable bool   // it answers its data centre's gates
	Fenced    bool   // the platform confirmed that its work has ended
	FailsAll  bool   // it fails whatever it starts
}

// NewWorker returns the worker described by the specification.
func NewWorker(s WorkerSpec) Worker { return Worker{s} }

func (w Worker) takesWork() bool { return w.spec.Serving && w.spec.Reachable && !w.spec.FailsAll }

// View is everything that one plan is made from; Plan changes none of it.
type View struct {
	Jobs    []Job
	Workers []Worker
	NowMs   int64 // wall clock in Unix milliseconds
}
