package cloud

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"mangowing/core/sched"
	"mangowing/core/setup"
	"mangowing/gate/ports"
)

// Operators declares configurations to all gates. It can be made unreachable for a gate.
type Operators struct {
	mu          sync.Mutex
	configs     []*setup.Config
	changed     chan struct{}
	unreachable map[string]bool // by gate
}

// NewOperators returns an Operators that has declared the configuration.
func NewOperators(cfg *setup.Config) *Operators {
	return &Operators{configs: []*setup.Config{cfg}, changed: make(chan struct{}), unreachable: map[string]bool{}}
}

// Declare declares a configuration, which replaces the one before.
func (o *Operators) Declare(cfg *setup.Config) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.configs = append(o.configs, cfg)
	close(o.changed)
	o.changed = make(chan struct{})
}

// SetUnreachable sets whether a gate's reads of the declarations are rejected.
func (o *Operators) SetUnreachable(gate string, unreachable bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unreachable[gate] = unreachable
}

// View returns the operators as the named gate sees them.
func (o *Operators) View(gate string) ports.Operators { return operatorsView{o, gate} }

type operatorsView struct {
	operators *Operators
	gate      string
}

func (v operatorsView) declaredSince(from int64) ([]ports.Declaration, int64, <-chan struct{}, error) {
	o := v.operators
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unreachable[v.gate] {
		return nil, 0, nil, ports.ErrRejected
	}
	var declared []ports.Declaration
	for i := from; i < int64(len(o.configs)); i++ {
		declared = append(declared, ports.Declaration{Config: o.configs[i], EncodedConfig: []byte{byte(i)}})
	}
	return declared, int64(len(o.configs)), o.changed, nil
}

// All returns all declarations and the offset from which to read changes.
func (v operatorsView) All(context.Context) ([]ports.Declaration, int64, error) {
	declared, next, _, err := v.declaredSince(0)
	return declared, next, err
}

// Changes returns the declarations from the offset on, waiting for the first one if there is none yet.
func (v operatorsView) Changes(ctx context.Context, from int64, wait time.Duration) ([]ports.Declaration, int64, error) {
	declared, next, changed, err := v.declaredSince(from)
	if err != nil || len(declared) > 0 {
		return declared, next, err
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case <-changed:
	case <-timeout.C:
	case <-ctx.Done():
		return nil, from, ports.ErrOutcomeUnknown
	}
	declared, next, _, err = v.declaredSince(from)
	return declared, next, err
}

// Decode returns the declared configuration whose index is the encoded form.
func (v operatorsView) Decode(raw []byte) (*setup.Config, error) {
	o := v.operators
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(raw) != 1 || int(raw[0]) >= len(o.configs) {
		return nil, eris.New("no such configuration")
	}
	return o.configs[raw[0]], nil
}

// ReportWave does nothing, since there are no waves.
func (v operatorsView) ReportWave(context.Context, int64, bool) error { return nil }

// Machines is a platform without machines.
type Machines struct{}

// List returns no machines.
func (Machines) List(context.Context) ([]sched.MachineEntry, error) { return nil, nil }

// Move rejects the order.
func (Machines) Move(context.Context, sched.MoveMachine, int64) sched.OrderAnswer {
	return sched.AnswerInvalid
}

// Maintain rejects the order.
func (Machines) Maintain(context.Context, sched.MaintainMachine, int64) sched.OrderAnswer {
	return sched.AnswerInvalid
}

// Advisor is a policy service that refuses all requests.
type Advisor struct{}

// Advise refuses the request.
func (Advisor) Advise(_ context.Context, o sched.RequestAdvice) sched.AdviceResult {
	return sched.AdviceResult{Order: o, Answer: sched.AnswerRefused}
}
