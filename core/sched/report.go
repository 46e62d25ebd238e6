package sched

import (
	"time"

	"mangowing/core/setup"
)

// Answer is how a call to a worker or to the machines' interface ended.
type Answer uint8

// Answers; the zero value took effect.
const (
	OK        Answer = iota
	Refused          // nothing was done, for a reason that may pass
	NoRoom           // the worker has no room for the task
	NoTicket         // the worker wants a valid ticket
	TooLate          // the order's lease was over when it arrived
	Outrun           // a newer attempt was stopped or ended there
	Fenced           // another owner has used a higher fencing token
	Busy             // the machine is not up
	Invalid          // the order can't be carried out
	WrongLife        // another incarnation lives at the address
	Withdrawn        // the order was not given, since it was no longer wanted
	Unknown          // no answer: it may have taken effect, or still do
)

// String returns the answer's name.
func (a Answer) String() string {
	return [...]string{"ok", "refused", "no-room", "no-ticket", "too-late", "outrun", "fenced", "busy", "invalid", "wrong-life", "withdrawn", "unknown"}[a]
}

// Report is the outcome of an order: StartReport, StopReport, HoldReport, PaceReport, AdviceReport, MoveReport or
// ServiceReport.
type Report interface {
	report()
}

// StartReport answers a StartTask.
type StartReport struct {
	Order     StartTask
	Answer    Answer
	GrantedAt time.Time     // what runs on the worker was renewed from then on
	Took      time.Duration // from the order to its answer
}

// StopReport answers a StopTask.
type StopReport struct {
	Order  StopTask
	Answer Answer
}

// PaceReport answers a PaceTask.
type PaceReport struct {
	Order  PaceTask
	Answer Answer
}

// HoldReport answers a HoldWorker.
type HoldReport struct {
	Order     HoldWorker
	Answer    Answer
	SentAt    time.Time // not after the call was sent
	GrantedAt time.Time // what runs on the worker was renewed from then on
	Born      int64     // start of the worker's incarnation in Unix milliseconds, 0 if it doesn't say
	Active    []ActiveRun
	Ended     []EndedRun
	Partial   bool // more may run than is in Active
}

// ActiveRun is an attempt that runs on a worker.
type ActiveRun struct {
	Task       TaskID
	Attempt    int
	Checkpoint string
	Percent    int // share of its speed at which it works; less than 100 while it starts up
	Load       int // serving tasks: tail latency in ms; others: thousandths of a core in use; -1 if unknown
}

// EndedRun is an attempt that ended on a worker.
type EndedRun struct {
	Number     int64
	Task       TaskID
	Attempt    int
	Ending     Ending
	Checkpoint string
}

// AdviceReport answers an AskAdvice.
type AdviceReport struct {
	Order    AskAdvice
	Answer   Answer
	Tickets  map[string]string // by worker
	Validity time.Duration
	SentAt   time.Time
}

// MoveReport answers a MoveMachine.
type MoveReport struct {
	Order  MoveMachine
	Answer Answer
}

// ServiceReport answers a ServiceMachine.
type ServiceReport struct {
	Order  ServiceMachine
	Answer Answer
}

func (StartReport) report()   {}
func (StopReport) report()    {}
func (HoldReport) report()    {}
func (PaceReport) report()    {}
func (AdviceReport) report()  {}
func (MoveReport) report()    {}
func (ServiceReport) report() {}

// WorkerEntry is what a worker says of itself in the list of workers.
type WorkerEntry struct {
	ID         string
	Machine    string // machine that it is a life of
	Pool       string
	Address    string
	DataCentre string
	Labels     []string
	Capacity   setup.Resources
	Draining   bool
	Remaining  time.Duration // least time that is left to a draining worker
	Born       int64         // start of the incarnation in Unix milliseconds, 0 if it doesn't say
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
	MachineInService
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
	Number   int64
	Machines []string
	Duration time.Duration
	Most     int       // machines that may be down for it at once
	Seen     time.Time // when it became known
}
