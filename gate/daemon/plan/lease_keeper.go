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
	maxClaimSpread   = 2 * time.Second
)

// leaseKeeper decides when to claim or renew the lease and whether it is held.
type leaseKeeper struct {
	holder   string
	ttl      time.Duration
	current  fold.Lease
	seenAt   time.Time
	sentAt   time.Time // when the first claim or renewal not yet seen in the fold was sent, zero for none
	askedAt  time.Time // when the last claim or renewal was sent
	heldFrom time.Time
	until    time.Time // when the own lease ends, zero for not held
	token    uint64
	pauses   uint64
	started  bool
}

func newLeaseKeeper(holder string) leaseKeeper { return leaseKeeper{holder: holder} }

// observe takes in the lease as folded; a pause of the process ends the own lease until a renewal is seen.
func (k *leaseKeeper) observe(now time.Time, pauses uint64, state *fold.State) {
	k.ttl = state.Config().Fleet().PlannerLease()
	if pauses != k.pauses {
		k.pauses = pauses
		k.until = time.Time{}
	}
	lease := state.Lease()
	if k.started && lease.Revision() == k.current.Revision() {
		return
	}
	k.started = true
	k.current, k.seenAt = lease, now
	k.until = time.Time{}
	if lease.Holder() == k.holder && !k.sentAt.IsZero() {
		k.token = lease.Token()
		k.heldFrom = k.sentAt
		k.until = k.sentAt.Add(time.Duration(lease.TTLMs()) * time.Millisecond)
	}
	k.sentAt = time.Time{}
}

// holds tells whether the lease is held by the monotonic and by the wall clock, which goes on while the machine is suspended.
func (k *leaseKeeper) holds(now time.Time) bool {
	return now.Before(k.until) && now.Round(0).Before(k.until.Round(0))
}

// due tells whether a claim or a renewal is to be sent.
func (k *leaseKeeper) due(now time.Time) bool {
	if now.Sub(k.askedAt) < k.renewal() {
		return false
	}
	if k.current.Holder() == k.holder {
		return !k.holds(now) || now.Sub(k.heldFrom) >= k.renewal()
	}
	if k.current.Holder() == "" {
		return true
	}
	theirs := time.Duration(k.current.TTLMs()) * time.Millisecond
	return now.Sub(k.seenAt) >= theirs+leaseMargin+k.spread()
}

// spread keeps many gates from claiming a lapsed lease at the same moment.
func (k *leaseKeeper) spread() time.Duration {
	return time.Duration(xxhash.Sum64String(k.holder) % uint64(maxClaimSpread))
}

func (k *leaseKeeper) renewal() time.Duration { return k.ttl / renewalsPerLease }

// claim returns the record to append now; the lease counts from here on, however late the append takes effect.
func (k *leaseKeeper) claim(now time.Time) record.Lease {
	k.askedAt = now
	if k.sentAt.IsZero() {
		k.sentAt = now
	}
	return record.NewLease(k.holder, k.current.Revision(), k.ttl.Milliseconds())
}
