package sched

import (
	"time"

	"mangowing/core/setup"
)

// Answer is how a call to a worker or to the machines' interface ended.
type OrderAnswer uint8

// Answers; the zero value took effect.
const (
	AnswerOK               OrderAnswer = iota
	AnswerRefused                      // nothing was done, for a reason that may pass
	AnswerNoRoom                       // the worker has no room for the task
	AnswerNoTicket                     // the worker wants a valid ticket
	AnswerLeaseExpired                 // the order's lease was over when it arrived
	AnswerSuperseded                   // a newer attempt was stopped or ended there
	AnswerFenced                       // another owner has used a higher fencing token
	AnswerBusy                         // the machine is not up
	AnswerInvalid                      // the order can't be carried out
	AnswerWrongIncarnation             // another incarnation lives at the address
	AnswerWithdrawn                    // the order was not given, since it was no longer wanted
	AnswerUnknown                      // no answer: it may have taken effect, or still do
)

// String returns the answer's name.
func (a OrderAnswer) String() string {
	return [...]string{"ok", "refused", "no-room", "no-ticket", "too-late", "outrun", "fenced", "busy", "invalid", "wrong-life", "withdrawn", "unknown"}[a]
}

// Report is the outcome of an order: StartReport, StopReport, HoldReport, PaceReport, AdviceReport, MoveReport or
// ServiceReport.
type OrderResult interface {
	orderResult()
}

// StartReport answers a StartTask.
type StartResult struct {
	Order     StartTask
	Answer    OrderAnswer
	GrantedAt time.Time     // what runs on the worker was renewed from then on
	Latency   time.Duration // from the order to its answer
}

// StopReport answers a StopTask.
type StopResult struct {
	Order  StopTask
	Answer OrderAnswer
}

// PaceReport answers a PaceTask.
type ThrottleResult struct {
	Order  ThrottleTask
	Answer OrderAnswer
}

// HoldReport answers a HoldWorker.
type PollResult struct {
	Order       PollWorker
	Answer      OrderAnswer
	SentAt      time.Time // not after the call was sent
	GrantedAt   time.Time // what runs on the worker was renewed from then on
	Incarnation int64     // start of the worker's incarnation in Unix milliseconds, 0 if it doesn't say
	Active      []ActiveRun
	Ended       []EndedRun
	Partial     bool // more may run than is in Active
}

// ActiveRun is an attempt that runs on a worker.
type ActiveRun struct {
	Task         TaskID
	Attempt      int
	Checkpoint   string
	SpeedPercent int // share of its speed at which it works; less than 100 while it starts up
	Load         int // serving tasks: tail latency in ms; others: thousandths of a core in use; -1 if unknown
}

// EndedRun is an attempt that ended on a worker.
type EndedRun struct {
	Number     int64
	Task       TaskID
	Attempt    int
	Outcome    AttemptOutcome
	Checkpoint string
}

// AdviceReport answers an AskAdvice.
type AdviceResult struct {
	Order    RequestAdvice
	Answer   OrderAnswer
	Tickets  map[string]string // by worker
	Validity time.Duration
	SentAt   time.Time
}

// MoveReport answers a MoveMachine.
type MoveResult struct {
	Order  MoveMachine
	Answer OrderAnswer
}

// ServiceReport answers a ServiceMachine.
type MaintenanceResult struct {
	Order  MaintainMachine
	Answer OrderAnswer
}

func (StartResult) orderResult()       {}
func (StopResult) orderResult()        {}
func (PollResult) orderResult()        {}
func (ThrottleResult) orderResult()    {}
func (AdviceResult) orderResult()      {}
func (MoveResult) orderResult()        {}
func (MaintenanceResult) orderResult() {}

// WorkerEntry is what a worker says of itself in the list of workers.
type WorkerEntry struct {
	ID          string
	Machine     string // machine that it is a life of
	Pool        string
	Address     string
	DataCentre  string
	Labels      []string
	Capacity    setup.Resources
	Draining    bool
	Remaining   time.Duration // least time that is left to a draining worker
	Incarnation int64         // start of the incarnation in Unix milliseconds, 0 if it doesn't say
}

// Rack returns the label that names the worker's rack, empty if none does.
func (e *WorkerEntry) Rack() string {
	if len(e.Labels) < 2 {
		return ""
	}
	return e.Labels[1]
}

// MachineState is what a machine is doing.
type MachineState uint8

// States of a machine; the zero value runs a worker.
const (
	MachineUp MachineState = iota
	MachineMoving
	MachineInMaintenance
	MachineDown
)

// MachineEntry is a machine as the machines' interface lists it.
type MachineEntry struct {
	ID         string
	Pool       string
	State      MachineState
	DataCentre string
	Worker     string
	Labels     []string
	Capacity   setup.Resources
}

// Wave asks for maintenance of machines.
type Wave struct {
	Number    int64
	Machines  []string
	Duration  time.Duration
	MaxDown   int       // machines that may be down for it at once
	FirstSeen time.Time // when it became known
}
