package sizing

import (
	"time"

	"mangowing/core/fleet"
)

const peakHeld = 30 * time.Minute

// Forecast knows the demand of each pool now and at its highest over the last half hour or hour; the zero value works.
type Forecast struct {
	pools map[string]*memory
}

// memory holds one pool's demand and the peaks of the running window and of the one before it, all in slots.
type memory struct {
	demand   int
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
	m.demand, m.current = slots, max(m.current, slots)
}

// Observe takes in the demand at a time.
func (f *Forecast) Observe(now time.Time, demand []fleet.PoolDemand) {
	if f.pools == nil {
		f.pools = map[string]*memory{}
	}
	for _, d := range demand {
		m, known := f.pools[d.Pool()]
		if !known {
			m = &memory{}
			f.pools[d.Pool()] = m
		}
		m.observe(now, d.Slots())
	}
}

// Apply returns the loads with the demand filled in, only those of pools whose demand was observed.
func (f *Forecast) Apply(loads []fleet.PoolLoad) []fleet.PoolLoad {
	var out []fleet.PoolLoad
	for _, l := range loads {
		if m, known := f.pools[l.Pool()]; known {
			out = append(out, l.WithDemand(m.demand, max(m.previous, m.current)))
		}
	}
	return out
}
