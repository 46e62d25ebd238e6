package sched

import (
	"cmp"
	"math"
	"time"

	"mangowing/core/setup"
)

// poolDemand is what a pool has and needs.
type poolDemand struct {
	name             string
	machines         int     // up or on their way
	coresPerVM       float64 // cores of a machine
	needed           int     // machines needed for all work, there or expected
	neededNow        int     // machines needed for what lasts and for the work there that can still be in time
	neededSoon       int     // the same with work that is expected
	neededAtLeast    int     // machines needed for what lasts
	arriving         int     // machines on their way
	idleWorkers      []*worker
	longRunningCores float64 // cores of lasting tasks
	reachableCores   float64 // cores that the pool has or can get from others
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

func (b backlog) total() float64 { return b.urgent + b.late }

// teamLoad is what a team's jobs take of its limit, without accelerators.
type teamLoad struct {
	backlog
	longRunningCores float64 // cores of lasting tasks
}

func (l teamLoad) plus(j *job, late bool) teamLoad {
	batch, longRunning := remainingWork(j, coresWithoutGPUs)
	l.backlog = l.backlog.plus(batch, late)
	l.longRunningCores += longRunning
	return l
}

// processors returns the cores without accelerators.
func coresWithoutGPUs(r setup.Resources) float64 { return float64(r.CPU) / setup.MilliCoresPerCore }

// measureDemand compares what each pool has with what its work needs.
func (sc *Scheduler) measureDemand(now time.Time, byMachine map[string]*worker) map[string]*poolDemand {
	demand := map[string]*poolDemand{}
	for _, name := range sc.cfg.Pools() {
		demand[name] = &poolDemand{name: name}
	}
	if sc.lastMachineList.IsZero() {
		sc.countWorkersAsMachines(demand)
	} else {
		sc.countMachines(now, demand, byMachine)
	}
	sc.computeNeeds(now, demand)
	for _, d := range demand {
		d.reachableCores = d.batchCores(d.machines)
	}
	sc.recordSurges()
	return demand
}

// countWorkers takes each worker for a machine that stays where it is, as long as the platform lists no machines.
func (sc *Scheduler) countWorkersAsMachines(demand map[string]*poolDemand) {
	for _, w := range sc.workersByID {
		d, found := demand[w.entry.Pool]
		if !found || !w.isHealthy() {
			continue
		}
		d.machines++
		d.coresPerVM = max(d.coresPerVM, w.entry.Capacity.Cores())
	}
}

// countMachines counts what each pool has, and what is on its way there.
func (sc *Scheduler) countMachines(now time.Time, demand map[string]*poolDemand, byMachine map[string]*worker) {
	for _, h := range sc.machinesByID {
		pool := cmp.Or(h.targetPool, h.entry.Pool)
		d, found := demand[pool]
		if !found || h.entry.State == MachineDown && h.targetPool == "" {
			continue
		}
		if h.targetPool != "" {
			d.arriving++
		}
		w := byMachine[h.entry.ID]
		if w == nil || w.isHealthy() || now.Sub(w.listedAt) < workerJoinDelay {
			d.machines++
		}
		d.coresPerVM = max(d.coresPerVM, setup.Resources{CPU: h.entry.Capacity.CPU, GPU: h.entry.Capacity.GPU}.Cores())
		if w != nil && h.targetPool == "" && h.maintenanceWave == 0 && w.isIdle() && !w.cordoned && w.entry.Pool == pool {
			d.idleWorkers = append(d.idleWorkers, w)
		}
	}
}

// measureNeeds fills in how many machines each pool needs.
func (sc *Scheduler) computeNeeds(now time.Time, demand map[string]*poolDemand) {
	longRunning, leastWorkers, starved := map[string]float64{}, map[string]int{}, map[string]bool{}
	work, teams := map[string]backlog{}, map[string]teamLoad{}
	for j := range sc.openJobs {
		pool := sc.currentPool(j)
		batch, longRunningCores := remainingWork(j, setup.Resources.Cores)
		late := j.isLate(now)
		work[pool] = work[pool].plus(batch, late)
		teams[j.spec.Team] = teams[j.spec.Team].plus(j, late)
		longRunning[pool] += longRunningCores
		leastWorkers[pool] = max(leastWorkers[pool], minWorkers(j))
		starved[pool] = starved[pool] || hasStarvedLongRunning(now, j)
	}
	sc.teamLoads = teams
	for name, d := range demand {
		if pool, declared := sc.cfg.Pool(name); declared && pool.Standby || d.coresPerVM == 0 {
			continue
		}
		forecast := sc.surges.forecastCores(now, name, float64(d.machines)*d.coresPerVM)
		d.backlog, d.longRunningCores = work[name], longRunning[name]
		late := d.late / lateBacklogDrainTime.Seconds()
		current := max(d.urgent/backlogDrainTime.Seconds(), sc.surges.trend(name).arrivalRate(now))
		d.neededAtLeast = max(d.machinesFor(d.longRunningCores), leastWorkers[name])
		d.neededNow = max(d.machinesFor(d.longRunningCores+current), d.neededAtLeast)
		d.neededSoon = max(d.machinesFor(d.longRunningCores+max(current, forecast)), d.neededAtLeast)
		d.needed = max(d.machinesFor(d.longRunningCores+max(current, forecast)+late), d.neededAtLeast)
		if starved[name] && d.arriving == 0 {
			d.neededNow = max(d.neededNow, d.machines+1)
			d.neededSoon = max(d.neededSoon, d.neededNow)
			d.needed = max(d.needed, d.neededNow)
		}
	}
}

// coresOf returns how many cores so many machines of the pool have for work that ends by itself.
func (d *poolDemand) batchCores(machines int) float64 {
	return (float64(machines)*d.coresPerVM - d.longRunningCores) * usableCoreShare
}

// machinesFor returns how many machines the pool needs for work that takes so many cores.
func (d *poolDemand) machinesFor(cores float64) int {
	return int(math.Ceil(cores/(d.coresPerVM*usableCoreShare))) + headroomMachines
}

// late tells whether the job can't meet its objective any more, or is beyond its team's share.
func (j *job) isLate(now time.Time) bool {
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
func remainingWork(j *job, coresOf func(setup.Resources) float64) (batch, longRunning float64) {
	for _, r := range j.rounds {
		for _, s := range r.steps {
			if s.isDone() {
				continue
			}
			cores := coresOf(s.spec.Reservation())
			if s.spec.LongRunning {
				longRunning += float64(s.spec.Count) * cores
				continue
			}
			batch += (float64(s.waiting) + float64(s.tasksLeft-s.waiting)/2) * cores * s.spec.Estimate().Seconds()
		}
	}
	return batch, longRunning
}

// lastingWaits tells whether a lasting task of the job has waited for a worker for a while.
func hasStarvedLongRunning(now time.Time, j *job) bool {
	for _, r := range j.rounds {
		for _, s := range r.steps {
			if !s.spec.LongRunning || s.waiting == 0 {
				continue
			}
			for _, t := range s.tasks {
				if t.isWaiting() && now.Sub(t.lastRun) > longRunningWaitLimit && now.Sub(s.readyAt) > longRunningWaitLimit {
					return true
				}
			}
		}
	}
	return false
}

// workersFor returns over how many workers the job's lasting steps have to be spread.
func minWorkers(j *job) int {
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
func rationMachines(demand map[string]*poolDemand) (isShort bool) {
	totalNeeded, totalNow, totalSoon, totalMachines := 0, 0, 0, 0
	for _, d := range demand {
		totalNeeded += d.needed
		totalNow += d.neededNow
		totalSoon += d.neededSoon
		totalMachines += d.machines
		isShort = isShort || d.machines < d.needed
	}
	if totalNeeded <= totalMachines {
		return isShort
	}
	for _, d := range demand {
		switch {
		case totalNow >= totalMachines:
			d.needed = max(min(d.neededNow, d.neededAtLeast), d.neededNow*totalMachines/totalNow)
		case totalSoon >= totalMachines:
			d.needed = d.neededNow + (d.neededSoon-d.neededNow)*(totalMachines-totalNow)/(totalSoon-totalNow)
		default:
			d.needed = d.neededSoon + (d.needed-d.neededSoon)*(totalMachines-totalSoon)/(totalNeeded-totalSoon)
		}
	}
	return isShort
}
