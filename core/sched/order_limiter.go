package sched

import "time"

const (
	// Share of the orders to machines that the platform takes in a second; what owners before gave counts there too.
	refillShare = 0.8
	// So much of a second's orders may be given at once.
	burstPeriod = time.Second
	// Share of the burst that is left for machines that a pool lacks.
	reserveShare = 0.5
)

// orderBudget bounds the orders to machines in a second: what the platform turns away has to be given again, and keeps a
// machine's worker from work meanwhile. The zero value is full.
type orderLimiter struct {
	tokens     float64
	refilledAt time.Time
}

// fill adds what has become free; the platform takes so many orders in a second.
func (b *orderLimiter) refill(now time.Time, perSecond float64) {
	most := perSecond * burstPeriod.Seconds()
	if b.refilledAt.IsZero() {
		b.tokens = most
	} else {
		b.tokens = min(most, b.tokens+perSecond*refillShare*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
}

// allows tells whether an order may be given; one that can wait leaves a reserve for others.
func (b *orderLimiter) isAllowed(perSecond float64, deferrable bool) bool {
	if deferrable {
		return b.tokens-1 >= perSecond*burstPeriod.Seconds()*reserveShare
	}
	return b.tokens >= 1
}

func (b *orderLimiter) take() { b.tokens-- }
