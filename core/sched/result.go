package sched

import (
	"time"

	"mangowing/core/setup"
)

// OrderAnswer is how a call to a worker, the machine interface or the policy service ended.
type OrderAnswer uint8

// Answers to an order.
const (
	AnswerOK               OrderAnswer = iota // the order took effect
	AnswerRefused                             // not carried out, for a reason that may pass
	AnswerNoRoom                              // the worker has no room for the task
	AnswerNoTicket                            // the worker requires a valid ticket
	AnswerLeaseExpired                        // the order's lease had run out when it arrived
	AnswerSuperseded                          // the worker has already stopped or ended this attempt or a later one
	AnswerFenced                              // the worker or machine has received a higher fencing token
	AnswerBusy                                // the machine is not up
	AnswerInvalid                             // the order cannot be carried out as given
	AnswerWrongIncarnation                    // another incarnation answers at the worker's address
	AnswerWithdrawn                           // the order was not sent, since it was no longer needed
	AnswerNotSent                             // the worker's port is closed
	AnswerUnknown                             // no answer: the order may have taken effect, or still do so
)

// String returns the answer's name, such as "no-room".
func (a OrderAnswer) String() string {
	return [...]string{"ok", "refused", "no-room", "no-ticket", "too-late", "outrun", "fenced", "busy", "invalid", "wrong-life", "withdrawn", "not-sent", "unknown"}[a]
}

// OrderResult is the outcome of an order: StartResult, StopResult, PollResult, ThrottleResult, AdviceResult, MoveResult or
// MaintenanceResult.
type OrderResult interface {
	orderResult()
}

// StartResult is the outcome of a StartTask.
type StartResult struct {
	Order            StartTask
	Answer           OrderAnswer
	GrantedAt        time.Time     // start of the renewed leases
	ClockIncarnation int64         // incarnation whose clock the end of the leases was computed by, 0 if unknown
	Restarted        bool          // the answer's clock shows a later incarnation than ClockIncarnation
	Latency          time.Duration // time from the order to its answer
}

// StopResult is the outcome of a StopTask.
type StopResult struct {
	Order  StopTask
	Answer OrderAnswer
}

// ThrottleResult is the outcome of a ThrottleTask.
type ThrottleResult struct {
	Order  ThrottleTask
	Answer OrderAnswer
}

// PollResult is the outcome of a PollWorker.
type PollResult struct {
	Order            PollWorker
	Answer           OrderAnswer
	SentAt           time.Time // when the call was sent, or a little earlier
	GrantedAt        time.Time // start of the renewed leases
	ClockIncarnation int64     // incarnation whose clock the end of the leases was computed by, 0 if unknown
	Incarnation      int64     // start of the incarnation that answered in Unix milliseconds, 0 if unknown
	Active           []ActiveRun
	Ended            []EndedRun
	Partial          bool // Active or Ended may be incomplete, so that a run in neither may still be there or have ended
	MoreEnds         bool // the worker may have further ends, which it lists once these are acknowledged; Partial is set as well
}

// ActiveRun is a running attempt as its worker reports it.
type ActiveRun struct {
	Task         TaskID
	Attempt      int
	Checkpoint   string
	SpeedPercent int // percentage of full speed; below 100 while it starts up or is throttled
	Load         int // serving tasks: tail latency in ms; others: thousandths of a core in use; -1 if unknown
}

// EndedRun is an ended attempt as its worker reports it.
type EndedRun struct {
	Number     int64 // counts up within an incarnation of the worker
	Task       TaskID
	Attempt    int
	Outcome    AttemptOutcome
	Checkpoint string
}

// AdviceResult is the outcome of a RequestAdvice.
type AdviceResult struct {
	Order    RequestAdvice
	Answer   OrderAnswer
	Tickets  map[string]string // by worker id; workers without one may not run the step
	Validity time.Duration     // of the tickets, from SentAt on
	SentAt   time.Time
}

// MoveResult is the outcome of a MoveMachine.
type MoveResult struct {
	Order  MoveMachine
	Answer OrderAnswer
}

// MaintenanceResult is the outcome of a MaintainMachine.
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

// WorkerEntry is a worker in the platform's list of workers.
type WorkerEntry struct {
	ID          string
	Machine     string // id of the machine that it runs on
	Pool        string
	Address     string
	DataCentre  string
	Labels      []string
	Capacity    setup.Resources
	Draining    bool          // it will leave and takes no new tasks
	Remaining   time.Duration // minimum time until a draining worker leaves
	Incarnation int64         // start of the incarnation in Unix milliseconds, 0 if unknown
}

// Rack returns the label that names the worker's rack, the second one, or "" if it has none.
func (e *WorkerEntry) Rack() string {
	if len(e.Labels) < 2 {
		return ""
	}
	return e.Labels[1]
}

// MachineState is the state of a machine.
type MachineState uint8

// States of a machine.
const (
	MachineUp MachineState = iota // it runs a worker
	MachineMoving
	MachineInMaintenance
	MachineDown
)

// MachineEntry is a machine in the list of the machine interface.
type MachineEntry struct {
	ID         string
	Pool       string
	State      MachineState
	DataCentre string
	Worker     string // id of the worker that runs on it
	Labels     []string
	Capacity   setup.Resources
}

// Wave is a maintenance wave: a request to maintain a set of machines, a few at a time.
type Wave struct {
	Number    int64
	Machines  []string
	Duration  time.Duration // time limit for the whole wave
	MaxDown   int           // machines that may be down for the wave at the same time
	FirstSeen time.Time     // when it became known
}
