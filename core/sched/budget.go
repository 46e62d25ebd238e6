package sched

import "time"

const (
	// Share of the orders to machines that the platform takes in a second; what owners before gave counts there too.
	orderShare = 0.8
	// So much of a second's orders may be given at once.
	orderBurst = time.Second
	// Share of the burst that is left for machines that a pool lacks.
	orderReserve = 0.5
)

// orderBudget bounds the orders to machines in a second: what the platform turns away has to be given again, and keeps a
// machine's worker from work meanwhile. The zero value is full.
type orderBudget struct {
	left   float64
	filled time.Time
}

// fill adds what has become free; the platform takes so many orders in a second.
func (b *orderBudget) fill(now time.Time, perSecond float64) {
	most := perSecond * orderBurst.Seconds()
	if b.filled.IsZero() {
		b.left = most
	} else {
		b.left = min(most, b.left+perSecond*orderShare*now.Sub(b.filled).Seconds())
	}
	b.filled = now
}

// allows tells whether an order may be given; one that can wait leaves a reserve for others.
func (b *orderBudget) allows(perSecond float64, canWait bool) bool {
	if canWait {
		return b.left-1 >= perSecond*orderBurst.Seconds()*orderReserve
	}
	return b.left >= 1
}

func (b *orderBudget) spend() { b.left-- }
