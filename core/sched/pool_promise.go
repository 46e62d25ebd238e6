package sched

import (
	"maps"
	"slices"
	"time"

	"mangowing/core/admit"
)

// PoolPromise is a pool's capacity for new tasks and what is promised of it.
type PoolPromise struct {
	pool     string
	timeline *admit.Timeline
}

// Pool returns the pool's name.
func (p PoolPromise) Pool() string { return p.pool }

// UsableCoresIn returns how many cores new tasks can use after the given time.
func (p PoolPromise) UsableCoresIn(d time.Duration) float64 { return p.timeline.CoresAt(d) }

// InTime returns the core-seconds that are promised to be done by their deadlines and have not been started.
func (p PoolPromise) InTime() float64 { return p.timeline.Promised(admit.InTime) }

// Late returns the core-seconds that are late or exceed their team's share, are still of use and have not been started.
func (p PoolPromise) Late() float64 { return p.timeline.Promised(admit.Late) }

// PoolPromises returns what is promised of each pool, sorted by name; nothing unless jobs are checked against a timeline.
func (sc *Scheduler) PoolPromises() []PoolPromise {
	var promises []PoolPromise
	for _, name := range slices.Sorted(maps.Keys(sc.admission.pools)) {
		promises = append(promises, PoolPromise{name, sc.admission.pools[name]})
	}
	return promises
}

// BatchCores returns by pool how many cores its machines have for work that isn't long-running, those on the way included; none while the
// jobs take as much memory as they may.
func (sc *Scheduler) BatchCores() map[string]float64 {
	cores := make(map[string]float64, len(sc.demand))
	for name, d := range sc.demand {
		if sc.lacksMemory() {
			cores[name] = 0
			continue
		}
		cores[name] = max(0, d.batchCores(d.machines))
	}
	return cores
}
