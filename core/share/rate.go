package share

import "time"

const (
	rateSampleInterval = 250 * time.Millisecond
	rateTimeConstant   = 5 * time.Second
	// The rate is reset if it was not sampled for this long.
	rateExpiry = 2 * time.Second
)

// virtualRate is a moving average of the speed of virtual time, in virtual seconds per second. This is the number of slots
// that a backlogged team gets for each unit of weight.
type virtualRate struct {
	perSecond          float64
	sampledAt          time.Time
	lastCall           time.Time
	sampledVirtualTime float64
}

func (r *virtualRate) sample(virtualTime float64, now time.Time) {
	if now.Sub(r.lastCall) > rateExpiry {
		*r = virtualRate{sampledAt: now, sampledVirtualTime: virtualTime}
	}
	r.lastCall = now
	span := now.Sub(r.sampledAt)
	if span < rateSampleInterval {
		return
	}
	observed := (virtualTime - r.sampledVirtualTime) / span.Seconds()
	factor := min(float64(span)/float64(rateTimeConstant), 1)
	if r.perSecond == 0 {
		factor = 1
	}
	r.perSecond += factor * (observed - r.perSecond)
	r.sampledAt = now
	r.sampledVirtualTime = virtualTime
}
