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
	waveTurn = 4 * time.Second
	// A wave takes machines whatever they run when it would be late otherwise by less than this.
	waveHurry = 4 * time.Second
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
func (sc *Scheduler) noteServed(_ time.Time, number int64, id string) {
	if sc.maintained[servedKey{number, id}] {
		return
	}
	record := MaintenanceDone{Wave: number, Machine: id}
	sc.appendRecord(record)
	sc.foldServed(record)
}

func (sc *Scheduler) foldServed(r MaintenanceDone) {
	sc.maintained[servedKey{r.Wave, r.Machine}] = true
	delete(sc.maintenanceOrders, r.Machine)
}

type servedKey struct {
	wave    int64
	machine string
}

func (sc *Scheduler) planWaves(now time.Time, byMachine map[string]*worker, demand map[string]*poolDemand) {
	for _, number := range sc.openWaves() {
		sc.planWave(now, sc.waves[number], byMachine, demand)
	}
}

func (sc *Scheduler) openWaves() []int64 {
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
	left, down := sc.leftOf(now, wv)
	if len(left) == 0 && down == 0 {
		wv.completed = true
		sc.orderOnceStored(ReportWave{Wave: wv.spec.Number, Completed: true})
		sc.logDecision(now, "wave-completed", "", "", "")
		return
	}
	sc.takeForWave(now, wv, sc.byCost(left, byMachine), wv.spec.MaxDown-down, byMachine, demand)
}

// leftOf returns the wave's machines that were not maintained, and how many are down for it now.
func (sc *Scheduler) leftOf(now time.Time, wv *wave) (left []*machine, down int) {
	for _, id := range wv.spec.Machines {
		h, listed := sc.machines[id]
		served := sc.maintained[servedKey{wv.spec.Number, id}]
		switch {
		case !listed:
			// The machine was removed for good.
		case h.serving == wv.spec.Number && (h.busy(now, sc.options) || h.entry.State == MachineInMaintenance):
			down++
		case h.entry.State == MachineInMaintenance:
			down++
		case !served:
			left = append(left, h)
		}
	}
	return left, down
}

// byCost sorts machines by what their maintenance would end now.
func (sc *Scheduler) byCost(left []*machine, byMachine map[string]*worker) []*machine {
	cost := func(h *machine) int {
		w := byMachine[h.entry.ID]
		switch {
		case w == nil:
			return 0
		case w.cordoned:
			return 1 + w.batch()
		case w.lasting():
			return 1000 + w.batch()
		default:
			return 10 + w.batch()
		}
	}
	slices.SortStableFunc(left, func(a, b *machine) int { return cmp.Compare(cost(a), cost(b)) })
	return left
}

func (sc *Scheduler) takeForWave(now time.Time, wv *wave, left []*machine, room int, byMachine map[string]*worker, demand map[string]*poolDemand) {
	hurry := sc.hurries(now, wv, len(left))
	cordoned, wanting := 0, map[string]bool{}
	for _, h := range left {
		w := byMachine[h.entry.ID]
		if h.entry.State != MachineUp || h.busy(now, sc.options) || now.Before(h.refused) {
			continue
		}
		if w != nil && !sc.spares(h, w, demand, hurry) {
			wanting[h.entry.Pool] = true
			continue
		}
		if room > 0 && sc.drained(w, hurry) {
			room--
			h.serving = wv.spec.Number
			record := MaintenanceOrdered{Wave: wv.spec.Number, Machine: h.entry.ID}
			sc.appendRecord(record)
			sc.maintenanceOrders[record.Machine] = record.Wave
			sc.orderMachine(now, h, w, MaintainMachine{Machine: h.entry.ID, Wave: wv.spec.Number})
			continue
		}
		if w != nil && cordoned < max(0, room)+drainAhead && !w.cordoned {
			w.cordoned = true
		}
		if w != nil && w.cordoned {
			cordoned++
			sc.evacuate(now, w)
		}
	}
	// A pool that can't spare a machine gets one more, so that its others can be taken one after the other.
	for pool := range wanting {
		demand[pool].need++
	}
}

// evacuate stops lasting tasks on a cordoned worker, as many as may be away, so that they go on elsewhere.
func (sc *Scheduler) evacuate(now time.Time, w *worker) {
	if w.mayTake() {
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
func (sc *Scheduler) hurries(now time.Time, wv *wave, left int) bool {
	rounds := time.Duration((left + wv.spec.MaxDown - 1) / max(1, wv.spec.MaxDown))
	due := wv.spec.FirstSeen.Add(wv.spec.Duration)
	return now.Add(rounds*waveTurn + waveHurry).After(due)
}

// spares tells whether the machine's pool can do without it now.
func (sc *Scheduler) spares(h *machine, w *worker, demand map[string]*poolDemand, hurry bool) bool {
	d := demand[h.entry.Pool]
	if d == nil || hurry || w.cordoned {
		return true
	}
	if d.machines > d.need {
		d.machines--
		return true
	}
	return false
}

// drained tells whether the machine can be taken now: nothing that ends by itself runs there, and its lasting tasks may
// be away.
func (sc *Scheduler) drained(w *worker, hurry bool) bool {
	if w == nil {
		return true
	}
	if !w.listed || !w.verified || w.unanswered > 0 {
		return false
	}
	return (w.batch() == 0 || hurry && w.batch() <= hurryTasks) && w.mayTake()
}

// hurryTasks is how many tasks a machine may run when a late wave takes it.
const hurryTasks = 2
