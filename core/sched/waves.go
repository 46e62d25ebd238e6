package sched

import (
	"cmp"
	"slices"
	"time"
)

// wave is a maintenance wave with what is left of it.
type wave struct {
	spec      Wave
	reported  bool // the operators were told that it goes on
	completed bool
}

const (
	// Time that one machine takes: to drain, to be maintained and to come back.
	machineMaintenanceTime = 4 * time.Second
	// A wave takes machines whatever they run when it would be late otherwise by less than this.
	waveDeadlineMargin = 4 * time.Second
	// Machines are drained ahead: so many for each that may be down at once.
	drainAhead = 1
)

// AddWave notes a wave that the operators ask for.
func (sc *Scheduler) AddWave(now time.Time, spec Wave) {
	if _, known := sc.waves[spec.Number]; known {
		return
	}
	seen, known := sc.waveFirstSeen[spec.Number]
	if !known {
		seen = now.UnixMilli()
		record := WaveSeen{Wave: spec.Number, AtMs: seen}
		sc.appendRecord(record)
		sc.foldWaveSeen(record)
	}
	spec.FirstSeen = time.UnixMilli(seen)
	sc.waves[spec.Number] = &wave{spec: spec}
}

func (sc *Scheduler) foldWaveSeen(r WaveSeen) { sc.waveFirstSeen[r.Wave] = r.AtMs }

// noteServed records that a machine had its maintenance for a wave.
func (sc *Scheduler) recordMaintained(_ time.Time, number int64, id string) {
	if sc.maintained[maintenanceKey{number, id}] {
		return
	}
	record := MaintenanceDone{Wave: number, Machine: id}
	sc.appendRecord(record)
	sc.foldMaintained(record)
}

func (sc *Scheduler) foldMaintained(r MaintenanceDone) {
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

// leftOf returns the wave's machines that were not maintained, and how many are down for it now.
func (sc *Scheduler) pendingMachines(now time.Time, wv *wave) (pending []*machine, down int) {
	for _, id := range wv.spec.Machines {
		h, listed := sc.machines[id]
		done := sc.maintained[maintenanceKey{wv.spec.Number, id}]
		switch {
		case !listed:
			// The machine was removed for good.
		case h.maintenanceWave == wv.spec.Number && (h.hasOrderInFlight(now, sc.options) || h.entry.State == MachineInMaintenance):
			down++
		case h.entry.State == MachineInMaintenance:
			down++
		case !done:
			pending = append(pending, h)
		}
	}
	return pending, down
}

// byCost sorts machines by what their maintenance would end now.
func (sc *Scheduler) sortByDisruption(pending []*machine, byMachine map[string]*worker) []*machine {
	cost := func(h *machine) int {
		w := byMachine[h.entry.ID]
		switch {
		case w == nil:
			return 0
		case w.cordoned:
			return 1 + w.batchAttempts()
		case w.hasLongRunning():
			return 1000 + w.batchAttempts()
		default:
			return 10 + w.batchAttempts()
		}
	}
	slices.SortStableFunc(pending, func(a, b *machine) int { return cmp.Compare(cost(a), cost(b)) })
	return pending
}

func (sc *Scheduler) takeDownMachines(now time.Time, wv *wave, pending []*machine, slots int, byMachine map[string]*worker, demand map[string]*poolDemand) {
	force := sc.isBehindSchedule(now, wv, len(pending))
	cordoned, poolsWithoutSpare := 0, map[string]bool{}
	for _, h := range pending {
		w := byMachine[h.entry.ID]
		if h.entry.State != MachineUp || h.hasOrderInFlight(now, sc.options) || now.Before(h.backoffUntil) {
			continue
		}
		if w != nil && !sc.canSpare(h, w, demand, force) {
			poolsWithoutSpare[h.entry.Pool] = true
			continue
		}
		if slots > 0 && sc.canTakeDown(w, force) {
			slots--
			h.maintenanceWave = wv.spec.Number
			record := MaintenanceOrdered{Wave: wv.spec.Number, Machine: h.entry.ID}
			sc.appendRecord(record)
			sc.maintenanceOrders[record.Machine] = record.Wave
			sc.sendMachineOrder(now, h, w, MaintainMachine{Machine: h.entry.ID, Wave: wv.spec.Number})
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
	// A pool that can't spare a machine gets one more, so that its others can be taken one after the other.
	for pool := range poolsWithoutSpare {
		demand[pool].needed++
	}
}

// evacuate stops lasting tasks on a cordoned worker, as many as may be away, so that they go on elsewhere.
func (sc *Scheduler) evictLongRunning(now time.Time, w *worker) {
	if w.canEvictLongRunning() {
		return
	}
	for _, r := range w.runList {
		s := r.task.step
		if s.spec.LongRunning && !r.stopping && r.phase == runConfirmed && (s.spec.MaxUnavailable == 0 || s.unavailableTasks() < s.spec.MaxUnavailable) {
			sc.stopRun(now, r)
		}
	}
}

// hurries tells whether the wave is late unless machines are taken whatever they run.
func (sc *Scheduler) isBehindSchedule(now time.Time, wv *wave, pending int) bool {
	batches := time.Duration((pending + wv.spec.MaxDown - 1) / max(1, wv.spec.MaxDown))
	deadline := wv.spec.FirstSeen.Add(wv.spec.Duration)
	return now.Add(batches*machineMaintenanceTime + waveDeadlineMargin).After(deadline)
}

// spares tells whether the machine's pool can do without it now.
func (sc *Scheduler) canSpare(h *machine, w *worker, demand map[string]*poolDemand, force bool) bool {
	d := demand[h.entry.Pool]
	if d == nil || force || w.cordoned {
		return true
	}
	if d.machines > d.needed {
		d.machines--
		return true
	}
	return false
}

// drained tells whether the machine can be taken now: nothing that ends by itself runs there, and its lasting tasks may
// be away.
func (sc *Scheduler) canTakeDown(w *worker, force bool) bool {
	if w == nil {
		return true
	}
	if !w.listed || !w.verified || w.unanswered > 0 {
		return false
	}
	return (w.batchAttempts() == 0 || force && w.batchAttempts() <= maxForcedTasks) && w.canEvictLongRunning()
}

// hurryTasks is how many tasks a machine may run when a late wave takes it.
const maxForcedTasks = 2
