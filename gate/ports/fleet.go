package ports

import (
	"context"
	"time"

	"mangowing/core/sched"
	"mangowing/core/setup"
)

// Target identifies the worker that a call goes to.
type Target struct {
	ID          string
	Address     string
	Incarnation int64 // start of the worker's incarnation in Unix milliseconds, 0 if unknown
}

// Workers sends orders to workers. The token is the call's fencing token, as sched.FencingToken returns it.
type Workers interface {
	Start(ctx context.Context, t Target, o sched.StartTask, token int64) sched.StartResult
	Stop(ctx context.Context, t Target, o sched.StopTask, token int64) sched.OrderAnswer
	Throttle(ctx context.Context, t Target, o sched.ThrottleTask, token int64) sched.OrderAnswer
	Poll(ctx context.Context, t Target, o sched.PollWorker, token int64) sched.PollResult
	// Disconnect closes the connections to a worker that has left.
	Disconnect(id string)
}

// Machines lists the platform's machines and sends orders to them. The token is the owner's fencing token.
type Machines interface {
	List(ctx context.Context) ([]sched.MachineEntry, error)
	Move(ctx context.Context, o sched.MoveMachine, token int64) sched.OrderAnswer
	Maintain(ctx context.Context, o sched.MaintainMachine, token int64) sched.OrderAnswer
}

// Advisor is the policy service, which decides which workers may run a step.
type Advisor interface {
	Advise(ctx context.Context, o sched.RequestAdvice) sched.AdviceResult
}

// WorkerChange is a worker's new entry in the directory. The entry is nil if the worker has left or lost its connection to the
// platform.
type WorkerChange struct {
	ID    string
	Entry *sched.WorkerEntry
}

// Directory is the platform's list of workers.
type Directory interface {
	// All returns all entries and the offset from which to read changes.
	All(ctx context.Context) (entries []sched.WorkerEntry, next int64, err error)
	// Changes returns the changes from the offset on, waiting for the first one if there is none yet. After ErrTrimmed, All must
	// be called again.
	Changes(ctx context.Context, from int64, wait time.Duration) (changes []WorkerChange, next int64, err error)
}

// Declaration is one record of what operators have declared. It holds a configuration, a wave or an evacuation; the fields of the others
// are nil.
type Declaration struct {
	Config        *setup.Config
	EncodedConfig []byte // encoded form of Config, passed on to gates that can't reach the platform
	Wave          *sched.Wave
	Evacuation    *Evacuation
}

// Evacuation is a request to evacuate a data centre, or its withdrawal.
type Evacuation struct {
	DataCentre string
	Withdrawn  bool
}

// Operators is the platform's store of the operators' configurations, waves and evacuations.
type Operators interface {
	// All returns the declarations in force and the offset from which to read changes.
	All(ctx context.Context) (declared []Declaration, next int64, err error)
	// Changes returns the declarations from the offset on, waiting for the first one if there is none yet. After ErrTrimmed, All
	// must be called again.
	Changes(ctx context.Context, from int64, wait time.Duration) (declared []Declaration, next int64, err error)
	// Decode decodes a configuration from its encoded form.
	Decode(raw []byte) (*setup.Config, error)
	// ReportWave reports to the operators that a wave has started, or that it is completed.
	ReportWave(ctx context.Context, wave int64, completed bool) error
}
