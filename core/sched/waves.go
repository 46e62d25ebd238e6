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
func (m *Machine) AddWave(now time.Time, spec Wave) {
	if _, known := m.waves[spec.Number]; known {
		return
	}
	seen, known := m.waveSeen[spec.Number]
	if !known {
		seen = now.UnixMilli()
		record := WaveSeen{Wave: spec.Number, AtMs: seen}
		m.emit(record)
		m.foldWaveSeen(record)
	}
	spec.Seen = time.UnixMilli(seen)
	m.waves[spec.Number] = &wave{spec: spec}
}

func (m *Machine) foldWaveSeen(r WaveSeen) { m.waveSeen[r.Wave] = r.AtMs }

// noteServed records that a machine had its maintenance for a wave.
func (m *Machine) noteServed(_ time.Time, number int64, id string) {
	if m.served[servedKey{number, id}] {
		return
	}
	record := MachineServed{Wave: number, Machine: id}
	m.emit(record)
	m.foldServed(record)
}

func (m *Machine) foldServed(r MachineServed) {
	m.served[servedKey{r.Wave, r.Machine}] = true
	delete(m.inService, r.Machine)
}

type servedKey struct {
	wave    int64
	machine string
}

func (m *Machine) planWaves(now time.Time, byMachine map[string]*worker, demand map[string]*poolDemand) {
	for _, number := range m.openWaves() {
		m.planWave(now, m.waves[number], byMachine, demand)
	}
}

func (m *Machine) openWaves() []int64 {
	var numbers []int64
	for number, wv := range m.waves {
		if !wv.completed {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

func (m *Machine) planWave(now time.Time, wv *wave, byMachine map[string]*worker, demand map[string]*poolDemand) {
	if !wv.reported {
		wv.reported = true
		m.orderNow(ReportWave{Wave: wv.spec.Number})
	}
	left, down := m.leftOf(now, wv)
	if len(left) == 0 && down == 0 {
		wv.completed = true
		m.orderAfter(ReportWave{Wave: wv.spec.Number, Completed: true})
		m.decide(now, "wave-completed", "", "", "")
		return
	}
	m.takeForWave(now, wv, m.byCost(left, byMachine), wv.spec.Most-down, byMachine, demand)
}

// leftOf returns the wave's machines that were not maintained, and how many are down for it now.
func (m *Machine) leftOf(now time.Time, wv *wave) (left []*machine, down int) {
	for _, id := range wv.spec.Machines {
		h, listed := m.machines[id]
		served := m.served[servedKey{wv.spec.Number, id}]
		switch {
		case !listed:
			// The machine was removed for good.
		case h.serving == wv.spec.Number && (h.busy(now, m.options) || h.entry.State == MachineInService):
			down++
		case h.entry.State == MachineInService:
			down++
		case !served:
			left = append(left, h)
		}
	}
	return left, down
}

// byCost sorts machines by what their maintenance would end now.
func (m *Machine) byCost(left []*machine, byMachine map[string]*worker) []*machine {
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

func (m *Machine) takeForWave(now time.Time, wv *wave, left []*machine, room int, byMachine map[string]*worker, demand map[string]*poolDemand) {
	hurry := m.hurries(now, wv, len(left))
	cordoned, wanting := 0, map[string]bool{}
	for _, h := range left {
		w := byMachine[h.entry.ID]
		if h.entry.State != MachineUp || h.busy(now, m.options) || now.Before(h.refused) {
			continue
		}
		if w != nil && !m.spares(h, w, demand, hurry) {
			wanting[h.entry.Pool] = true
			continue
		}
		if room > 0 && m.drained(w, hurry) {
			room--
			h.serving = wv.spec.Number
			record := ServiceOrdered{Wave: wv.spec.Number, Machine: h.entry.ID}
			m.emit(record)
			m.inService[record.Machine] = record.Wave
			m.orderMachine(now, h, w, ServiceMachine{Machine: h.entry.ID, Wave: wv.spec.Number})
			continue
		}
		if w != nil && cordoned < max(0, room)+drainAhead && !w.cordoned {
			w.cordoned = true
		}
		if w != nil && w.cordoned {
			cordoned++
			m.evacuate(now, w)
		}
	}
	// A pool that can't spare a machine gets one more, so that its others can be taken one after the other.
	for pool := range wanting {
		demand[pool].need++
	}
}

// evacuate stops lasting tasks on a cordoned worker, as many as may be away, so that they go on elsewhere.
func (m *Machine) evacuate(now time.Time, w *worker) {
	if w.mayTake() {
		return
	}
	for _, r := range w.order {
		s := r.task.step
		if s.spec.Lasting && !r.stopping && r.phase == runConfirmed && (s.spec.MaxUnavailable == 0 || s.away() < s.spec.MaxUnavailable) {
			m.stopRun(now, r)
		}
	}
}

// hurries tells whether the wave is late unless machines are taken whatever they run.
func (m *Machine) hurries(now time.Time, wv *wave, left int) bool {
	rounds := time.Duration((left + wv.spec.Most - 1) / max(1, wv.spec.Most))
	due := wv.spec.Seen.Add(wv.spec.Duration)
	return now.Add(rounds*waveTurn + waveHurry).After(due)
}

// spares tells whether the machine's pool can do without it now.
func (m *Machine) spares(h *machine, w *worker, demand map[string]*poolDemand, hurry bool) bool {
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
func (m *Machine) drained(w *worker, hurry bool) bool {
	if w == nil {
		return true
	}
	if !w.listed || !w.verified || w.silent > 0 {
		return false
	}
	return (w.batch() == 0 || hurry && w.batch() <= hurryTasks) && w.mayTake()
}

// hurryTasks is how many tasks a machine may run when a late wave takes it.
const hurryTasks = 2
