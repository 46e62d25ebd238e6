package sched

import (
	"cmp"
	"math"
	"time"

	"mangowing/core/admit"
	"mangowing/core/setup"
)

// A worker takes tasks once it has been listed and polled.
const firstPollDelay = 200 * time.Millisecond

// Until a new owner plans the machines, the timelines are derived this often, since more workers answer all the time.
const firstAdmissionPeriod = 20 * time.Millisecond

// admissionPlan has the timelines against which new jobs are checked. They are derived from the scheduler's state at each plan of the
// machines.
type admissionPlan struct {
	pools     map[string]*admit.Timeline
	teams     map[string]*admit.Timeline // teams with a resource limit
	plannedAt time.Time
	arrivals  map[string]*arrivalMeter // work that teams with a resource limit submit
	refused   map[string]refusedJob    // jobs that may be submitted again, by id
}

// refusedJob is a job that was refused.
type refusedJob struct {
	at        time.Time
	isArrival bool // its work was recorded as an arrival of its pool
}

// refusedJobRetention is for how long the retries of a refused job are not recorded as further arrivals of work.
const refusedJobRetention = 10 * time.Second

// planFirstAdmission derives the timelines while a new owner doesn't plan the machines yet: from the workers that have answered and from what
// the pools had at first, without the machines under way. Clients that waited for an owner come back all at once.
func (sc *Scheduler) planFirstAdmission(now time.Time) {
	if !sc.options.AdmissionTimeline || sc.demand != nil || now.Sub(sc.admission.plannedAt) < firstAdmissionPeriod {
		return
	}
	declared := map[string]*poolDemand{}
	for _, name := range sc.cfg.Pools() {
		declared[name] = nil
	}
	sc.planAdmission(now, nil, declared)
}

// assumeCores lets each pool count, as long as fewer have answered a new owner, with the cores that it had at first or with those that its
// replayed attempts take, whichever are more. A pool of which nothing is known has no capacity then and accepts everything, which after one takeover was the
// work of 20 s.
func (sc *Scheduler) assumeCores(now time.Time) {
	answered, taken := map[string]float64{}, map[string]float64{}
	for _, w := range sc.workersByID {
		if w.isHealthy() {
			answered[w.entry.Pool] += w.entry.Capacity.Cores()
			continue
		}
		for _, r := range w.runList {
			pool, cores := sc.currentPool(r.task.job()), r.spec().Reservation().Cores()
			if t := sc.admission.pools[pool]; t != nil && !r.spec().LongRunning {
				t.AddRun(cores, r.elapsed(now), r.spec().Estimate())
				taken[pool] += cores / usableCoreShare
			}
		}
	}
	for name, t := range sc.admission.pools {
		if missing := max(sc.surges.trend(name).baseCores-answered[name], taken[name]); missing > 0 {
			t.AddCores(missing, 0)
		}
	}
}

// planAdmission derives the timelines from what is up, under way, running and accepted.
func (sc *Scheduler) planAdmission(now time.Time, byMachine map[string]*worker, demand map[string]*poolDemand) {
	if !sc.options.AdmissionTimeline {
		return
	}
	plan := &sc.admission
	plan.plannedAt = now
	plan.pools, plan.teams = make(map[string]*admit.Timeline, len(demand)), map[string]*admit.Timeline{}
	for name := range demand {
		plan.pools[name] = admit.NewTimeline(usableCoreShare)
		plan.pools[name].Expect(sc.surges.trend(name).arrivalRate(now))
	}
	for id, r := range plan.refused {
		if now.Sub(r.at) > refusedJobRetention {
			delete(plan.refused, id)
		}
	}
	for _, w := range sc.workersByID {
		sc.addWorkerCapacity(now, w)
	}
	if sc.demand != nil && !sc.lastMachineList.IsZero() && sc.options.AllowPoolMoves {
		sc.addComingMachines(now, byMachine, demand)
	}
	if sc.demand == nil {
		sc.assumeCores(now)
	}
	sc.addLimits()
	sc.addPromises(now)
}

// addWorkerCapacity adds a worker that takes new tasks now or after its quarantine. What runs there is expected to end by the spread of
// run times.
func (sc *Scheduler) addWorkerCapacity(now time.Time, w *worker) {
	t := sc.admission.pools[w.entry.Pool]
	if t == nil || !w.isHealthy() || w.surplus {
		return
	}
	t.AddCores(w.entry.Capacity.Sub(w.zombieRoom).Cores(), 0)
	if now.Before(w.quarantinedUntil) {
		t.AddCores(-w.free().Cores(), 0)
		t.AddCores(w.free().Cores(), w.quarantinedUntil.Sub(now))
	}
	for _, r := range w.runList {
		cores := r.spec().Reservation().Cores()
		if r.spec().LongRunning {
			t.AddCores(-cores, 0)
			continue
		}
		t.AddRun(cores, r.elapsed(now), r.spec().Estimate())
	}
}

// elapsed returns how long the run has been running; one that has not been confirmed counts as starting now.
func (r *run) elapsed(now time.Time) time.Duration {
	if r.phase != runConfirmed {
		return 0
	}
	return now.Sub(r.startedAt)
}

// addComingMachines adds the machines that are under way to a pool, those that the plan of moves can give it and those that it is
// draining for it.
func (sc *Scheduler) addComingMachines(now time.Time, byMachine map[string]*worker, demand map[string]*poolDemand) {
	for _, m := range sc.machinesByID {
		if m.maintenanceWave != 0 || m.entry.State != MachineUp {
			continue
		}
		switch {
		case m.targetPool != "":
			arrival := cmp.Or(m.confirmedAt, m.orderedAt).Add(provisioningDelay).Sub(now)
			sc.addMachine(m.targetPool, m, max(arrival, workerJoinDelay+firstPollDelay), 1)
		case byMachine[m.entry.ID] == nil && now.Sub(m.movedAt) < machineListLag:
			// Its worker is not listed yet.
			arrival := m.movedAt.Add(workerJoinDelay + firstPollDelay).Sub(now)
			sc.addMachine(m.entry.Pool, m, max(arrival, firstPollDelay), 1)
		}
	}
	sc.addDonors(now, byMachine, demand)
	sc.addDrainingMachines(now, demand)
}

// addMachine adds the part of a machine's cores to a pool, from the given time on.
func (sc *Scheduler) addMachine(pool string, m *machine, from time.Duration, part float64) {
	if t := sc.admission.pools[pool]; t != nil {
		t.AddCores(part*m.cores(), from)
	}
}

// cores returns the machine's cores, GPUs included.
func (m *machine) cores() float64 {
	return setup.Resources{CPU: m.entry.Capacity.CPU, GPU: m.entry.Capacity.GPU}.Cores()
}

// addDonors adds to each pool the idle machines that no pool needs. Any pool can get them as soon as it has the work: they arrive as
// fast as orders may be given.
func (sc *Scheduler) addDonors(now time.Time, byMachine map[string]*worker, demand map[string]*poolDemand) {
	standby := sc.standbyPool()
	var shared admit.Timeline
	own := map[string]*admit.Timeline{}
	for i, m := range sc.donorMachines(now, standby, byMachine, demand) {
		arrival := provisioningDelay + time.Duration(float64(i)/sc.options.MachineOrderRate*float64(time.Second))
		if own[m.entry.Pool] == nil {
			own[m.entry.Pool] = &admit.Timeline{}
		}
		shared.AddCores(m.cores(), arrival)
		own[m.entry.Pool].AddCores(-m.cores(), arrival)
	}
	for name, t := range sc.admission.pools {
		t.AddCapacity(&shared)
		if o := own[name]; o != nil {
			t.AddCapacity(o)
		}
	}
}

// addDrainingMachines divides the machines that get no new tasks among the pools that are short, in proportion to what they lack. A
// machine moves once its last task has ended.
func (sc *Scheduler) addDrainingMachines(now time.Time, demand map[string]*poolDemand) {
	short, lacking := sortByShortage(demand), 0
	for _, d := range short {
		lacking += d.needed - d.machines
	}
	for _, w := range sc.workersByID {
		m := sc.machines[w.entry.Machine]
		// Idle ones are donors, and those with an order are under way: both are counted already.
		if !w.surplus || m == nil || lacking == 0 || w.isIdle() || !w.isHealthy() || !sc.canMove(now, m) {
			continue
		}
		empty := time.Duration(0)
		for _, r := range w.runList {
			empty = max(empty, admit.ExpectedEnd(r.elapsed(now), r.spec().Estimate()))
		}
		for _, d := range short {
			sc.addMachine(d.name, m, empty+provisioningDelay, float64(d.needed-d.machines)/float64(lacking))
		}
	}
}

// addLimits adds a timeline for each team that has a resource limit, less what the team's running tasks hold.
func (sc *Scheduler) addLimits() {
	for name := range sc.teamLoads {
		sc.teamTimeline(name)
	}
}

// teamTimeline returns the timeline of a team's resource limit, nil if it has none.
func (sc *Scheduler) teamTimeline(team string) *admit.Timeline {
	if t := sc.admission.teams[team]; t != nil {
		return t
	}
	limit := sc.limitCores(team)
	if limit == 0 {
		return nil
	}
	t := &admit.Timeline{}
	t.AddCores(limit, 0)
	t.Expect(sc.admission.arrivals[team].rate(sc.admission.plannedAt))
	sc.admission.teams[team] = t
	return t
}

// arrivalMeter measures work that arrives, as a mean that decays by arrivalMeterTime. A nil meter has seen none.
type arrivalMeter struct {
	mean float64 // core-seconds per second
	at   time.Time
}

// arrivalMeterTime is the time constant of an arrivalMeter, about that of the arrival rate of pools.
const arrivalMeterTime = time.Second

func (m *arrivalMeter) rate(now time.Time) float64 {
	if m == nil {
		return 0
	}
	return m.mean * math.Exp(-now.Sub(m.at).Seconds()/arrivalMeterTime.Seconds())
}

func (m *arrivalMeter) add(now time.Time, coreSeconds float64) {
	m.mean, m.at = m.rate(now)+coreSeconds/arrivalMeterTime.Seconds(), now
}

// addPromises adds what accepted jobs still need. Work that is no longer of use to its client promises nothing.
func (sc *Scheduler) addPromises(now time.Time) {
	var before []time.Duration
	for j := range sc.openJobs {
		pool, team := sc.admission.pools[sc.currentPool(j)], sc.admission.teams[j.spec.Team]
		if pool == nil {
			continue
		}
		class := admit.InTime
		if j.isLate(now) {
			class = admit.Late
		}
		before = timesBefore(j.spec, before)
		margin := time.Duration(0)
		if !j.started {
			// With less time than this it is placed as at risk, behind other work.
			margin = startMargin(j.spec, j.criticalPath(allSteps))
		}
		sc.addDelayedPromises(now, j, class, before)
		for _, r := range j.rounds {
			deadline, usefulUntil := j.limits(r.number)
			limit := deadline.Sub(now) - margin
			if class == admit.Late {
				limit = usefulUntil.Sub(now)
			}
			for n, s := range r.steps {
				if s.isDone() || s.spec.LongRunning {
					continue
				}
				if team != nil {
					addRunsOfTeam(now, team, s)
				}
				if s.waitingTasks == 0 || class == admit.Late && limit <= 0 {
					continue
				}
				seconds := float64(s.waitingTasks) * s.spec.Estimate().Seconds()
				pool.Promise(class, seconds*s.spec.Reservation().Cores(), limit-before[n])
				if team != nil {
					team.Promise(class, seconds*coresWithoutGPUs(s.spec.QuotaUsage()), limit-before[n])
				}
			}
		}
	}
}

// addRunsOfTeam takes the running tasks of the step from the team's timeline.
func addRunsOfTeam(now time.Time, t *admit.Timeline, s *step) {
	if s.runCount == 0 {
		return
	}
	for task := range s.tasks() {
		for _, r := range task.runs {
			t.AddRun(coresWithoutGPUs(s.spec.QuotaUsage()), r.elapsed(now), s.spec.Estimate())
		}
	}
}

// limits returns when a round should be done, and until when it is of use to its client.
func (j *job) limits(round int) (deadline, usefulUntil time.Time) {
	deadline, criticalPath := j.deadline()
	received := time.UnixMilli(cmp.Or(j.spec.FirstReceivedMs, j.spec.AcceptedMs))
	if j.spec.IsTimed() {
		received = j.spec.RoundDue(round)
		deadline = received.Add(criticalPath * timedRoundFactor)
	}
	return deadline, received.Add(maxUsefulFactor * deadline.Sub(received))
}

// timesBefore returns for each step how long the steps after it take. It uses the given slice if that is large enough.
func timesBefore(spec *JobSpec, times []time.Duration) []time.Duration {
	times = append(times[:0], make([]time.Duration, len(spec.Steps))...)
	for n := len(spec.Steps) - 1; n >= 0; n-- {
		step := &spec.Steps[n]
		for _, dependency := range step.DependsOn {
			if dependency >= 0 && dependency < n {
				times[dependency] = max(times[dependency], times[n]+step.Estimate())
			}
		}
	}
	return times
}
