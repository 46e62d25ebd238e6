package sched

import (
	"strconv"
	"strings"
	"time"

	"mangowing/core/setup"
)

// JobSpec is a job as its caller handed it in; it does not change.
type JobSpec struct {
	_               struct{} `cbor:",toarray"`
	ID              string
	Queue           string
	Pool            string // pool that the queue led to when the job was accepted
	Team            string // empty on an open queue
	Payload         string // text handed to the workers
	Steps           []StepSpec
	StartMs         int64 // due time of the first repetition in Unix milliseconds, 0 for at once
	IntervalMs      int64 // time between two repetitions
	Repetitions     int   // how often the steps run, 0 for once
	Priority        int   // 0 is the most urgent
	MaxAttempts     int   // failed attempts of a task that fail the job
	Slack           float64
	TargetMs        int64
	AcceptedMs      int64 // when the job was accepted, in Unix milliseconds
	FirstReceivedMs int64 // when the caller's request reached the system first
	OverShare       bool  // it is more than its team's share of jobs in a second
}

// Timed tells whether the job runs at times of its own.
func (s *JobSpec) IsTimed() bool { return s.Repetitions > 0 || s.StartMs > 0 }

// Rounds returns how often the steps run.
func (s *JobSpec) RoundCount() int { return max(1, s.Repetitions) }

// Due returns when a round may begin, the zero time for at once.
func (s *JobSpec) RoundDue(round int) time.Time {
	if !s.IsTimed() {
		return time.Time{}
	}
	return time.UnixMilli(s.StartMs + int64(round)*s.IntervalMs)
}

// Lasting tells whether the job runs until it is cancelled.
func (s *JobSpec) IsLongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Size returns how many tasks a round of the job has, and their estimated work in core-seconds.
func (s *JobSpec) Size() (tasks int, coreSeconds float64) {
	for i := range s.Steps {
		step := &s.Steps[i]
		tasks += step.Count
		coreSeconds += float64(step.Count) * step.QuotaUsage().Cores() * step.Estimate().Seconds()
	}
	return tasks, coreSeconds
}

// StepSpec is one step of a job: a number of like tasks.
type StepSpec struct {
	_              struct{} `cbor:",toarray"`
	Count          int
	CPU            int
	MemMB          int
	GPU            int
	EstimateMs     int64
	DependsOn      []int  // steps whose tasks must all be done first
	Checkpoints    bool   // the tasks save their progress
	Gang           bool   // the tasks work only all together
	RackLocal      bool   // the tasks are slow when they are spread over racks
	Label          string // label that a worker must have
	DataRack       string // rack that holds the data
	MaxPerWorker   int    // tasks of one round on one worker, 0 for no limit
	Speculative    bool   // copies of a task may run at the same time
	LongRunning    bool   // the tasks run until the job is cancelled
	Image          string // what the tasks run
	TargetMs       int64  // the tail latency of a serving task should stay below this
	BestEffort     bool   // the tasks get the processor time that others leave, and reserve none
	MaxUnavailable int    // lasting tasks that the system may take away at the same time, 0 for no promise
}

// Needs returns what a task takes of a worker's capacity.
func (s *StepSpec) Reservation() setup.Resources {
	r := setup.Resources{CPU: s.CPU, MemMB: s.MemMB, GPU: s.GPU}
	if s.BestEffort {
		r.CPU = 0
	}
	return r
}

// Uses returns what a task counts against its team's limit.
func (s *StepSpec) QuotaUsage() setup.Resources {
	return setup.Resources{CPU: s.CPU, MemMB: s.MemMB, GPU: s.GPU}
}

// Estimate returns the rough run time of a task.
func (s *StepSpec) Estimate() time.Duration { return time.Duration(s.EstimateMs) * time.Millisecond }

// Serves tells whether the tasks answer users of their own within a latency target.
func (s *StepSpec) IsServing() bool { return s.TargetMs > 0 }

// TaskID names a task.
type TaskID struct {
	_     struct{} `cbor:",toarray"`
	Job   string
	Round int
	Step  int
	Index int
}

// String returns the task's name as workers know it.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Round) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepName returns the name of the task's step in its round.
func (t TaskID) StepName() string {
	return t.Job + "." + strconv.Itoa(t.Round) + "." + strconv.Itoa(t.Step)
}

// ParseTaskID reads a task's name.
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

// State is what callers are told of a job.
type JobState uint8

// States of a job; the zero value waits for its first task.
const (
	StateQueued JobState = iota
	StateInProgress
	StateCompleted
	StateFailed
	StateCancelled
)

// Final tells whether the state does not change any more.
func (s JobState) IsFinal() bool { return s >= StateCompleted }

// String returns the state's name.
func (s JobState) String() string {
	return [...]string{"queued", "in-progress", "completed", "failed", "cancelled"}[s]
}

// Ending is how an attempt of a task ended.
type AttemptOutcome uint8

// Endings of an attempt.
const (
	AttemptDone         AttemptOutcome = iota
	AttemptFailed                      // it failed, through its own fault or the worker's
	AttemptStopped                     // on request
	AttemptLeaseExpired                // its lease ran out
	AttemptGangBroken                  // another member of its gang ended
	AttemptGangTimeout                 // it waited in vain for the other members of its gang
	AttemptLost                        // it never began, or its worker is gone
)

// String returns the ending's name.
func (e AttemptOutcome) String() string {
	return [...]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "lost"}[e]
}
