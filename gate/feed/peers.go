package feed

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"
)

const (
	syncMethod  = "gate.sync"
	claimMethod = "gate.claim"
	claimLimit  = 500 * time.Millisecond
	// An owner hands over to a gate that had an answer of the platform within this time.
	freshPeer = 900 * time.Millisecond
)

// Network carries calls between gates.
type Network interface {
	Call(ctx context.Context, address, method string, params, result any) error
	// DropSilent closes the connection to an address over which nothing came for the time given.
	DropSilent(address string, silent time.Duration)
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
	result, err := p.sync(ctx, address, version)
	if err != nil {
		klog.V(1).InfoS("peer-not-reached", "address", address, "error", err.Error())
		return Copy{}
	}
	if result.AgeMs < freshPeer.Milliseconds() {
		p.handOver(ctx, address)
	}
	return NewCopy(result.Raw, result.Version, time.Duration(result.AgeMs)*time.Millisecond)
}

func (p *Peers) sync(ctx context.Context, address string, version int64) (syncResult, error) {
	var result syncResult
	began := time.Now()
	if err := p.network.Call(ctx, address, syncMethod, syncParams{version}, &result); err != nil {
		p.network.DropSilent(address, time.Since(began))
		return result, err
	}
	p.keeper.Learn(result.Owner, result.Address, result.Epoch)
	return result, nil
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
