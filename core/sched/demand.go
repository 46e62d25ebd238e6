package sched

import (
	"cmp"
	"math"
	"time"

	"mangowing/core/setup"
)

// poolDemand compares the machines that a pool has with those that it needs.
type poolDemand struct {
	name               string
	machines           int     // machines that are up or arriving
	coresPerMachine    float64 // cores of one machine
	needed             int     // machines for all work, including forecast and late work; may be cut by rationMachines
	neededNow          int     // machines for long-running tasks and for present work that can still meet its deadline
	neededWithForecast int     // the same with forecast work
	neededAtLeast      int     // machines for long-running tasks only, spread as minWorkers requires
	arriving           int     // machines that are moving into the pool
	evacuated          int     // machines in evacuated data centres, not counted above
	outside            int     // all other machines
	idleWorkers        []*worker
	longRunningCores   float64 // cores of long-running tasks
	reachableCores     float64 // cores for batch work that the pool has or can get from others
	backlog
}

// backlog is the unfinished batch work.
type backlog struct {
	urgent workload // work that can still meet its deadline
	late   workload // work that will miss its deadline or exceeds its team's share
}

func (b *backlog) of(late bool) *workload {
	if late {
		return &b.late
	}
	return &b.urgent
}

// allWithin returns the core-seconds that can be done within the given time, late work included.
func (b *backlog) allWithin(d time.Duration) float64 { return b.urgent.within(d) + b.late.within(d) }

// teamLoad is the part of a team's limit that its open jobs need, GPUs not counted.
type teamLoad struct {
	backlog
	longRunningCores float64 // cores of long-running tasks
}

func coresWithoutGPUs(r setup.Resources) float64 { return float64(r.CPU) / setup.MilliCoresPerCore }

// measureDemand returns what each declared pool has and needs.
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

// countWorkersAsMachines counts each healthy worker as one machine, for as long as the platform has listed no machines.
func (sc *Scheduler) countWorkersAsMachines(demand map[string]*poolDemand) {
	for _, w := range sc.workersByID {
		d, found := demand[w.entry.Pool]
		if !found || sc.skipEvacuated(d, w.evacuated, w.entry.Capacity.Cores()) || !w.isHealthy() {
			continue
		}
		d.machines++
		d.coresPerMachine = max(d.coresPerMachine, w.entry.Capacity.Cores())
	}
}

// countMachines counts the machines that each pool has, including those that are moving into it.
func (sc *Scheduler) countMachines(now time.Time, demand map[string]*poolDemand, byMachine map[string]*worker) {
	for _, m := range sc.machinesByID {
		pool := cmp.Or(m.targetPool, m.entry.Pool)
		d, found := demand[pool]
		if !found || m.entry.State == MachineDown && m.targetPool == "" {
			continue
		}
		w := byMachine[m.entry.ID]
		if sc.skipEvacuated(d, sc.isMachineEvacuated(m, w), setup.Resources{CPU: m.entry.Capacity.CPU, GPU: m.entry.Capacity.GPU}.Cores()) {
			continue
		}
		if m.targetPool != "" {
			d.arriving++
		}
		if w == nil || w.isHealthy() || now.Sub(w.listedAt) < workerJoinDelay {
			d.machines++
		}
		d.coresPerMachine = max(d.coresPerMachine, setup.Resources{CPU: m.entry.Capacity.CPU, GPU: m.entry.Capacity.GPU}.Cores())
		if w != nil && m.targetPool == "" && m.maintenanceWave == 0 && w.isIdle() && !w.cordoned && w.entry.Pool == pool {
			d.idleWorkers = append(d.idleWorkers, w)
		}
	}
}

// computeNeeds computes how many machines each pool needs.
func (sc *Scheduler) computeNeeds(now time.Time, demand map[string]*poolDemand) {
	longRunning, leastWorkers, starved := map[string]float64{}, map[string]int{}, map[string]bool{}
	work, teams := map[string]*backlog{}, map[string]*teamLoad{}
	for j := range sc.openJobs {
		pool, team := sc.currentPool(j), j.spec.Team
		if work[pool] == nil {
			work[pool] = &backlog{}
		}
		if teams[team] == nil {
			teams[team] = &teamLoad{}
		}
		late := j.isLate(now)
		longRunning[pool] += addRemaining(work[pool].of(late), j, setup.Resources.Cores)
		teams[team].longRunningCores += addRemaining(teams[team].of(late), j, coresWithoutGPUs)
		if delayed := j.delayedRounds(now); delayed > 0 {
			longRunning[pool] += addDelayed(work[pool].of(late), j, delayed, setup.Resources.Cores)
			teams[team].longRunningCores += addDelayed(teams[team].of(late), j, delayed, coresWithoutGPUs)
		}
		leastWorkers[pool] = max(leastWorkers[pool], minWorkers(j))
		starved[pool] = starved[pool] || hasStarvedLongRunning(now, j)
	}
	sc.teamLoads = teams
	for name, d := range demand {
		if pool, declared := sc.cfg.Pool(name); declared && pool.Standby || d.coresPerMachine == 0 {
			continue
		}
		forecast := sc.surges.forecastCores(now, name, float64(d.machines)*d.coresPerMachine)
		if work[name] != nil {
			d.backlog = *work[name]
		}
		d.longRunningCores = longRunning[name]
		late, lasting := d.late.neededCores(lateBacklogDrainTime), d.urgent.lastingCores()
		forecast += lasting
		current := max(d.urgent.neededCores(backlogDrainTime), lasting+sc.surges.trend(name).arrivalRate(now))
		d.neededAtLeast = max(d.machinesFor(d.longRunningCores), leastWorkers[name])
		d.neededNow = max(d.machinesFor(d.longRunningCores+current), d.neededAtLeast)
		d.neededWithForecast = max(d.machinesFor(d.longRunningCores+max(current, forecast)), d.neededAtLeast)
		d.needed = max(d.machinesFor(d.longRunningCores+max(current, forecast)+late), d.neededAtLeast) + sc.machinesForSuspects(name)
		if starved[name] && d.arriving == 0 {
			d.neededNow = max(d.neededNow, d.machines+1)
			d.neededWithForecast = max(d.neededWithForecast, d.neededNow)
			d.needed = max(d.needed, d.neededNow)
		}
	}
}

// batchCores returns how many cores the given number of the pool's machines leave for batch work.
func (d *poolDemand) batchCores(machines int) float64 {
	return (float64(machines)*d.coresPerMachine - d.longRunningCores) * usableCoreShare
}

// maxNeededMachines bounds what a pool needs: clients may schedule work for more machines than an int can count.
const maxNeededMachines = 1_000_000

// machinesFor returns how many of the pool's machines provide the given cores, headroom included.
func (d *poolDemand) machinesFor(cores float64) int {
	return int(min(maxNeededMachines, math.Ceil(cores/(d.coresPerMachine*usableCoreShare)))) + headroomMachines
}

// isLate reports whether the job can no longer meet its deadline, or exceeds its team's share. A started job is assumed to be
// half done.
func (j *job) isLate(now time.Time) bool {
	if j.spec.OverShare {
		return true
	}
	deadline, criticalPath := j.deadline()
	if j.started {
		criticalPath /= 2
	}
	return now.Add(criticalPath).After(deadline)
}

// addRemaining adds the job's unfinished batch tasks to the workload, running ones as half done, and returns the cores of its
// long-running tasks.
func addRemaining(l *workload, j *job, coresOf func(setup.Resources) float64) (longRunning float64) {
	for _, r := range j.rounds {
		ends := make([]time.Duration, len(r.steps))
		for n, s := range r.steps {
			if s.isDone() {
				continue
			}
			cores := coresOf(s.spec.Reservation())
			if s.spec.LongRunning {
				longRunning += float64(s.spec.Count) * cores
				continue
			}
			wait := s.spec.waitFor(ends, n)
			ends[n] = wait + s.remainingTime()
			l.add(float64(s.waitingTasks)*cores, wait, s.spec.Estimate())
			l.add(float64(s.remainingTasks-s.waitingTasks)*cores, wait, s.spec.Estimate()/2)
		}
	}
	return longRunning
}

// remainingTime returns the estimated time until the step's tasks are done once it is ready.
func (s *step) remainingTime() time.Duration {
	if s.waitingTasks == 0 {
		return s.spec.Estimate() / 2
	}
	return s.spec.Estimate()
}

// hasStarvedLongRunning reports whether a long-running task of the job has waited for a worker for more than
// longRunningWaitLimit.
func hasStarvedLongRunning(now time.Time, j *job) bool {
	for _, r := range j.rounds {
		for _, s := range r.steps {
			if !s.spec.LongRunning || s.waitingTasks == 0 {
				continue
			}
			if since := now.Add(-longRunningWaitLimit); s.readyAt.Before(since) && s.hasWaitedSince(since) {
				return true
			}
		}
	}
	return false
}

// minWorkers returns over how many workers the job's long-running steps must be spread.
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

// rationMachines divides the machines among the pools if there are too few, and reports whether any pool has fewer than it
// needs. Present work that can meet its deadline goes first, then forecast work, then late work; within each of these, pools
// get machines in proportion to their needs.
func rationMachines(demand map[string]*poolDemand) (anyPoolShort bool) {
	totalNeeded, totalNow, totalWithForecast, totalMachines := 0, 0, 0, 0
	for _, d := range demand {
		totalNeeded += d.needed
		totalNow += d.neededNow
		totalWithForecast += d.neededWithForecast
		totalMachines += d.machines
		anyPoolShort = anyPoolShort || d.machines < d.needed
	}
	if totalNeeded <= totalMachines {
		return anyPoolShort
	}
	for _, d := range demand {
		switch {
		case totalNow >= totalMachines:
			d.needed = max(min(d.neededNow, d.neededAtLeast), d.neededNow*totalMachines/max(1, totalNow))
		case totalWithForecast >= totalMachines:
			d.needed = d.neededNow + (d.neededWithForecast-d.neededNow)*(totalMachines-totalNow)/(totalWithForecast-totalNow)
		default:
			d.needed = d.neededWithForecast + (d.needed-d.neededWithForecast)*(totalMachines-totalWithForecast)/(totalNeeded-totalWithForecast)
		}
	}
	return anyPoolShort
}
