package sched

import "time"

const (
	// Tokens are refilled at this share of the rate that the platform accepts, since it also counts the orders of previous
	// owners.
	refillShare = 0.8
	// The bucket holds the orders of this time.
	burstPeriod = time.Second
	// Share of the bucket that is kept for pools that lack machines.
	reserveShare = 0.5
)

// orderLimiter is a token bucket that limits the rate of orders to machines. An order that the platform rejects has to be
// repeated, and the machine's worker takes no work meanwhile. The zero value is a full bucket.
type orderLimiter struct {
	tokens     float64
	refilledAt time.Time
}

// refill adds the tokens for the time since the last refill; perSecond is the rate of orders that the platform accepts.
func (l *orderLimiter) refill(now time.Time, perSecond float64) {
	capacity := perSecond * burstPeriod.Seconds()
	if l.refilledAt.IsZero() {
		l.tokens = capacity
	} else {
		l.tokens = min(capacity, l.tokens+perSecond*refillShare*now.Sub(l.refilledAt).Seconds())
	}
	l.refilledAt = now
}

// isAllowed reports whether an order may be sent. A deferrable order must leave the reserve for others.
func (l *orderLimiter) isAllowed(perSecond float64, deferrable bool) bool {
	if deferrable {
		return l.tokens-1 >= perSecond*burstPeriod.Seconds()*reserveShare
	}
	return l.tokens >= 1
}

func (l *orderLimiter) take() { l.tokens-- }
