package sched

import (
	"cmp"
	"math"
	"time"

	"mangowing/core/setup"
)

// poolDemand is what a pool has and needs.
type poolDemand struct {
	name     string
	machines int     // up or on their way
	perVM    float64 // cores of a machine
	need     int     // machines needed for all work, there or expected
	timely   int     // machines needed for what lasts and for the work there that can still be in time
	soon     int     // the same with work that is expected
	least    int     // machines needed for what lasts
	coming   int     // machines on their way
	idle     []*worker
	held     float64 // cores of lasting tasks
	reach    float64 // cores that the pool has or can get from others
	backlog
}

// backlog is work that is not done, in core-seconds.
type backlog struct {
	urgent float64 // it can still be in time
	late   float64 // it is late or beyond its team's share
}

func (b backlog) plus(work float64, late bool) backlog {
	if late {
		b.late += work
	} else {
		b.urgent += work
	}
	return b
}

func (b backlog) all() float64 { return b.urgent + b.late }

// teamLoad is what a team's jobs take of its limit, without accelerators.
type teamLoad struct {
	backlog
	held float64 // cores of lasting tasks
}

func (l teamLoad) plus(j *job, late bool) teamLoad {
	batch, lasting := workLeft(j, processors)
	l.backlog = l.backlog.plus(batch, late)
	l.held += lasting
	return l
}

// processors returns the cores without accelerators.
func processors(r setup.Resources) float64 { return float64(r.CPU) / setup.MilliCoresPerCore }

// measureDemand compares what each pool has with what its work needs.
func (sc *Scheduler) measureDemand(now time.Time, byMachine map[string]*worker) map[string]*poolDemand {
	demand := map[string]*poolDemand{}
	for _, name := range sc.cfg.Pools() {
		demand[name] = &poolDemand{name: name}
	}
	if sc.lastMachineList.IsZero() {
		sc.countWorkers(demand)
	} else {
		sc.countMachines(now, demand, byMachine)
	}
	sc.measureNeeds(now, demand)
	for _, d := range demand {
		d.reach = d.coresOf(d.machines)
	}
	sc.saveTurns()
	return demand
}

// countWorkers takes each worker for a machine that stays where it is, as long as the platform lists no machines.
func (sc *Scheduler) countWorkers(demand map[string]*poolDemand) {
	for _, w := range sc.workersByID {
		d, found := demand[w.entry.Pool]
		if !found || !w.healthy() {
			continue
		}
		d.machines++
		d.perVM = max(d.perVM, w.entry.Capacity.Cores())
	}
}

// countMachines counts what each pool has, and what is on its way there.
func (sc *Scheduler) countMachines(now time.Time, demand map[string]*poolDemand, byMachine map[string]*worker) {
	for _, h := range sc.machinesByID {
		pool := cmp.Or(h.heading, h.entry.Pool)
		d, found := demand[pool]
		if !found || h.entry.State == MachineDown && h.heading == "" {
			continue
		}
		if h.heading != "" {
			d.coming++
		}
		w := byMachine[h.entry.ID]
		if w == nil || w.healthy() || now.Sub(w.listedAt) < joinMargin {
			d.machines++
		}
		d.perVM = max(d.perVM, setup.Resources{CPU: h.entry.Capacity.CPU, GPU: h.entry.Capacity.GPU}.Cores())
		if w != nil && h.heading == "" && h.serving == 0 && w.idle() && !w.cordoned && w.entry.Pool == pool {
			d.idle = append(d.idle, w)
		}
	}
}

// measureNeeds fills in how many machines each pool needs.
func (sc *Scheduler) measureNeeds(now time.Time, demand map[string]*poolDemand) {
	held, spread, stuck := map[string]float64{}, map[string]int{}, map[string]bool{}
	work, teams := map[string]backlog{}, map[string]teamLoad{}
	for j := range sc.openJobs {
		pool := sc.currentPool(j)
		batch, lasting := workLeft(j, setup.Resources.Cores)
		late := j.late(now)
		work[pool] = work[pool].plus(batch, late)
		teams[j.spec.Team] = teams[j.spec.Team].plus(j, late)
		held[pool] += lasting
		spread[pool] = max(spread[pool], workersFor(j))
		stuck[pool] = stuck[pool] || lastingWaits(now, j)
	}
	sc.teamLoads = teams
	for name, d := range demand {
		if pool, declared := sc.cfg.Pool(name); declared && pool.Standby || d.perVM == 0 {
			continue
		}
		expected := sc.turns.expect(now, name, float64(d.machines)*d.perVM)
		d.backlog, d.held = work[name], held[name]
		late := d.late / lateHorizon.Seconds()
		present := max(d.urgent/workHorizon.Seconds(), sc.turns.trend(name).rate(now))
		d.least = max(d.machinesFor(d.held), spread[name])
		d.timely = max(d.machinesFor(d.held+present), d.least)
		d.soon = max(d.machinesFor(d.held+max(present, expected)), d.least)
		d.need = max(d.machinesFor(d.held+max(present, expected)+late), d.least)
		if stuck[name] && d.coming == 0 {
			d.timely = max(d.timely, d.machines+1)
			d.soon = max(d.soon, d.timely)
			d.need = max(d.need, d.timely)
		}
	}
}

// coresOf returns how many cores so many machines of the pool have for work that ends by itself.
func (d *poolDemand) coresOf(machines int) float64 {
	return (float64(machines)*d.perVM - d.held) * fillShare
}

// machinesFor returns how many machines the pool needs for work that takes so many cores.
func (d *poolDemand) machinesFor(cores float64) int {
	return int(math.Ceil(cores/(d.perVM*fillShare))) + reserveMachines
}

// late tells whether the job can't meet its objective any more, or is beyond its team's share.
func (j *job) late(now time.Time) bool {
	if j.spec.OverShare {
		return true
	}
	by, chain := j.deadline()
	if j.started {
		chain /= 2
	}
	return now.Add(chain).After(by)
}

// workLeft returns the core-seconds of a job's undone tasks that end by themselves, and the cores of those that last.
func workLeft(j *job, coresOf func(setup.Resources) float64) (batch, lasting float64) {
	for _, r := range j.rounds {
		for _, s := range r.steps {
			if s.isDone() {
				continue
			}
			cores := coresOf(s.spec.Reservation())
			if s.spec.LongRunning {
				lasting += float64(s.spec.Count) * cores
				continue
			}
			batch += (float64(s.waiting) + float64(s.tasksLeft-s.waiting)/2) * cores * s.spec.Estimate().Seconds()
		}
	}
	return batch, lasting
}

// lastingWaits tells whether a lasting task of the job has waited for a worker for a while.
func lastingWaits(now time.Time, j *job) bool {
	for _, r := range j.rounds {
		for _, s := range r.steps {
			if !s.spec.LongRunning || s.waiting == 0 {
				continue
			}
			for _, t := range s.tasks {
				if t.isWaiting() && now.Sub(t.lastRun) > lastingPatience && now.Sub(s.readyAt) > lastingPatience {
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
		if !spec.LongRunning {
			continue
		}
		n = max(n, min(spec.Count, longRunningSpread))
		if spec.MaxPerWorker > 0 {
			n = max(n, (spec.Count+spec.MaxPerWorker-1)/spec.MaxPerWorker)
		}
	}
	return n
}

// ration shares the machines among the pools if there are not enough, and tells whether a pool lacks machines. Work that
// is there and can be in time goes first, then work that is expected, then late work; each is served in proportion to the
// needs.
func ration(demand map[string]*poolDemand) (lacking bool) {
	needed, timely, soon, machines := 0, 0, 0, 0
	for _, d := range demand {
		needed += d.need
		timely += d.timely
		soon += d.soon
		machines += d.machines
		lacking = lacking || d.machines < d.need
	}
	if needed <= machines {
		return lacking
	}
	for _, d := range demand {
		switch {
		case timely >= machines:
			d.need = max(min(d.timely, d.least), d.timely*machines/timely)
		case soon >= machines:
			d.need = d.timely + (d.soon-d.timely)*(machines-timely)/(soon-timely)
		default:
			d.need = d.soon + (d.need-d.soon)*(machines-soon)/(needed-soon)
		}
	}
	return lacking
}
