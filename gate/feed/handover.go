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
	// A gate is weak if it has less than this share of the cores of the strongest gate.
	weakShare = 0.75
	// A weak gate claims the ownership this much later than others.
	weakClaimDelay = 700 * time.Millisecond
	// How often a weak owner checks for a stronger gate, and the time limit of each call.
	yieldCheckPeriod = time.Second
	yieldCallTimeout = 250 * time.Millisecond
	// An owner yields only after it has been the owner for minOwnedTime, and not again within yieldCooldown, so that a stronger
	// gate that can't keep the ownership does not get it again and again.
	minOwnedTime  = 3 * time.Second
	yieldCooldown = 10 * time.Second
)

// ClaimDelay returns how much later than others this gate should claim the ownership.
func (p *Peers) ClaimDelay() time.Duration {
	if len(p.strongerGates()) == 0 {
		return 0
	}
	return weakClaimDelay
}

// strongerGates returns, in random order, the addresses of the gates compared to which this gate is weak.
func (p *Peers) strongerGates() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var addresses []string
	for _, g := range p.gates {
		if p.self.Cores < weakShare*g.Cores {
			addresses = append(addresses, g.Address)
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}

// isWeaker reports whether the gate at the address is weak compared to this gate.
func (p *Peers) isWeaker(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, g := range p.gates {
		if g.Address == address {
			return g.Cores < weakShare*p.self.Cores
		}
	}
	return false
}

// YieldOwnership hands over the ownership to a stronger gate while this gate is the owner and weak, until the context ends.
func (p *Peers) YieldOwnership(ctx context.Context) error {
	lastEpoch, ownedSince, lastYield := int64(0), time.Duration(0), -yieldCooldown
	for ctx.Err() == nil {
		timer.Sleep(ctx, yieldCheckPeriod)
		now := timer.SinceBoot()
		epoch := p.elector.OwnEpoch()
		if epoch != lastEpoch {
			lastEpoch, ownedSince = epoch, now
		}
		if epoch == 0 || now-ownedSince < minOwnedTime || now-lastYield < yieldCooldown || !p.elector.CanOrder() {
			continue
		}
		if p.yieldToStronger(ctx, epoch) {
			lastYield = now
		}
	}
	return ctx.Err()
}

func (p *Peers) yieldToStronger(ctx context.Context, epoch int64) bool {
	for _, address := range p.strongerGates() {
		callCtx, cancel := context.WithTimeout(ctx, yieldCallTimeout)
		result, err := p.syncWith(callCtx, address)
		cancel()
		if err == nil && result.AgeMs < maxPeerAge.Milliseconds() {
			p.requestClaim(ctx, address, epoch)
			return true
		}
	}
	return false
}

type claimParams struct {
	Epoch int64 `json:"epoch"`
}

// handOverIfCutOff ends this gate's ownership if the gate can't reach the platform, and lets the gate at the address claim
// it. It does not hand over to a weaker gate: the others soon detect the missing heartbeats, and the strong ones claim first.
func (p *Peers) handOverIfCutOff(ctx context.Context, address string) {
	epoch := p.elector.OwnEpoch()
	if epoch == 0 || p.elector.TimeSinceLogRead() < peerQueryAfter || p.elector.CanOrder() || p.isWeaker(address) {
		return
	}
	p.elector.EndOwnership("the platform turns this gate away")
	p.requestClaim(ctx, address, epoch)
}

// requestClaim asks the gate at the address to claim the ownership if the epoch is still the latest one.
func (p *Peers) requestClaim(ctx context.Context, address string, epoch int64) {
	klog.InfoS("ownership-handed-over", "epoch", epoch, "to", address)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	if err := p.network.Call(ctx, address, claimMethod, claimParams{epoch}, nil); err != nil {
		klog.InfoS("hand-over-unanswered", "to", address, "error", err.Error())
	}
}

// ClaimHandler returns the method and handler of an owner's request to take over the ownership.
func (p *Peers) ClaimHandler() (method string, handle func(context.Context, json.RawMessage) (any, error)) {
	return claimMethod, func(ctx context.Context, raw json.RawMessage) (any, error) {
		var params claimParams
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, err
		}
		go p.elector.TakeOver(context.WithoutCancel(ctx), params.Epoch)
		return syncResult{}, nil
	}
}
