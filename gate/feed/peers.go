package feed

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"
)

const (
	syncMethod  = "gate.sync"
	fetchMethod = "gate.fetch"
	claimMethod = "gate.claim"
	claimLimit  = 500 * time.Millisecond
	// An owner hands over to a gate that had an answer of the platform within this time.
	freshPeer = 900 * time.Millisecond
)

// Network carries calls between gates.
type Network interface {
	Call(ctx context.Context, address, method string, params, result any) error
	// DropIfIdle closes the connection to an address over which nothing came for the time given.
	DropIfIdle(address string, silent time.Duration)
}

type syncParams struct{}

type syncResult struct {
	Version int64  `json:"version"`
	AgeMs   int64  `json:"age-ms"`
	Owner   string `json:"owner"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
}

type fetchResult struct {
	Raw []byte `json:"raw"`
}

// QueryVersions asks some gates which configuration they have and learns who is owner.
func (p *Peers) QueryVersions(ctx context.Context) []PeerVersion {
	addresses := p.addresses()
	copies := make(chan PeerVersion, len(addresses))
	for _, a := range addresses {
		go func() { copies <- p.askOne(ctx, a) }()
	}
	out := make([]PeerVersion, 0, len(addresses))
	for range addresses {
		out = append(out, <-copies)
	}
	return out
}

func (p *Peers) askOne(ctx context.Context, address string) PeerVersion {
	result, err := p.sync(ctx, address)
	if err != nil {
		klog.V(1).InfoS("peer-not-reached", "address", address, "error", err.Error())
		return PeerVersion{}
	}
	if result.AgeMs < freshPeer.Milliseconds() {
		p.handOver(ctx, address)
	}
	return NewPeerVersion(result.Version, time.Duration(result.AgeMs)*time.Millisecond, address)
}

func (p *Peers) sync(ctx context.Context, address string) (syncResult, error) {
	var result syncResult
	began := time.Now()
	if err := p.network.Call(ctx, address, syncMethod, syncParams{}, &result); err != nil {
		p.network.DropIfIdle(address, time.Since(began))
		return result, err
	}
	p.keeper.UpdateFromPeer(result.Owner, result.Address, result.Epoch)
	return result, nil
}

// FetchConfig returns the configuration of the gate at an address.
func (p *Peers) FetchConfig(ctx context.Context, address string) ([]byte, error) {
	var result fetchResult
	err := p.network.Call(ctx, address, fetchMethod, syncParams{}, &result)
	return result.Raw, err
}

// SyncHandler returns the handler of other gates' questions.
func (p *Peers) SyncHandler(configs *Configs) (method string, handle func(context.Context, json.RawMessage) (any, error)) {
	return syncMethod, func(context.Context, json.RawMessage) (any, error) {
		version, age := configs.VersionAndAge()
		v := p.keeper.View()
		return syncResult{
			Version: version, AgeMs: age.Milliseconds(), Owner: v.Name(), Address: v.Address(), Epoch: v.Epoch(),
		}, nil
	}
}

// FetchHandler returns the handler of other gates that want the configuration.
func (p *Peers) FetchHandler(configs *Configs) (method string, handle func(context.Context, json.RawMessage) (any, error)) {
	return fetchMethod, func(context.Context, json.RawMessage) (any, error) {
		return fetchResult{configs.Encoded()}, nil
	}
}
