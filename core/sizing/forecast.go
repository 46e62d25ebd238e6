package sizing

import (
	"time"

	"mangowing/core/fleet"
)

const (
	peakHeld = 30 * time.Minute
	// Requests wait for VMs only while at least this part of a pool's slots is in use.
	saturated = 0.9
	// A backlog counts as at most this part of what runs, since its length does not tell how long it takes.
	backlogPart = 0.5
)

// Forecast knows the demand of each pool now and at its highest over the last half hour or hour; the zero value works.
type Forecast struct {
	pools map[string]*memory
}

// memory holds the peaks of one pool's demand in the running window and in the one before it, in slots.
type memory struct {
	started  time.Time
	previous int
	current  int
}

func (m *memory) observe(now time.Time, slots int) {
	age := now.Sub(m.started)
	switch {
	case age >= 2*peakHeld:
		m.started, m.previous, m.current = now, 0, 0
	case age >= peakHeld:
		m.started, m.previous, m.current = now, m.current, 0
	}
	m.current = max(m.current, slots)
}

// Update takes in the demand at a time and returns the loads with it; a pool without demand is taken for idle.
func (f *Forecast) Update(now time.Time, loads []fleet.PoolLoad, demand []fleet.PoolDemand) []fleet.PoolLoad {
	if f.pools == nil {
		f.pools = map[string]*memory{}
	}
	asked := make(map[string]fleet.PoolDemand, len(demand))
	for _, d := range demand {
		asked[d.Pool()] = d
	}
	out := make([]fleet.PoolLoad, 0, len(loads))
	for _, l := range loads {
		m, known := f.pools[l.Pool()]
		if !known {
			m = &memory{}
			f.pools[l.Pool()] = m
		}
		slots := slotsAsked(l, asked[l.Pool()])
		m.observe(now, slots)
		out = append(out, l.WithDemand(slots, max(m.previous, m.current)))
	}
	return out
}

// slotsAsked counts waiting requests only in a full pool: in others they wait for their team's limit.
func slotsAsked(l fleet.PoolLoad, d fleet.PoolDemand) int {
	slots := l.Serving() * l.SlotsPerVM()
	if float64(d.Running()) < saturated*float64(slots) {
		return d.Running()
	}
	backlog := int(backlogPart * float64(max(d.Running(), l.SlotsPerVM())))
	return d.Running() + min(d.Waiting(), backlog)
}
