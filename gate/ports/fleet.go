package ports

import (
	"context"
	"time"

	"mangowing/core/sched"
	"mangowing/core/setup"
)

// Target is a worker that is called.
type Target struct {
	ID      string
	Address string
	Born    int64 // start of the incarnation in Unix milliseconds, 0 if unknown
}

// Workers carries orders to workers under the owner's fencing token.
type Workers interface {
	Start(ctx context.Context, t Target, o sched.StartTask, token int64) sched.StartResult
	Stop(ctx context.Context, t Target, o sched.StopTask, token int64) sched.OrderAnswer
	Throttle(ctx context.Context, t Target, o sched.ThrottleTask, token int64) sched.OrderAnswer
	Poll(ctx context.Context, t Target, o sched.PollWorker, token int64) sched.PollResult
	// Forget closes the connections to a worker that has left.
	Disconnect(id string)
}

// Machines is the interface to the platform's machines.
type Machines interface {
	List(ctx context.Context) ([]sched.MachineEntry, error)
	Move(ctx context.Context, o sched.MoveMachine, token int64) sched.OrderAnswer
	Maintain(ctx context.Context, o sched.MaintainMachine, token int64) sched.OrderAnswer
}

// Advisor is the policy service.
type Advisor interface {
	Advise(ctx context.Context, o sched.RequestAdvice) sched.AdviceResult
}

// Change is a worker's new entry in the directory; without an entry the worker has left or lost touch.
type Change struct {
	ID    string
	Entry *sched.WorkerEntry
}

// Directory is the list of workers.
type Directory interface {
	// All returns every entry, and where to go on.
	All(ctx context.Context) (entries []sched.WorkerEntry, next int64, err error)
	// Changes returns the changes from there on; ErrTrimmed means that All must be asked again.
	Changes(ctx context.Context, from int64, wait time.Duration) (changes []Change, next int64, err error)
}

// Declared is what operators have declared; a field without a value is not declared by that record.
type Declaration struct {
	Config        *setup.Config
	EncodedConfig []byte // encoded form of Config, for gates that can't reach the platform
	Wave          *sched.Wave
}

// Operators is where operators declare configurations and waves.
type Operators interface {
	// All returns what is in force, and where to go on.
	All(ctx context.Context) (declared []Declaration, next int64, err error)
	// Changes returns what was declared from there on; ErrTrimmed means that All must be asked again.
	Changes(ctx context.Context, from int64, wait time.Duration) (declared []Declaration, next int64, err error)
	// Decode reads the encoded form of a configuration.
	Decode(raw []byte) (*setup.Config, error)
	// ReportWave tells the operators how far a wave is.
	ReportWave(ctx context.Context, wave int64, completed bool) error
}
