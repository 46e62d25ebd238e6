package plan

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mangowing/core/fold"
	"mangowing/core/record"
)

const (
	renewalsPerLease = 3
	leaseMargin      = time.Second
	maxClaimOffset   = 2 * time.Second
)

// leaseKeeper decides when to claim or renew the planner's lease, and whether this gate holds it.
type leaseKeeper struct {
	holder       string
	ttl          time.Duration
	current      fold.Lease
	observedAt   time.Time
	pendingSince time.Time // when the first claim or renewal that is not folded yet was sent, zero for none
	lastSentAt   time.Time // when the last claim or renewal was sent
	heldSince    time.Time
	heldUntil    time.Time // when this gate's lease ends, zero if it holds none
	token        uint64
	pauses       uint64
	hasObserved  bool
}

func newLeaseKeeper(holder string) leaseKeeper { return leaseKeeper{holder: holder} }

// observe applies the folded lease. After a pause of the process this gate's lease counts as ended until a renewal is
// folded.
func (k *leaseKeeper) observe(now time.Time, pauses uint64, state *fold.State) {
	k.ttl = state.Config().Fleet().PlannerLease()
	if pauses != k.pauses {
		k.pauses = pauses
		k.heldUntil = time.Time{}
	}
	lease := state.Lease()
	if k.hasObserved && lease.Revision() == k.current.Revision() {
		return
	}
	k.hasObserved = true
	k.current, k.observedAt = lease, now
	k.heldUntil = time.Time{}
	if lease.Holder() == k.holder && !k.pendingSince.IsZero() {
		k.token = lease.Token()
		k.heldSince = k.pendingSince
		k.heldUntil = k.pendingSince.Add(time.Duration(lease.TTLMs()) * time.Millisecond)
	}
	k.pendingSince = time.Time{}
}

// isHeld reports whether this gate holds the lease by both the monotonic and the wall clock. Only the wall clock advances
// while the machine is suspended.
func (k *leaseKeeper) isHeld(now time.Time) bool {
	return now.Before(k.heldUntil) && now.Round(0).Before(k.heldUntil.Round(0))
}

// isDue reports whether to send a claim or a renewal now.
func (k *leaseKeeper) isDue(now time.Time) bool {
	if now.Sub(k.lastSentAt) < k.renewalPeriod() {
		return false
	}
	if k.current.Holder() == k.holder {
		return !k.isHeld(now) || now.Sub(k.heldSince) >= k.renewalPeriod()
	}
	if k.current.Holder() == "" {
		return true
	}
	theirs := time.Duration(k.current.TTLMs()) * time.Millisecond
	return now.Sub(k.observedAt) >= theirs+leaseMargin+k.claimOffset()
}

// claimOffset delays the claim of a lapsed lease by a time that differs between gates, so that they do not all claim at once.
func (k *leaseKeeper) claimOffset() time.Duration {
	return time.Duration(xxhash.Sum64String(k.holder) % uint64(maxClaimOffset))
}

func (k *leaseKeeper) renewalPeriod() time.Duration { return k.ttl / renewalsPerLease }

// newClaim returns the claim or renewal to append now. The lease counts from the time at which it was sent, not from that of
// its append, so that this gate never holds it for longer than the others assume.
func (k *leaseKeeper) newClaim(now time.Time) record.Lease {
	k.lastSentAt = now
	if k.pendingSince.IsZero() {
		k.pendingSince = now
	}
	return record.NewLease(k.holder, k.current.Revision(), k.ttl.Milliseconds())
}
