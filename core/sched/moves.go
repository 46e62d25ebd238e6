package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// Work that waits is done in this time if the pool has the cores that it needs.
	backlogDrainTime = 1600 * time.Millisecond
	// The same for work that is late already or beyond its team's share.
	lateBacklogDrainTime = 8 * time.Second
	// Share of a pool's cores that can be in use; the rest is lost to what does not fit.
	usableCoreShare = 0.85
	// A lasting task that waits for longer needs another machine in its pool.
	longRunningWaitLimit = 300 * time.Millisecond
	// Idle machines are sent to the standby pool after this time; another pool may need them before.
	surplusGracePeriod = time.Second
	// A pool that had no job yet keeps its machines for this long after a gate became owner.
	unusedPoolGracePeriod = 20 * time.Second
	// A pool frees machines for others when it has this many times what it needs.
	releaseFactor = 1.3
	// Machines that a pool keeps idle for the start of its next turn.
	headroomMachines = 1
)

// cede keeps new tasks off the workers that a pool can do without, those with the least work first, so that they are idle
// soon.
func (sc *Scheduler) freeSurplusWorkers(standby string, demand map[string]*poolDemand, isShort bool) {
	for _, name := range sc.cfg.Pools() {
		d := demand[name]
		spare := d.machines - int(math.Ceil(float64(d.needed)*releaseFactor)) - len(d.idleWorkers)
		if name == standby || !isShort {
			spare = 0
		}
		workers := sc.freeableWorkers(name)
		for i, w := range workers {
			if ceded := i < spare; ceded != w.surplus {
				w.surplus = ceded
				sc.markPoolDirty(name)
			}
		}
	}
}

// cedable returns the pool's workers without lasting tasks that are not idle, those with the least work first.
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

// surplusLong tells whether the pool has had more machines than it needs for a while.
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

// planMoves sends machines to the pools that lack them: idle ones of the standby pool first, then idle ones of pools that
// have too many, and sends those that nobody needs to the standby pool.
func (sc *Scheduler) planMoves(now time.Time, byMachine map[string]*worker, demand map[string]*poolDemand) {
	standby := sc.standbyPool()
	isShort := rationMachines(demand)
	sc.freeSurplusWorkers(standby, demand, isShort)
	donors := sc.donorMachines(now, standby, byMachine, demand)
	for _, d := range demand {
		d.reachableCores = d.batchCores(max(d.machines+len(donors), d.needed))
	}
	for _, d := range sortByShortage(demand) {
		for d.machines < d.needed && len(donors) > 0 && sc.budget.isAllowed(sc.options.MachineOrderRate, false) {
			h := donors[0]
			donors = donors[1:]
			if h.entry.Pool == d.name {
				continue
			}
			sc.moveMachine(now, h, byMachine[h.entry.ID], d.name)
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

func (sc *Scheduler) standbyPool() string {
	for _, name := range sc.cfg.Pools() {
		if p, _ := sc.cfg.Pool(name); p.Standby {
			return name
		}
	}
	return ""
}

// donors returns the machines that may move: those on standby, then idle ones that their pool does not need.
func (sc *Scheduler) donorMachines(now time.Time, standby string, byMachine map[string]*worker, demand map[string]*poolDemand) []*machine {
	var donors []*machine
	for _, h := range sc.machinesByID {
		if h.entry.Pool == standby && sc.canMove(now, h) && byMachine[h.entry.ID] == nil {
			donors = append(donors, h)
		}
	}
	for _, name := range sc.cfg.Pools() {
		d := demand[name]
		if name == standby {
			continue
		}
		spare := d.machines - d.needed
		for _, w := range d.idleWorkers {
			h := sc.machines[w.entry.Machine]
			if spare > 0 && h != nil && sc.canMove(now, h) {
				donors = append(donors, h)
				spare--
			}
		}
	}
	return donors
}

func (sc *Scheduler) canMove(now time.Time, h *machine) bool {
	return h.entry.State == MachineUp && h.targetPool == "" && h.maintenanceWave == 0 && !h.hasOrderInFlight(now, sc.options) && !now.Before(h.backoffUntil)
}

// byShortage sorts the pools that lack machines, the worst first.
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

// park sends idle machines that a pool did not need for a while to the standby pool.
func (sc *Scheduler) moveSurplusToStandby(now time.Time, d *poolDemand, standby string) {
	if d.name == standby || !sc.hasLongSurplus(now, d) || !sc.surges.trend(d.name).hasHadJobs && now.Sub(sc.ownedSince) < unusedPoolGracePeriod {
		return
	}
	for _, w := range d.idleWorkers {
		h := sc.machines[w.entry.Machine]
		if d.machines <= d.needed || !sc.budget.isAllowed(sc.options.MachineOrderRate, true) {
			return
		}
		if h == nil || !sc.canMove(now, h) || w.cordoned {
			continue
		}
		sc.moveMachine(now, h, w, standby)
		d.machines--
	}
}

func (sc *Scheduler) moveMachine(now time.Time, h *machine, w *worker, pool string) {
	sc.logDecision(now, "machine-moves", "", h.entry.ID, h.entry.Pool+" to "+pool)
	h.targetPool = pool
	sc.sendMachineOrder(now, h, w, MoveMachine{Machine: h.entry.ID, Pool: pool})
}
