package feed

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"
)

const (
	syncMethod   = "gate.sync"
	fetchMethod  = "gate.fetch"
	claimMethod  = "gate.claim"
	claimTimeout = 500 * time.Millisecond
	// An owner hands over only to a gate that received an answer of the platform within this time, judged by the age of its
	// configuration.
	maxPeerAge = 900 * time.Millisecond
)

// Network carries calls between gates.
type Network interface {
	Call(ctx context.Context, address, method string, params, result any) error
	// DropIfIdle closes the connection to the address if nothing was received over it for at least minIdle.
	DropIfIdle(address string, minIdle time.Duration)
}

type syncParams struct{}

type syncResult struct {
	Version int64  `json:"version"`
	AgeMs   int64  `json:"age-ms"`
	Owner   string `json:"owner"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"`
	// LogAgeMs is how long ago the log last answered the gate; gates that don't watch it send none.
	LogAgeMs *int64 `json:"log-age-ms,omitempty"`
	// LogGapMs is the longest recent time between two answers of the log to the gate.
	LogGapMs int64 `json:"log-gap-ms,omitempty"`
}

type fetchResult struct {
	Encoded []byte `json:"raw"`
}

// QueryVersions returns the configuration versions of some gates, and updates this gate's view of the owner by theirs.
func (p *Peers) QueryVersions(ctx context.Context) []PeerVersion {
	addresses := p.queryAddresses()
	versions := make(chan PeerVersion, len(addresses))
	for _, a := range addresses {
		go func() { versions <- p.queryPeer(ctx, a) }()
	}
	out := make([]PeerVersion, 0, len(addresses))
	for range addresses {
		out = append(out, <-versions)
	}
	return out
}

func (p *Peers) queryPeer(ctx context.Context, address string) PeerVersion {
	result, err := p.syncWith(ctx, address)
	if err != nil {
		klog.V(1).InfoS("peer-not-reached", "address", address, "error", err.Error())
		return PeerVersion{}
	}
	if min(result.Version, result.AgeMs) < 0 {
		klog.InfoS("peer-answer-skipped", "address", address, "version", result.Version, "age-ms", result.AgeMs)
		return PeerVersion{}
	}
	if result.AgeMs < maxPeerAge.Milliseconds() {
		p.handOverIfCutOff(ctx, address)
	}
	return NewPeerVersion(result.Version, time.Duration(result.AgeMs)*time.Millisecond, address)
}

func (p *Peers) syncWith(ctx context.Context, address string) (syncResult, error) {
	var result syncResult
	started := time.Now()
	if err := p.network.Call(ctx, address, syncMethod, syncParams{}, &result); err != nil {
		p.network.DropIfIdle(address, time.Since(started))
		return result, err
	}
	p.elector.UpdateFromPeer(result.Owner, result.Address, result.Epoch)
	return result, nil
}

// FetchConfig returns the encoded configuration of the gate at the address.
func (p *Peers) FetchConfig(ctx context.Context, address string) ([]byte, error) {
	var result fetchResult
	err := p.network.Call(ctx, address, fetchMethod, syncParams{}, &result)
	return result.Encoded, err
}

// SyncHandler returns the method and handler of queries for this gate's configuration version and view of the owner.
func (p *Peers) SyncHandler(configs *Configs) (method string, handle func(context.Context, json.RawMessage) (any, error)) {
	return syncMethod, func(context.Context, json.RawMessage) (any, error) {
		version, age := configs.VersionAndAge()
		v := p.elector.View()
		logAge, logGap := p.links.logAgeMs()
		return syncResult{
			Version: version, AgeMs: age.Milliseconds(), Owner: v.Name(), Address: v.Address(), Epoch: v.Epoch(),
			LogAgeMs: logAge, LogGapMs: logGap,
		}, nil
	}
}

// FetchHandler returns the method and handler of requests for this gate's configuration.
func (p *Peers) FetchHandler(configs *Configs) (method string, handle func(context.Context, json.RawMessage) (any, error)) {
	return fetchMethod, func(context.Context, json.RawMessage) (any, error) {
		return fetchResult{configs.Encoded()}, nil
	}
}
