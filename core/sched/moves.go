package sched

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// Work that waits is done in this time if the pool has the cores that it needs.
	workHorizon = 1600 * time.Millisecond
	// The same for work that is late already or beyond its team's share.
	lateHorizon = 8 * time.Second
	// Share of a pool's cores that can be in use; the rest is lost to what does not fit.
	fillShare = 0.85
	// A lasting task that waits for longer needs another machine in its pool.
	lastingPatience = 300 * time.Millisecond
	// Idle machines are sent to the standby pool after this time; another pool may need them before.
	surplusPatience = time.Second
	// A pool that had no job yet keeps its machines for this long after a gate became owner.
	unknownPatience = 20 * time.Second
	// A pool frees machines for others when it has this many times what it needs.
	cedeMargin = 1.3
	// Machines that a pool keeps idle for the start of its next turn.
	reserveMachines = 1
)

// measureNeeds fills in how many machines each pool needs.
func (m *Machine) measureNeeds(now time.Time, demand map[string]*poolDemand) {
	urgent, late, held := map[string]float64{}, map[string]float64{}, map[string]float64{}
	spread, stuck := map[string]int{}, map[string]bool{}
	for j := range m.open {
		pool := m.poolNameOf(j)
		batch, lasting := workLeft(j)
		if j.late(now) {
			late[pool] += batch
		} else {
			urgent[pool] += batch
		}
		held[pool] += lasting
		spread[pool] = max(spread[pool], workersFor(j))
		stuck[pool] = stuck[pool] || lastingWaits(now, j)
	}
	for name, d := range demand {
		if pool, declared := m.cfg.Pool(name); declared && pool.Standby || d.perVM == 0 {
			continue
		}
		expected := m.turns.expect(now, name, float64(d.machines)*d.perVM)
		d.urgent, d.late, d.held = urgent[name], late[name], held[name]
		there := d.held + d.late/lateHorizon.Seconds()
		present := max(d.urgent/workHorizon.Seconds(), m.turns.trend(name).rate(now))
		d.least = max(d.machinesFor(d.held), spread[name])
		d.present = max(d.machinesFor(there+present), d.least)
		d.need = max(d.machinesFor(there+max(present, expected)), d.least)
		if stuck[name] && d.coming == 0 {
			d.present = max(d.present, d.machines+1)
			d.need = max(d.need, d.present)
		}
	}
}

// machinesFor returns how many machines the pool needs for work that takes so many cores.
func (d *poolDemand) machinesFor(cores float64) int {
	return int(math.Ceil(cores/(d.perVM*fillShare))) + reserveMachines
}

// late tells whether the job can't meet its objective any more, or is beyond its team's share.
func (j *job) late(now time.Time) bool {
	if j.spec.Excess {
		return true
	}
	by, chain := j.objective()
	if j.begun {
		chain /= 2
	}
	return now.Add(chain).After(by)
}

// ration shares the machines among the pools if there are not enough, and tells whether a pool lacks machines. Work that
// is there goes before work that is expected; each is served in proportion to the needs.
func ration(demand map[string]*poolDemand) (lacking bool) {
	needed, present, machines := 0, 0, 0
	for _, d := range demand {
		needed += d.need
		present += d.present
		machines += d.machines
		lacking = lacking || d.machines < d.need
	}
	if needed <= machines {
		return lacking
	}
	for _, d := range demand {
		if present >= machines {
			d.need = max(min(d.present, d.least), d.present*machines/present)
			continue
		}
		d.need = d.present + (d.need-d.present)*(machines-present)/(needed-present)
	}
	return lacking
}

// cede keeps new tasks off the workers that a pool can do without, those with the least work first, so that they are idle
// soon.
func (m *Machine) cede(standby string, demand map[string]*poolDemand, lacking bool) {
	for _, name := range m.cfg.Pools() {
		d := demand[name]
		spare := d.machines - int(math.Ceil(float64(d.need)*cedeMargin)) - len(d.idle)
		if name == standby || !lacking {
			spare = 0
		}
		workers := m.cedable(name)
		for i, w := range workers {
			if ceded := i < spare; ceded != w.ceded {
				w.ceded = ceded
				m.wake(name)
			}
		}
	}
}

// cedable returns the pool's workers without lasting tasks that are not idle, those with the least work first.
func (m *Machine) cedable(pool string) []*worker {
	var workers []*worker
	for _, w := range m.byID {
		if w.entry.Pool == pool && w.healthy() && (w.ceded || len(w.runs) > 0) && !w.lasting() {
			workers = append(workers, w)
		}
	}
	slices.SortFunc(workers, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(len(a.runs), len(b.runs)), cmp.Compare(a.id, b.id))
	})
	return workers
}

// surplusLong tells whether the pool has had more machines than it needs for a while.
func (m *Machine) surplusLong(now time.Time, d *poolDemand) bool {
	t := m.turns.trend(d.name)
	switch {
	case d.machines <= d.need:
		t.surplus = time.Time{}
	case t.surplus.IsZero():
		t.surplus = now
	}
	return !t.surplus.IsZero() && now.Sub(t.surplus) >= surplusPatience
}

// workLeft returns the core-seconds of a job's undone tasks that end by themselves, and the cores of those that last.
func workLeft(j *job) (batch, lasting float64) {
	for _, r := range j.rounds {
		for _, s := range r.steps {
			if s.done() {
				continue
			}
			cores := s.spec.Needs().Cores()
			if s.spec.Lasting {
				lasting += float64(s.spec.Count) * cores
				continue
			}
			batch += (float64(s.waiting) + float64(s.undone-s.waiting)/2) * cores * s.spec.Estimate().Seconds()
		}
	}
	return batch, lasting
}

// lastingWaits tells whether a lasting task of the job has waited for a worker for a while.
func lastingWaits(now time.Time, j *job) bool {
	for _, r := range j.rounds {
		for _, s := range r.steps {
			if !s.spec.Lasting || s.waiting == 0 {
				continue
			}
			for _, t := range s.tasks {
				if t.waits() && now.Sub(t.lastRun) > lastingPatience && now.Sub(s.readyAt) > lastingPatience {
					return true
				}
			}
		}
	}
	return false
}

// workersFor returns over how many workers the job's lasting steps have to be spread.
func workersFor(j *job) int {
	n := 0
	for i := range j.spec.Steps {
		spec := &j.spec.Steps[i]
		if !spec.Lasting {
			continue
		}
		n = max(n, min(spec.Count, lastingWorkers))
		if spec.MostPerWorker > 0 {
			n = max(n, (spec.Count+spec.MostPerWorker-1)/spec.MostPerWorker)
		}
	}
	return n
}

// planMoves sends machines to the pools that lack them: idle ones of the standby pool first, then idle ones of pools that
// have too many, and sends those that nobody needs to the standby pool.
func (m *Machine) planMoves(now time.Time, byMachine map[string]*worker, demand map[string]*poolDemand) {
	standby := m.standbyPool()
	rationed := ration(demand)
	m.cede(standby, demand, rationed)
	donors := m.donors(now, standby, byMachine, demand)
	for _, d := range demand {
		d.reach = (float64(d.machines+len(donors))*d.perVM - d.held) * fillShare
	}
	for _, d := range byShortage(demand) {
		for d.machines < d.need && len(donors) > 0 {
			h := donors[0]
			donors = donors[1:]
			if h.entry.Pool == d.name {
				continue
			}
			m.move(now, h, byMachine[h.entry.ID], d.name)
			d.machines++
		}
	}
	if standby == "" {
		return
	}
	for _, name := range m.cfg.Pools() {
		m.park(now, demand[name], standby)
	}
}

func (m *Machine) standbyPool() string {
	for _, name := range m.cfg.Pools() {
		if p, _ := m.cfg.Pool(name); p.Standby {
			return name
		}
	}
	return ""
}

// donors returns the machines that may move: those on standby, then idle ones that their pool does not need.
func (m *Machine) donors(now time.Time, standby string, byMachine map[string]*worker, demand map[string]*poolDemand) []*machine {
	var donors []*machine
	for _, id := range sortedIDs(m.machines) {
		h := m.machines[id]
		if h.entry.Pool == standby && m.movable(now, h) && byMachine[id] == nil {
			donors = append(donors, h)
		}
	}
	for _, name := range m.cfg.Pools() {
		d := demand[name]
		if name == standby {
			continue
		}
		spare := d.machines - d.need
		for _, w := range d.idle {
			h := m.machines[w.entry.Machine]
			if spare > 0 && h != nil && m.movable(now, h) {
				donors = append(donors, h)
				spare--
			}
		}
	}
	return donors
}

func (m *Machine) movable(now time.Time, h *machine) bool {
	return h.entry.State == MachineUp && h.heading == "" && h.serving == 0 && !h.busy(now, m.options) && !now.Before(h.refused)
}

// byShortage sorts the pools that lack machines, the worst first.
func byShortage(demand map[string]*poolDemand) []*poolDemand {
	var short []*poolDemand
	for _, d := range demand {
		if d.machines < d.need {
			short = append(short, d)
		}
	}
	slices.SortFunc(short, func(a, b *poolDemand) int {
		if lack := (b.need - b.machines) - (a.need - a.machines); lack != 0 {
			return lack
		}
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return short
}

// park sends idle machines that a pool did not need for a while to the standby pool.
func (m *Machine) park(now time.Time, d *poolDemand, standby string) {
	if d.name == standby || !m.surplusLong(now, d) || !m.turns.trend(d.name).known && now.Sub(m.begun) < unknownPatience {
		return
	}
	for _, w := range d.idle {
		h := m.machines[w.entry.Machine]
		if d.machines <= d.need {
			return
		}
		if h == nil || !m.movable(now, h) || w.cordoned {
			continue
		}
		m.move(now, h, w, standby)
		d.machines--
	}
}

func (m *Machine) move(now time.Time, h *machine, w *worker, pool string) {
	m.decide(now, "machine-moves", "", h.entry.ID, h.entry.Pool+" to "+pool)
	h.heading = pool
	m.orderMachine(now, h, w, MoveMachine{Machine: h.entry.ID, Pool: pool})
}
