package sched

import "time"

// Order is a request that the caller sends out: StartTask, StopTask, PollWorker, ThrottleTask, RequestAdvice, MoveMachine,
// MaintainMachine or ReportWave.
type Order interface {
	order()
}

// StartTask orders a worker to start an attempt, and renews the leases of all attempts on it.
type StartTask struct {
	Worker     string
	Task       TaskID
	Attempt    int
	Payload    string
	Checkpoint string        // progress of an earlier attempt, empty to start afresh
	Ticket     string        // permission of the policy service, empty if none is needed
	Lease      time.Duration // all attempts on the worker are renewed for this long
	Generation int64         // see FencingToken
}

// StopTask orders a worker to end an attempt, and to refuse it if its start arrives later.
type StopTask struct {
	Worker     string
	Task       TaskID
	Attempt    int
	Generation int64 // see FencingToken
}

// PollWorker renews the leases of the attempts on a worker, and asks which attempts are running and which have ended.
type PollWorker struct {
	Worker       string
	AckedThrough int64         // the worker may forget its ends up to this number, since they are stored
	Lease        time.Duration // 0 renews no lease
	MaxWait      time.Duration // the worker may delay its answer this long until an attempt ends
	Generation   int64         // see FencingToken
}

// ThrottleTask limits an attempt to a percentage of its full speed.
type ThrottleTask struct {
	Worker       string
	Task         TaskID
	Attempt      int
	SpeedPercent int
	Generation   int64 // see FencingToken
}

// RequestAdvice asks the policy service which of the workers may run a step.
type RequestAdvice struct {
	Step    string // as TaskID.StepName returns it
	Workers []string
}

// MoveMachine moves a machine to another pool.
type MoveMachine struct {
	Machine string
	Pool    string
}

// MaintainMachine takes a machine down for the maintenance of a wave.
type MaintainMachine struct {
	Machine string
	Wave    int64
}

// ReportWave reports to the operators that a wave is in progress or completed.
type ReportWave struct {
	Wave      int64
	Completed bool
}

func (StartTask) order()       {}
func (StopTask) order()        {}
func (PollWorker) order()      {}
func (ThrottleTask) order()    {}
func (RequestAdvice) order()   {}
func (MoveMachine) order()     {}
func (MaintainMachine) order() {}
func (ReportWave) order()      {}
