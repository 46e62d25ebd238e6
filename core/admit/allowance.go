package admit

import "time"

// Allowance is what a gate may store of a pool's work without asking the owner.
type Allowance struct {
	Rate  float64 `json:"rate"`  // core-seconds per second
	Burst float64 `json:"burst"` // core-seconds
}

// DefaultAllowance is for a gate that knows of no recent one: a few jobs, so that ordinary callers are served in a short outage, while a
// flood through many gates stays small against a fleet of some hundred machines.
var DefaultAllowance = Allowance{Rate: 100, Burst: 200}

const (
	// Callers are not spread evenly over the gates, and an outage may hit only some of them.
	unevenGates = 2
	// The burst is the work of this time.
	allowanceBurst = 2 * time.Second
	// A job of hours of work would otherwise keep all others of its pool out for as long.
	maxAllowanceDebt = 30 * time.Second
)

// AllowanceOf returns what one of the given number of gates may store of a pool with the given cores.
func AllowanceOf(cores float64, gates int) Allowance {
	rate := max(DefaultAllowance.Rate, unevenGates*cores/float64(max(1, gates)))
	return Allowance{Rate: rate, Burst: rate * allowanceBurst.Seconds()}
}

// Bucket is a token bucket for an allowance. The zero value is full.
type Bucket struct {
	spent      float64 // core-seconds below the full bucket
	refilledAt time.Time
}

// Take takes a job's core-seconds out of the bucket if it isn't empty, so that a job may be larger than the burst; it blocks the
// next one for at most maxAllowanceDebt. Otherwise it returns after what time the bucket won't be empty.
func (b *Bucket) Take(now time.Time, a Allowance, coreSeconds float64) (wait time.Duration, taken bool) {
	if !b.refilledAt.IsZero() {
		b.spent = max(0, b.spent-a.Rate*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	if b.spent >= a.Burst {
		return SlotTime + time.Duration((b.spent-a.Burst)/a.Rate*float64(time.Second)), false
	}
	b.spent = min(b.spent+coreSeconds, a.Burst+a.Rate*maxAllowanceDebt.Seconds())
	return 0, true
}
