package sizing

import (
	"time"

	"mangowing/core/fleet"
)

// Forecast remembers the highest recent demand of each pool; the zero value works.
type Forecast struct {
	pools map[string]peak
}

type peak struct {
	slots int
	at    time.Time
}

const peakRemembered = 30 * time.Minute

// Observe takes in the demand at a time.
func (f *Forecast) Observe(now time.Time, demand []fleet.PoolDemand) {
	if f.pools == nil {
		f.pools = map[string]peak{}
	}
	for _, d := range demand {
		old := f.pools[d.Pool()]
		if d.Slots() >= old.slots || now.Sub(old.at) > peakRemembered {
			f.pools[d.Pool()] = peak{d.Slots(), now}
		}
	}
}

// Apply returns the loads with the demand filled in, only those of pools with a known demand.
func (f *Forecast) Apply(loads []fleet.PoolLoad, demand []fleet.PoolDemand) []fleet.PoolLoad {
	known := make(map[string]int, len(demand))
	for _, d := range demand {
		known[d.Pool()] = d.Slots()
	}
	var out []fleet.PoolLoad
	for _, l := range loads {
		if slots, ok := known[l.Pool()]; ok {
			out = append(out, l.WithDemand(slots, f.pools[l.Pool()].slots))
		}
	}
	return out
}
