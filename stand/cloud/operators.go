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

// Operators declares configurations to all gates; a gate can be cut off.
type Operators struct {
	mu      sync.Mutex
	configs []*setup.Config
	changed chan struct{}
	cut     map[string]bool
}

// NewOperators returns operators that have declared the configuration.
func NewOperators(cfg *setup.Config) *Operators {
	return &Operators{configs: []*setup.Config{cfg}, changed: make(chan struct{}), cut: map[string]bool{}}
}

// Declare puts a configuration in force.
func (o *Operators) Declare(cfg *setup.Config) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.configs = append(o.configs, cfg)
	close(o.changed)
	o.changed = make(chan struct{})
}

// Cut keeps a gate from learning what is declared, or lets it learn again.
func (o *Operators) Cut(gate string, cut bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cut[gate] = cut
}

// View returns the operators as a gate reaches them.
func (o *Operators) View(gate string) ports.Operators { return operatorsView{o, gate} }

type operatorsView struct {
	operators *Operators
	gate      string
}

func (v operatorsView) since(from int64) ([]ports.Declaration, int64, <-chan struct{}, error) {
	o := v.operators
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cut[v.gate] {
		return nil, 0, nil, ports.ErrRejected
	}
	var declared []ports.Declaration
	for i := from; i < int64(len(o.configs)); i++ {
		declared = append(declared, ports.Declaration{Config: o.configs[i], EncodedConfig: []byte{byte(i)}})
	}
	return declared, int64(len(o.configs)), o.changed, nil
}

// All returns what was declared.
func (v operatorsView) All(context.Context) ([]ports.Declaration, int64, error) {
	declared, next, _, err := v.since(0)
	return declared, next, err
}

// Changes waits for what is declared next.
func (v operatorsView) Changes(ctx context.Context, from int64, wait time.Duration) ([]ports.Declaration, int64, error) {
	declared, next, changed, err := v.since(from)
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
	declared, next, _, err = v.since(from)
	return declared, next, err
}

// Decode finds the configuration that the encoded form stands for.
func (v operatorsView) Decode(raw []byte) (*setup.Config, error) {
	o := v.operators
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(raw) != 1 || int(raw[0]) >= len(o.configs) {
		return nil, eris.New("no such configuration")
	}
	return o.configs[raw[0]], nil
}

// ReportWave does nothing: there are no waves.
func (v operatorsView) ReportWave(context.Context, int64, bool) error { return nil }

// Machines has none to move.
type Machines struct{}

// List returns no machines.
func (Machines) List(context.Context) ([]sched.MachineEntry, error) { return nil, nil }

// Move refuses.
func (Machines) Move(context.Context, sched.MoveMachine, int64) sched.OrderAnswer {
	return sched.AnswerInvalid
}

// Service refuses.
func (Machines) Maintain(context.Context, sched.MaintainMachine, int64) sched.OrderAnswer {
	return sched.AnswerInvalid
}

// Advisor gives no advice.
type Advisor struct{}

// Ask refuses.
func (Advisor) Advise(_ context.Context, o sched.RequestAdvice) sched.AdviceResult {
	return sched.AdviceResult{Order: o, Answer: sched.AnswerRefused}
}
