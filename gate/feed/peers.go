package feed

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
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
	syncMethod  = "gate.sync"
	claimMethod = "gate.claim"
	claimLimit  = 500 * time.Millisecond
	// An owner that the platform turns away hands over to a gate that had an answer within this time.
	freshPeer    = 900 * time.Millisecond
	peersLimit   = 2 * time.Second
	peersPauseMs = 500
	// Gates that start together learn of each other by some reads close together.
	startReads  = 8
	startPeriod = time.Second
)

// Network carries calls between gates.
type Network interface {
	Call(ctx context.Context, address, method string, params, result any) error
	Drop(address string)
}

// Peers knows where the other gates are.
type Peers struct {
	log     ports.Log
	network Network
	keeper  *owner.Keeper
	name    string
	address string

	mu    sync.Mutex
	seeds []string          // addresses that are known from the settings
	gates map[string]string // address by name
}

// NewPeers returns the list of the other gates; this gate enters itself at Serve.
func NewPeers(log ports.Log, network Network, keeper *owner.Keeper, name, address string) *Peers {
	return &Peers{log: log, network: network, keeper: keeper, name: name, address: address, gates: map[string]string{}}
}

// Seed adds addresses that are known from the settings.
func (p *Peers) Seed(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range addresses {
		if a != p.address {
			p.seeds = append(p.seeds, a)
		}
	}
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
			wait = peersPauseMs * time.Millisecond
		}
		timer.Pause(ctx, wait)
	}
	return ctx.Err()
}

func (p *Peers) enter(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, peersLimit)
	defer cancel()
	err := p.log.Put(ctx, gatesTopic, ports.Entry{Key: p.name, Value: []byte(p.address)})
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
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.gates)
	for _, e := range entries {
		if e.Key != p.name {
			p.gates[e.Key] = string(e.Value)
		}
	}
	return true
}

// addresses returns the owner's address and some others, drawn anew each time.
func (p *Peers) addresses() []string {
	p.mu.Lock()
	all := slices.Collect(maps.Values(p.gates))
	if len(all) == 0 {
		all = slices.Clone(p.seeds)
	}
	p.mu.Unlock()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	all = all[:min(len(all), peersAsked)]
	if v := p.keeper.View(); v.Address() != "" && v.Address() != p.address {
		all = append(all, v.Address())
	}
	return all
}

type syncParams struct {
	Version int64 `json:"version"`
}

type syncResult struct {
	Version int64  `json:"version"`
	Raw     []byte `json:"raw,omitempty"`
	AgeMs   int64  `json:"age-ms"`
	Owner   string `json:"owner"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
}

// Ask asks some gates for their copy of the configuration and learns who is owner.
func (p *Peers) Ask(ctx context.Context, version int64) []Copy {
	addresses := p.addresses()
	copies := make(chan Copy, len(addresses))
	for _, a := range addresses {
		go func() { copies <- p.askOne(ctx, a, version) }()
	}
	out := make([]Copy, 0, len(addresses))
	for range addresses {
		out = append(out, <-copies)
	}
	return out
}

func (p *Peers) askOne(ctx context.Context, address string, version int64) Copy {
	var result syncResult
	if err := p.network.Call(ctx, address, syncMethod, syncParams{version}, &result); err != nil {
		p.network.Drop(address)
		return Copy{}
	}
	p.keeper.Learn(result.Owner, result.Address, result.Epoch)
	if result.AgeMs < freshPeer.Milliseconds() {
		p.handOver(ctx, address)
	}
	return NewCopy(result.Raw, result.Version, time.Duration(result.AgeMs)*time.Millisecond)
}

// handOver lets the gate at the address claim the ownership that this gate can't use, since the platform turns it away.
func (p *Peers) handOver(ctx context.Context, address string) {
	epoch := p.keeper.Mine()
	if epoch == 0 || p.keeper.Away() < askPeersAfter || p.keeper.MayOrder() {
		return
	}
	klog.InfoS("ownership-handed-over", "epoch", epoch, "to", address)
	p.keeper.Lost("the platform turns this gate away")
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	if err := p.network.Call(ctx, address, claimMethod, syncParams{}, nil); err != nil {
		klog.InfoS("hand-over-unanswered", "to", address, "error", err.Error())
	}
}

// AnswerClaim returns the handler of an owner's request to take the ownership over.
func (p *Peers) AnswerClaim() (method string, handle func(context.Context, json.RawMessage) (any, error)) {
	return claimMethod, func(ctx context.Context, _ json.RawMessage) (any, error) {
		go p.keeper.Claim(context.WithoutCancel(ctx))
		return syncResult{}, nil
	}
}

// Answer returns the handler of other gates' questions.
func (p *Peers) Answer(configs *Configs) (method string, handle func(context.Context, json.RawMessage) (any, error)) {
	return syncMethod, func(_ context.Context, raw json.RawMessage) (any, error) {
		var params syncParams
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, err
		}
		c, v := configs.Copy(params.Version), p.keeper.View()
		return syncResult{
			Version: c.version, Raw: c.raw, AgeMs: c.age.Milliseconds(),
			Owner: v.Name(), Address: v.Address(), Epoch: v.Epoch(),
		}, nil
	}
}
