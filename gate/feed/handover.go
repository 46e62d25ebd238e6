package feed

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/timer"
)

const (
	// A gate with less than this share of the processor of the strongest one is weak.
	weakShare = 0.75
	// A weak gate claims the ownership this much later than others.
	weakHandicap = 700 * time.Millisecond
	// A weak owner looks for a stronger gate at this pace, by calls that take no longer than the limit.
	yieldPeriod = time.Second
	yieldLimit  = 250 * time.Millisecond
	// An owner yields to a stronger gate no sooner than this after it became one, so that a gate that can't keep the
	// ownership does not get it again and again.
	yieldAfter = 3 * time.Second
	yieldPause = 10 * time.Second
)

// ClaimDelay returns how much later than others this gate should claim the ownership.
func (p *Peers) ClaimDelay() time.Duration {
	if len(p.stronger()) == 0 {
		return 0
	}
	return weakHandicap
}

// stronger returns the addresses of the gates beside which this one is weak, in random order.
func (p *Peers) stronger() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for _, g := range p.gates {
		if p.self.Processor < weakShare*g.Processor {
			addresses = append(addresses, g.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// weaker tells whether the gate at the address is weak beside this one.
func (p *Peers) weaker(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.gates {
		if g.Address == address {
			return g.Processor < weakShare*p.self.Processor
		}
	}
	return false
}

// YieldOwnership hands the ownership to a stronger gate while this weak one has it, until the context ends.
func (p *Peers) YieldOwnership(ctx context.Context) error {
	owned, since, yielded := int64(0), time.Duration(0), -yieldPause
	for ctx.Err() == nil {
		timer.Sleep(ctx, yieldPeriod)
		now := timer.SinceBoot()
		epoch := p.keeper.OwnEpoch()
		if epoch != owned {
			owned, since = epoch, now
		}
		if epoch == 0 || now-since < yieldAfter || now-yielded < yieldPause || !p.keeper.CanOrder() {
			continue
		}
		if p.yield(ctx, epoch) {
			yielded = now
		}
	}
	return ctx.Err()
}

func (p *Peers) yield(ctx context.Context, epoch int64) bool {
	for _, address := range p.stronger() {
		callCtx, cancel := context.WithTimeout(ctx, yieldLimit)
		result, err := p.sync(callCtx, address)
		cancel()
		if err == nil && result.AgeMs < freshPeer.Milliseconds() {
			p.letClaim(ctx, address, epoch)
			return true
		}
	}
	return false
}

type claimParams struct {
	Epoch int64 `json:"epoch"`
}

// handOver lets the gate at the address claim the ownership that this gate can't use, since the platform turns it away.
// It does not hand it to a weaker gate: the others notice soon, and the strong ones of them claim first.
func (p *Peers) handOver(ctx context.Context, address string) {
	epoch := p.keeper.OwnEpoch()
	if epoch == 0 || p.keeper.TimeSinceLogRead() < askPeersAfter || p.keeper.CanOrder() || p.weaker(address) {
		return
	}
	p.keeper.EndOwnership("the platform turns this gate away")
	p.letClaim(ctx, address, epoch)
}

// letClaim asks the gate at the address to claim the ownership that has the epoch.
func (p *Peers) letClaim(ctx context.Context, address string, epoch int64) {
	klog.InfoS("ownership-handed-over", "epoch", epoch, "to", address)
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	if err := p.network.Call(ctx, address, claimMethod, claimParams{epoch}, nil); err != nil {
		klog.InfoS("hand-over-unanswered", "to", address, "error", err.Error())
	}
}

// ClaimHandler returns the handler of an owner's request to take the ownership over.
func (p *Peers) ClaimHandler() (method string, handle func(context.Context, json.RawMessage) (any, error)) {
	return claimMethod, func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params claimParams
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, err
		}
		go p.keeper.TakeOver(context.WithoutCancel(ctx), params.Epoch)
		return syncResult{}, nil
	}
}
