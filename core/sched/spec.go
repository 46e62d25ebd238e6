package sched

import (
	"strconv"
	"strings"
	"time"

	"mangowing/core/setup"
)

// JobSpec is an immutable job as it was submitted. It is stored as a CBOR array, so the order of the fields must not change.
type JobSpec struct {
	_               struct{} `cbor:",toarray"`
	ID              string
	Queue           string
	Pool            string // pool of the queue when the job was accepted
	Team            string // organisation that submitted the job, empty on an open queue
	Payload         string // passed to the workers as it is
	Steps           []StepSpec
	StartMs         int64   // start of the first round in Unix milliseconds, 0 for at once
	IntervalMs      int64   // time between the starts of two rounds
	Repetitions     int     // number of rounds, 0 for one
	Priority        int     // 0 is the most urgent
	MaxAttempts     int     // number of failed attempts of a task after which the job fails
	Slack           float64 // the deadline is this many times the critical path, plus TargetMs, after FirstReceivedMs
	TargetMs        int64
	AcceptedMs      int64 // when the job was accepted, in Unix milliseconds
	FirstReceivedMs int64 // when the client's first request for the job arrived, in Unix milliseconds
	OverShare       bool  // it exceeds its team's rate of new jobs
}

// IsTimed reports whether the job's rounds start at given times.
func (s *JobSpec) IsTimed() bool { return s.Repetitions > 0 || s.StartMs > 0 }

// RoundCount returns how often the steps run.
func (s *JobSpec) RoundCount() int { return max(1, s.Repetitions) }

// RoundDue returns when round n may begin, or the zero time for at once.
func (s *JobSpec) RoundDue(n int) time.Time {
	if !s.IsTimed() {
		return time.Time{}
	}
	return time.UnixMilli(s.StartMs + int64(n)*s.IntervalMs)
}

// dueWindow is the time within which rounds count as due together.
const dueWindow = 10 * time.Second

// TasksDue returns how many tasks the job has in the rounds that are due within dueWindow after now, or after its start if that is later.
func (s *JobSpec) TasksDue(now time.Time) float64 {
	tasks, _ := s.Work()
	rounds := float64(s.RoundCount())
	if s.IntervalMs > 0 {
		elapsed := float64(max(0, now.UnixMilli()-s.StartMs) + dueWindow.Milliseconds())
		rounds = min(rounds, elapsed/float64(s.IntervalMs)+1)
	}
	return float64(tasks) * rounds
}

// LargestGang returns the number of tasks in the widest step that is a gang.
func (s *JobSpec) LargestGang() int {
	widest := 0
	for i := range s.Steps {
		if step := &s.Steps[i]; step.Gang {
			widest = max(widest, step.Count)
		}
	}
	return widest
}

// hasTask reports whether the task is one of the job's.
func (s *JobSpec) hasTask(id TaskID) bool {
	return min(id.Round, id.Step, id.Index) >= 0 && id.Round < s.RoundCount() && id.Step < len(s.Steps) && id.Index < s.Steps[id.Step].Count
}

// IsLongRunning reports whether the job runs until it is cancelled.
func (s *JobSpec) IsLongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Work returns the number of tasks in a round of the job, and their estimated work in core-seconds.
func (s *JobSpec) Work() (tasks int, coreSeconds float64) {
	for i := range s.Steps {
		step := &s.Steps[i]
		tasks += step.Count
		coreSeconds += float64(step.Count) * step.QuotaUsage().Cores() * step.Estimate().Seconds()
	}
	return tasks, coreSeconds
}

// taskCount returns the number of tasks in a round of the job.
func (s *JobSpec) taskCount() int {
	tasks, _ := s.Work()
	return tasks
}

// nearWork returns the core-seconds of a round of the job that can be done within planningHorizon of its start.
func (s *JobSpec) nearWork() float64 {
	var l workload
	ends := make([]time.Duration, len(s.Steps))
	for n := range s.Steps {
		step := &s.Steps[n]
		wait := step.waitFor(ends, n)
		ends[n] = wait + step.Estimate()
		l.add(float64(step.Count)*step.QuotaUsage().Cores(), wait, step.Estimate())
	}
	return l.within(planningHorizon)
}

// StepSpec is one step of a job: Count like tasks. It is stored as a CBOR array, so the order of the fields must not change.
type StepSpec struct {
	_              struct{} `cbor:",toarray"`
	Count          int
	CPU            int // thousandths of a core
	MemMB          int
	GPU            int
	EstimateMs     int64  // rough run time of a task
	DependsOn      []int  // indexes of steps whose tasks must all be done first
	Checkpoints    bool   // the tasks save their progress
	Gang           bool   // the tasks only run all at the same time
	RackLocal      bool   // the tasks are slow when they run on different racks
	Label          string // label that a worker must have
	DataRack       string // label of the rack that holds the data
	MaxPerWorker   int    // limit on the tasks of one round on one worker, 0 for none
	Speculative    bool   // copies of a task may run at the same time
	LongRunning    bool   // the tasks run until the job is cancelled
	Image          string // image that the tasks run
	TargetMs       int64  // upper bound for the tail latency of a serving task, 0 if the tasks don't serve
	BestEffort     bool   // the tasks reserve no CPU and use what other tasks leave
	MaxUnavailable int    // long-running tasks that the scheduler may interrupt at the same time, 0 for no limit
}

// Reservation returns the share of a worker's capacity that a task reserves.
func (s *StepSpec) Reservation() setup.Resources {
	r := setup.Resources{CPU: s.CPU, MemMB: s.MemMB, GPU: s.GPU}
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// QuotaUsage returns what a task counts against its team's limit.
func (s *StepSpec) QuotaUsage() setup.Resources {
	return setup.Resources{CPU: s.CPU, MemMB: s.MemMB, GPU: s.GPU}
}

// Estimate returns the rough run time of a task.
func (s *StepSpec) Estimate() time.Duration { return time.Duration(s.EstimateMs) * time.Millisecond }

// waitFor returns when step n can start, given when the steps before it end.
func (s *StepSpec) waitFor(ends []time.Duration, n int) time.Duration {
	wait := time.Duration(0)
	for _, dependency := range s.DependsOn {
		if dependency >= 0 && dependency < n {
			wait = max(wait, ends[dependency])
		}
	}
	return wait
}

// IsServing reports whether the tasks serve requests under a latency target.
func (s *StepSpec) IsServing() bool { return s.TargetMs > 0 }

// TaskID identifies a task by its job and its indexes within it.
type TaskID struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Round int
	Step  int
	Index int
}

// String returns the task's name in orders to workers, "job.round.step.index".
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Round) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step, "job.round.step".
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Round) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID parses a name as String returns it, and reports whether it is valid.
func ParseTaskID(name string) (TaskID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return TaskID{}, false
	}
	t := TaskID{Job: parts[0]}
	for i, field := range []*int{&t.Round, &t.Step, &t.Index} {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, false
		}
		*field = n
	}
	return t, true
}

// JobState is the state of a job as clients see it.
type JobState uint8

// States of a job.
const (
	StateQueued JobState = iota // no worker has started a task yet
	StateInProgress
	StateCompleted
	StateFailed
	StateCancelled
)

// IsFinal reports whether the state can no longer change.
func (s JobState) IsFinal() bool { return s >= StateCompleted }

// String returns the state's name, such as "in-progress".
func (s JobState) String() string {
	return [...]string{"queued", "in-progress", "completed", "failed", "cancelled"}[s]
}

// AttemptOutcome is how an attempt of a task ended.
type AttemptOutcome uint8

// Outcomes of an attempt.
const (
	AttemptDone         AttemptOutcome = iota
	AttemptFailed                      // the task or its worker failed
	AttemptStopped                     // stopped by an order
	AttemptLeaseExpired                // its lease ran out
	AttemptGangBroken                  // another task of its gang ended
	AttemptGangTimeout                 // the other tasks of its gang didn't start in time
	AttemptLost                        // it never started, or its worker is gone
	AttemptCrashed                     // its worker crashed, and no other attempt can be the cause
	AttemptSuspected                   // its worker crashed, and it is among those that may be the cause
	AttemptDoubtful                    // its worker crashed, and it is not known whether it had started
	AttemptOrphaned                    // its worker crashed, and another attempt or none is the cause more likely
)

// String returns the outcome's name, such as "lapsed" for an expired lease.
func (o AttemptOutcome) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost", "crashed", "suspected", "doubtful", "orphaned"}[o]
}
