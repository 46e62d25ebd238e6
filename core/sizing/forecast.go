package sizing

import (
	"time"

	"mangowing/core/fleet"
)

const (
	peakWindow = 30 * time.Minute
	// A pool counts as full if at least this fraction of its slots is in use. Only then do waiting requests need VMs.
	saturationThreshold = 0.9
	// A backlog counts as at most this fraction of the running requests, since its length does not tell how long it takes.
	maxBacklogFraction = 0.5
)

// Forecast tracks the current demand of each pool and its peak over the last 30 to 60 minutes. The zero value is ready to
// use.
type Forecast struct {
	pools map[string]*demandPeaks
}

// demandPeaks holds the peaks of one pool's demand in the current and the previous window, in slots.
type demandPeaks struct {
	windowStart time.Time
	previous    int
	current     int
}

func (p *demandPeaks) observe(now time.Time, slots int) {
	age := now.Sub(p.windowStart)
	switch {
	case age >= 2*peakWindow:
		p.windowStart, p.previous, p.current = now, 0, 0
	case age >= peakWindow:
		p.windowStart, p.previous, p.current = now, p.current, 0
	}
	p.current = max(p.current, slots)
}

// Update records the demand at the given time and returns the loads with current and peak demand. A pool that is missing in
// demand counts as idle.
func (f *Forecast) Update(now time.Time, loads []fleet.PoolLoad, demand []fleet.PoolDemand) []fleet.PoolLoad {
	if f.pools == nil {
		f.pools = map[string]*demandPeaks{}
	}
	byPool := make(map[string]fleet.PoolDemand, len(demand))
	for _, d := range demand {
		byPool[d.Pool()] = d
	}
	out := make([]fleet.PoolLoad, 0, len(loads))
	for _, l := range loads {
		peaks, known := f.pools[l.Pool()]
		if !known {
			peaks = &demandPeaks{}
			f.pools[l.Pool()] = peaks
		}
		slots := demandInSlots(l, byPool[l.Pool()])
		peaks.observe(now, slots)
		out = append(out, l.WithDemand(slots, max(peaks.previous, peaks.current)))
	}
	return out
}

// demandInSlots counts waiting requests only if the pool is full: otherwise they wait for their team's limit.
func demandInSlots(l fleet.PoolLoad, d fleet.PoolDemand) int {
	slots := l.Serving() * l.SlotsPerVM()
	if float64(d.Running()) < saturationThreshold*float64(slots) {
		return d.Running()
	}
	backlog := int(maxBacklogFraction * float64(max(d.Running(), l.SlotsPerVM())))
	return d.Running() + min(d.Waiting(), backlog)
}
