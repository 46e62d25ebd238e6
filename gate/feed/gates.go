package feed

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/timer"
	"mangowing/gate/owner"
	"mangowing/gate/ports"
)

const (
	gatesTopic  = "gates"
	peersPeriod = 10 * time.Second
	peersAsked  = 3
	peersLimit  = 2 * time.Second
	peersPause  = 500 * time.Millisecond
	// Gates that start together learn of each other by some reads close together.
	startReads  = 8
	startPeriod = 250 * time.Millisecond
)

// gate is another gate of the deployment as it entered itself.
type gate struct {
	Address   string  `json:"address"`
	Processor float64 `json:"processor"` // cores that it may use
}

// Peers knows where the other gates are.
type Peers struct {
	log     ports.Log
	network Network
	keeper  *owner.Elector
	name    string
	self    gate

	mu    sync.Mutex
	gates []gate
}

// NewPeers returns the list of the other gates; this gate, which may use so many cores, enters itself at Serve.
func NewPeers(log ports.Log, network Network, keeper *owner.Elector, name, address string, processor float64) *Peers {
	return &Peers{log: log, network: network, keeper: keeper, name: name, self: gate{address, processor}}
}

// Serve enters this gate and keeps the list until the context ends.
func (p *Peers) Serve(ctx context.Context) error {
	entered := false
	for n := 0; ctx.Err() == nil; n++ {
		wait := peersPeriod
		if n < startReads {
			wait = startPeriod
		}
		if !entered {
			entered = p.enter(ctx)
		}
		if !p.refresh(ctx) || !entered {
			wait = peersPause
		}
		timer.Sleep(ctx, wait)
	}
	return ctx.Err()
}

func (p *Peers) enter(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, peersLimit)
	defer cancel()
	value, err := json.Marshal(p.self)
	if err == nil {
		err = p.log.Put(ctx, gatesTopic, ports.KeyValue{Key: p.name, Value: value})
	}
	if err != nil {
		klog.InfoS("gate-not-entered", "error", err.Error())
	}
	return err == nil
}

func (p *Peers) refresh(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, peersLimit)
	defer cancel()
	entries, err := p.log.Newest(ctx, gatesTopic)
	if err != nil {
		klog.V(1).InfoS("gates-not-read", "error", err.Error())
		return false
	}
	var gates []gate
	for _, e := range entries {
		if e.Key == p.name {
			continue
		}
		var g gate
		if err := json.Unmarshal(e.Value, &g); err != nil {
			klog.ErrorS(err, "gate-entry-skipped", "gate", e.Key)
			continue
		}
		gates = append(gates, g)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gates = gates
	return true
}

// addresses returns the owner's address and some others, drawn anew each time.
func (p *Peers) addresses() []string {
	var all []string
	p.mu.Lock()
	for _, g := range p.gates {
		all = append(all, g.Address)
	}
	p.mu.Unlock()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), peersAsked)]
	if v := p.keeper.View(); v.Address() != "" && v.Address() != p.self.Address {
		all = append(all, v.Address())
	}
	return all
}
