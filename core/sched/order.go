package sched

import "time"

// Order is one thing to do outside: StartTask, StopTask, HoldWorker, PaceTask, AskAdvice, MoveMachine, ServiceMachine
// or ReportWave.
type Order interface {
	order()
}

// StartTask tells a worker to start an attempt.
type StartTask struct {
	Worker     string
	Task       TaskID
	Attempt    int
	Payload    string
	Checkpoint string
	Ticket     string
	Lease      time.Duration // what runs on the worker is renewed for this long
}

// StopTask tells a worker to end an attempt, or never to begin it.
type StopTask struct {
	Worker  string
	Task    TaskID
	Attempt int
}

// HoldWorker renews what runs on a worker and asks what runs and what ended there.
type PollWorker struct {
	Worker       string
	AckedThrough int64         // ends up to this number are stored and may be forgotten
	Lease        time.Duration // 0 renews nothing
	MaxWait      time.Duration // the answer may wait this long for an end
}

// PaceTask sets the share of its speed at which a task works.
type ThrottleTask struct {
	Worker       string
	Task         TaskID
	Attempt      int
	SpeedPercent int
}

// AskAdvice asks the policy service which of the workers may run a step.
type RequestAdvice struct {
	Step    string
	Workers []string
}

// MoveMachine moves a machine to another pool.
type MoveMachine struct {
	Machine string
	Pool    string
}

// ServiceMachine takes a machine down for the maintenance of a wave.
type MaintainMachine struct {
	Machine string
	Wave    int64
}

// ReportWave tells the operators how far a wave is.
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
