package share

import "time"

const (
	rateSpan    = 250 * time.Millisecond
	rateHistory = 5 * time.Second
	// Without a look for this long, the rate is forgotten.
	rateLifetime = 2 * time.Second
)

// virtualRate is how fast virtual time passes, which is the slots that a weight of one is worth to a team that waits.
type virtualRate struct {
	perSecond float64
	asOf      time.Time
	looked    time.Time
	virtual   float64
}

func (r *virtualRate) note(virtual float64, now time.Time) {
	if now.Sub(r.looked) > rateLifetime {
		*r = virtualRate{asOf: now, virtual: virtual}
	}
	r.looked = now
	span := now.Sub(r.asOf)
	if span < rateSpan {
		return
	}
	observed := (virtual - r.virtual) / span.Seconds()
	part := min(float64(span)/float64(rateHistory), 1)
	if r.perSecond == 0 {
		part = 1
	}
	r.perSecond += part * (observed - r.perSecond)
	r.asOf = now
	r.virtual = virtual
}
