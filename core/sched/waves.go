package sched

import (
	"cmp"
	"slices"
	"time"
)

// wave is a declared maintenance wave and its progress.
type wave struct {
	spec      Wave
	reported  bool // its start was reported to the operators
	completed bool
}

const (
	// Time to drain a machine, maintain it and bring it back.
	machineMaintenanceTime = 4 * time.Second
	// A wave takes machines down regardless of demand when it would otherwise end less than this before its deadline.
	waveDeadlineMargin = 4 * time.Second
	// This many machines are drained ahead, beyond those that may go down at once.
	drainAhead = 1
)

// AddWave adds a wave that operators have declared; one that is already known is ignored. Its duration counts from when it
// first became known to an owner.
func (sc *Scheduler) AddWave(now time.Time, spec Wave) {
	if _, known := sc.waves[spec.Number]; known {
		return
	}
	seen, known := sc.waveFirstSeen[spec.Number]
	if !known {
		seen = now.UnixMilli()
		record := WaveSeen{Wave: spec.Number, AtMs: seen}
		sc.appendRecord(record)
		sc.applyWaveSeen(record)
	}
	spec.FirstSeen = time.UnixMilli(seen)
	sc.waves[spec.Number] = &wave{spec: spec}
}

func (sc *Scheduler) applyWaveSeen(r WaveSeen) { sc.waveFirstSeen[r.Wave] = r.AtMs }

// recordMaintained records that a machine's maintenance for a wave is confirmed.
func (sc *Scheduler) recordMaintained(_ time.Time, number int64, id string) {
	if sc.maintained[maintenanceKey{number, id}] {
		return
	}
	record := MaintenanceDone{Wave: number, Machine: id}
	sc.appendRecord(record)
	sc.applyMaintenanceDone(record)
}

func (sc *Scheduler) applyMaintenanceDone(r MaintenanceDone) {
	sc.maintained[maintenanceKey{r.Wave, r.Machine}] = true
	delete(sc.maintenanceOrders, r.Machine)
}

type maintenanceKey struct {
	wave    int64
	machine string
}

func (sc *Scheduler) planWaves(now time.Time, byMachine map[string]*worker, demand map[string]*poolDemand) {
	for _, number := range sc.openWaveNumbers() {
		sc.planWave(now, sc.waves[number], byMachine, demand)
	}
}

func (sc *Scheduler) openWaveNumbers() []int64 {
	var numbers []int64
	for number, wv := range sc.waves {
		if !wv.completed {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

func (sc *Scheduler) planWave(now time.Time, wv *wave, byMachine map[string]*worker, demand map[string]*poolDemand) {
	if !wv.reported {
		wv.reported = true
		sc.orderImmediately(ReportWave{Wave: wv.spec.Number})
	}
	pending, down := sc.pendingMachines(now, wv)
	if len(pending) == 0 && down == 0 {
		wv.completed = true
		sc.orderOnceStored(ReportWave{Wave: wv.spec.Number, Completed: true})
		sc.logDecision(now, "wave-completed", "", "", "")
		return
	}
	sc.takeDownMachines(now, wv, sc.sortByDisruption(pending, byMachine), wv.spec.MaxDown-down, byMachine, demand)
}

// pendingMachines returns the wave's machines that still need maintenance, and how many of its machines are down now.
func (sc *Scheduler) pendingMachines(now time.Time, wv *wave) (pending []*machine, down int) {
	for _, id := range wv.spec.Machines {
		m, listed := sc.machines[id]
		done := sc.maintained[maintenanceKey{wv.spec.Number, id}]
		switch {
		case !listed:
			// The machine no longer exists.
		case m.maintenanceWave == wv.spec.Number && (m.hasOrderInFlight(now, sc.options) || m.entry.State == MachineInMaintenance):
			down++
		case m.entry.State == MachineInMaintenance || m.listedState == MachineInMaintenance:
			down++
		case !done:
			pending = append(pending, m)
		}
	}
	return pending, down
}

// sortByDisruption sorts machines by how much their maintenance would interrupt: machines without a worker come first, then
// those already cordoned, then those with batch tasks only, then those with long-running tasks.
func (sc *Scheduler) sortByDisruption(pending []*machine, byMachine map[string]*worker) []*machine {
	cost := func(m *machine) int {
		w := byMachine[m.entry.ID]
		switch {
		case w == nil, w.evacuated && len(w.runs) == 0:
			return 0
		case w.cordoned:
			return 1 + w.countBatchRuns()
		case w.hasLongRunning():
			return 1000 + w.countBatchRuns()
		default:
			return 10 + w.countBatchRuns()
		}
	}
	slices.SortStableFunc(pending, func(a, b *machine) int { return cmp.Compare(cost(a), cost(b)) })
	return pending
}

// takeDownMachines orders up to slots machines down, in the given order, and drains further ones ahead. Machines whose pool
// can't spare them are left alone unless the wave is behind schedule.
func (sc *Scheduler) takeDownMachines(now time.Time, wv *wave, pending []*machine, slots int, byMachine map[string]*worker, demand map[string]*poolDemand) {
	force := sc.isBehindSchedule(now, wv, len(pending))
	cordoned, poolsWithoutSpare := 0, map[string]bool{}
	for _, m := range pending {
		w := byMachine[m.entry.ID]
		if m.entry.State != MachineUp || m.hasOrderInFlight(now, sc.options) || now.Before(m.backoffUntil) {
			continue
		}
		if w != nil && !sc.trySpare(m, w, demand, force) {
			poolsWithoutSpare[m.entry.Pool] = true
			continue
		}
		if slots > 0 && sc.canTakeDown(w, force) {
			slots--
			m.maintenanceWave = wv.spec.Number
			record := MaintenanceOrdered{Wave: wv.spec.Number, Machine: m.entry.ID}
			sc.appendRecord(record)
			sc.maintenanceOrders[record.Machine] = record.Wave
			sc.sendMachineOrder(now, m, w, MaintainMachine{Machine: m.entry.ID, Wave: wv.spec.Number})
			continue
		}
		if w != nil && cordoned < max(0, slots)+drainAhead && !w.cordoned {
			w.cordoned = true
		}
		if w != nil && w.cordoned {
			cordoned++
			sc.evictLongRunning(now, w)
		}
	}
	// A pool that can't spare a machine gets one more, so that its machines can be taken down one by one.
	for pool := range poolsWithoutSpare {
		demand[pool].needed++
	}
}

// evictLongRunning stops as many long-running tasks on a cordoned worker as their steps' MaxUnavailable allows, so that they
// restart elsewhere. It stops none if all may become unavailable at once: they can stay until the machine goes down.
func (sc *Scheduler) evictLongRunning(now time.Time, w *worker) {
	if w.canEvictLongRunning() {
		return
	}
	for _, r := range w.runList {
		s := r.task.step
		if w.evacuated && !sc.canLeave(now, r) {
			continue
		}
		if s.spec.LongRunning && !r.stopping && r.phase == runConfirmed && (s.spec.MaxUnavailable == 0 || s.countUnavailable() < s.spec.MaxUnavailable) {
			sc.stopRun(now, r)
		}
	}
}

// isBehindSchedule reports whether the wave risks missing its deadline.
func (sc *Scheduler) isBehindSchedule(now time.Time, wv *wave, pending int) bool {
	batches := time.Duration((pending + wv.spec.MaxDown - 1) / max(1, wv.spec.MaxDown))
	deadline := wv.spec.FirstSeen.Add(wv.spec.Duration)
	return now.Add(batches*machineMaintenanceTime + waveDeadlineMargin).After(deadline)
}

// trySpare reports whether the machine's pool can do without it now. If so, it takes the machine off the pool's count, unless
// the machine is forced down, was cordoned already or is in an evacuated data centre.
func (sc *Scheduler) trySpare(m *machine, w *worker, demand map[string]*poolDemand, force bool) bool {
	d := demand[m.entry.Pool]
	if d == nil || force || w.cordoned || sc.isMachineEvacuated(m, w) {
		return true
	}
	if d.machines > d.needed {
		d.machines--
		return true
	}
	return false
}

// canTakeDown reports whether the machine can go down now: no batch tasks run on its worker, or only a few if forced, and its
// long-running tasks may all become unavailable.
func (sc *Scheduler) canTakeDown(w *worker, force bool) bool {
	if w == nil {
		return true
	}
	if !w.answers() {
		return false
	}
	if w.evacuated && !force && w.hasLongRunning() {
		// They move away first, since they can't start here again.
		return false
	}
	return (w.countBatchRuns() == 0 || force && w.countBatchRuns() <= maxForcedTasks) && w.canEvictLongRunning()
}

// maxForcedTasks is how many batch tasks a machine may run when a wave that is behind schedule takes it down.
const maxForcedTasks = 2
