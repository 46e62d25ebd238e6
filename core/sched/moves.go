package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// A pool needs enough cores to finish its on-time backlog within this time.
	backlogDrainTime = 1600 * time.Millisecond
	// The same for work that is late or exceeds its team's share.
	lateBacklogDrainTime = 8 * time.Second
	// Share of a pool's cores that tasks can use; the rest is lost to fragmentation.
	usableCoreShare = 0.85
	// A pool gets another machine when a long-running task has waited longer than this.
	longRunningWaitLimit = 300 * time.Millisecond
	// A pool's surplus machines are moved to the standby pool after this time; other pools may take them earlier.
	surplusGracePeriod = time.Second
	// A pool that has had no job yet keeps its machines for this long after a gate became owner.
	unusedPoolGracePeriod = 20 * time.Second
	// A pool frees machines for others when it has more than this many times the machines that it needs.
	releaseFactor = 1.3
	// Idle machines that a pool keeps for the start of its next surge.
	headroomMachines = 1
)

// markSurplusWorkers marks the workers that a pool does not need while another pool is short, the least loaded first. They
// get no new tasks, so that they soon become idle and their machines can move.
func (sc *Scheduler) markSurplusWorkers(standby string, demand map[string]*poolDemand, anyPoolShort bool) {
	for _, name := range sc.cfg.Pools() {
		d := demand[name]
		spare := d.machines - sc.machinesToKeep(d) - len(d.idleWorkers)
		if name == standby || !anyPoolShort {
			spare = 0
		}
		workers := sc.freeableWorkers(name)
		for i, w := range workers {
			if isSurplus := i < spare; isSurplus != w.surplus {
				w.surplus = isSurplus
				sc.markPoolDirty(name)
			}
		}
	}
}

// machinesToKeep returns how many machines a pool keeps while another is short. Late work gets no margin: it holds no machine that work in
// time wants elsewhere.
func (sc *Scheduler) machinesToKeep(d *poolDemand) int {
	if sc.options.AdmissionTimeline {
		return max(d.needed, int(math.Ceil(float64(min(d.needed, d.neededWithForecast))*releaseFactor)))
	}
	return int(math.Ceil(float64(d.needed) * releaseFactor))
}

// freeableWorkers returns the pool's busy workers without long-running tasks, the least loaded first. Idle ones are included if
// they are already marked as surplus.
func (sc *Scheduler) freeableWorkers(pool string) []*worker {
	var workers []*worker
	for _, w := range sc.workersByID {
		if w.entry.Pool == pool && w.isHealthy() && (w.surplus || len(w.runs) > 0) && !w.hasLongRunning() {
			workers = append(workers, w)
		}
	}
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(len(a.runs), len(b.runs)), cmp.Compare(a.id, b.id))
	})
	return workers
}

// hasLongSurplus reports whether the pool has had more machines than it needs for surplusGracePeriod.
func (sc *Scheduler) hasLongSurplus(now time.Time, d *poolDemand) bool {
	t := sc.surges.trend(d.name)
	switch {
	case d.machines <= d.needed:
		t.surplusSince = time.Time{}
	case t.surplusSince.IsZero():
		t.surplusSince = now
	}
	return !t.surplusSince.IsZero() && now.Sub(t.surplusSince) >= surplusGracePeriod
}

// planMoves moves machines to the pools that are short: those of the standby pool first, then idle ones of pools with a
// surplus. Idle machines that no pool needs go to the standby pool.
func (sc *Scheduler) planMoves(now time.Time, byMachine map[string]*worker, demand map[string]*poolDemand) {
	standby := sc.standbyPool()
	anyPoolShort := rationMachines(demand)
	sc.markSurplusWorkers(standby, demand, anyPoolShort)
	donors := sc.donorMachines(now, standby, byMachine, demand)
	sc.updateReachable(now, demand, len(donors))
	for _, d := range sortByShortage(demand) {
		for d.machines < d.needed && len(donors) > 0 && sc.orderLimiter.isAllowed(sc.options.MachineOrderRate, false) {
			m := donors[0]
			donors = donors[1:]
			if m.entry.Pool == d.name {
				continue
			}
			sc.moveMachine(now, m, byMachine[m.entry.ID], d.name)
			d.machines++
		}
	}
	if standby == "" {
		return
	}
	for _, name := range sc.cfg.Pools() {
		sc.moveSurplusToStandby(now, demand[name], standby)
	}
}

// updateReachable computes the cores that each pool has or can get soon: those of the donors, and those of machines that other
// pools don't need and whose runs end soon.
func (sc *Scheduler) updateReachable(now time.Time, demand map[string]*poolDemand, donors int) {
	freeSoon, total := sc.countFreeSoon(now), 0
	for name, d := range demand {
		freeSoon[name] = max(0, min(d.machines-d.needed-len(d.idleWorkers), freeSoon[name]))
		total += freeSoon[name]
	}
	for name, d := range demand {
		obtainable := d.machines + donors
		d.reachableCores = d.batchCores(max(obtainable, min(d.needed, obtainable+total-freeSoon[name])))
	}
}

// countFreeSoon returns how many busy workers of each pool become idle within planningHorizon if they get no new tasks.
func (sc *Scheduler) countFreeSoon(now time.Time) map[string]int {
	byPool := map[string]int{}
	for _, w := range sc.workersByID {
		if len(w.runs) > 0 && w.isHealthy() && w.isFreeBy(now, now.Add(planningHorizon)) {
			byPool[w.entry.Pool]++
		}
	}
	return byPool
}

func (sc *Scheduler) standbyPool() string {
	for _, name := range sc.cfg.Pools() {
		if p, _ := sc.cfg.Pool(name); p.Standby {
			return name
		}
	}
	return ""
}

// donorMachines returns the machines that may move: those of the standby pool without a worker, then idle ones that their
// pool does not need.
func (sc *Scheduler) donorMachines(now time.Time, standby string, byMachine map[string]*worker, demand map[string]*poolDemand) []*machine {
	var donors []*machine
	for _, m := range sc.machinesByID {
		if m.entry.Pool == standby && sc.canMove(now, m) && byMachine[m.entry.ID] == nil {
			donors = append(donors, m)
		}
	}
	for _, name := range sc.cfg.Pools() {
		d := demand[name]
		if name == standby {
			continue
		}
		spare := d.machines - d.needed
		for _, w := range d.idleWorkers {
			m := sc.machines[w.entry.Machine]
			if spare > 0 && m != nil && sc.canMove(now, m) {
				donors = append(donors, m)
				spare--
			}
		}
	}
	return donors
}

func (sc *Scheduler) canMove(now time.Time, m *machine) bool {
	return m.entry.State == MachineUp && !sc.evacuations.Contains(m.entry.DataCentre) && m.targetPool == "" && m.maintenanceWave == 0 && !m.hasOrderInFlight(now, sc.options) && !now.Before(m.backoffUntil)
}

// sortByShortage returns the pools that are short of machines, the largest shortage first.
func sortByShortage(demand map[string]*poolDemand) []*poolDemand {
	var short []*poolDemand
	for _, d := range demand {
		if d.machines < d.needed {
			short = append(short, d)
		}
	}
	slices.SortFunc(short, func(a, b *poolDemand) int {
		if difference := (b.needed - b.machines) - (a.needed - a.machines); difference != 0 {
			return difference
		}
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return short
}

// moveSurplusToStandby moves idle machines that a pool has not needed for a while to the standby pool.
func (sc *Scheduler) moveSurplusToStandby(now time.Time, d *poolDemand, standby string) {
	if d.name == standby || !sc.hasLongSurplus(now, d) || !sc.surges.trend(d.name).hasHadJobs && now.Sub(sc.ownedSince) < unusedPoolGracePeriod {
		return
	}
	for _, w := range d.idleWorkers {
		m := sc.machines[w.entry.Machine]
		if d.machines <= d.needed || !sc.orderLimiter.isAllowed(sc.options.MachineOrderRate, true) {
			return
		}
		if m == nil || !sc.canMove(now, m) || w.cordoned {
			continue
		}
		sc.moveMachine(now, m, w, standby)
		d.machines--
	}
}

func (sc *Scheduler) moveMachine(now time.Time, m *machine, w *worker, pool string) {
	sc.logDecision(now, "machine-moves", "", m.entry.ID, m.entry.Pool+" to "+pool)
	m.targetPool = pool
	sc.sendMachineOrder(now, m, w, MoveMachine{Machine: m.entry.ID, Pool: pool})
}
