package sched

import (
	"time"

	"mangowing/core/admit"
)

// longestExpectation bounds how far ahead a refused client is told that capacity is expected. Clients give up after about three seconds,
// and the retries are spread over one of them.
const longestExpectation = 2 * time.Second

// checkAdmission reports whether a new job must be refused, and why.
func (sc *Scheduler) checkAdmission(now time.Time, spec *JobSpec) (Refusal, bool) {
	if !sc.options.AdmissionTimeline {
		return sc.checkOverload(spec)
	}
	r, offer := sc.checkTimeline(now, spec)
	refused := offer == admit.Refused
	sc.counters.offers[offer][r.cause]++
	if spec.OverShare || spec.IsLongRunning() || spec.IsTimed() {
		return r, refused
	}
	if !sc.isRetryOfRefused(spec.ID) {
		sc.measureTeam(now, spec)
	}
	if refused {
		sc.recordRefusedWork(now, spec, r.cause)
	}
	return r, refused
}

// checkTimeline returns what a new job is offered by the timelines of its pool and of its team's resource limit, and why if it is refused.
// The capacity that an accepted job needs is promised to it at once.
func (sc *Scheduler) checkTimeline(now time.Time, spec *JobSpec) (Refusal, admit.Offer) {
	if spec.IsLongRunning() || spec.IsTimed() {
		return Refusal{}, admit.OfferedInTime
	}
	if r, refused := sc.checkStrain(spec); refused {
		return r, admit.Refused
	}
	pool := sc.admission.pools[spec.Pool]
	if pool == nil || !sc.hasCapacity(spec.Pool) {
		return Refusal{}, admit.OfferedInTime
	}
	job := admissionJob(now, spec, func(s *StepSpec) float64 { return s.Reservation().Cores() })
	offer := pool.Offer(job)
	team, teamJob := sc.teamTimeline(spec.Team), admit.Job{}
	if team != nil && offer != admit.Refused {
		teamJob = admissionJob(now, spec, func(s *StepSpec) float64 { return coresWithoutGPUs(s.QuotaUsage()) })
		if limited := team.Offer(teamJob); limited != admit.OfferedInTime {
			offer = limited
		}
	}
	switch {
	case offer != admit.Refused:
		pool.Accept(job, offer)
		if team != nil {
			team.Accept(teamJob, offer)
		}
		return Refusal{}, offer
	case spec.OverShare:
		return newTimelineRefusal(spec, pool, job, shareExceeded), admit.Refused
	case team != nil && pool.Offer(job) != admit.Refused:
		return newTimelineRefusal(spec, team, teamJob, teamLimitExceeded), admit.Refused
	default:
		return newTimelineRefusal(spec, pool, job, poolOverloaded), admit.Refused
	}
}

// hasCapacity reports whether the pool has workers that have answered or can get machines. One that has neither accepts everything: its
// workers may be about to be listed.
func (sc *Scheduler) hasCapacity(pool string) bool {
	if d := sc.demand[pool]; d != nil {
		return d.reachableCores > 0
	}
	return sc.demand == nil && sc.admission.pools[pool].HasCores()
}

// checkStrain refuses jobs that the scheduler process has no CPU time for.
func (sc *Scheduler) checkStrain(spec *JobSpec) (Refusal, bool) {
	strain := sc.CallLatency()
	if strain >= exhaustedLatency || spec.OverShare && strain >= starvedLatency {
		return Refusal{retryAfter: retryJitterRange + retryJitter(spec.ID), cause: schedulerOverloaded}, true
	}
	if strain < starvedLatency || sc.throughput.rate <= 0 {
		return Refusal{}, false
	}
	maxOnTimeWait, maxUsefulWait := allowedWait(spec)
	r := Refusal{cause: schedulerOverloaded, workAhead: sc.urgentWork(maxOnTimeWait), workRate: sc.throughput.rate}
	r.retryAfter = max(r.waitTime(), retryJitterRange) + retryJitter(spec.ID)
	return r, r.waitTime() > max(maxOnTimeWait, maxUsefulWait)
}

// newTimelineRefusal returns the refusal of a job that the timeline can't promise anything to. The client should come back when the job
// is expected to fit by its deadline; the spread of the answers keeps clients from coming back together.
func newTimelineRefusal(spec *JobSpec, t *admit.Timeline, job admit.Job, cause refusalCause) Refusal {
	expected, found := t.ExpectedIn(job, longestExpectation)
	if !found {
		expected = longestExpectation
	}
	return Refusal{
		retryAfter: expected + retryJitter(spec.ID), expectedIn: expected, cause: cause,
		workAhead: t.Promised(admit.InTime), workRate: t.CoresAt(0),
	}
}

// isRetryOfRefused reports whether the job was refused lately although its team's share allowed it. Its first submission took a token of
// the share, so that its retries take none; if a refusal gave the token back, all submissions of a hot team would count as within its share.
func (sc *Scheduler) isRetryOfRefused(id string) bool {
	_, found := sc.admission.refused[id]
	return found
}

// measureTeam records the work of a new job as an arrival of its team if that has a resource limit.
func (sc *Scheduler) measureTeam(now time.Time, spec *JobSpec) {
	if sc.limitCores(spec.Team) == 0 {
		return
	}
	if sc.admission.arrivals == nil {
		sc.admission.arrivals = map[string]*arrivalMeter{}
	}
	meter := sc.admission.arrivals[spec.Team]
	if meter == nil {
		meter = &arrivalMeter{}
		sc.admission.arrivals[spec.Team] = meter
	}
	_, coreSeconds := spec.Work()
	meter.add(now, coreSeconds)
}

// recordRefusedWork records the work of a job that its pool had no room for as an arrival there, so that machines are moved for demand
// that isn't accepted yet. Its retries are not recorded again.
func (sc *Scheduler) recordRefusedWork(now time.Time, spec *JobSpec, cause refusalCause) {
	if sc.isRetryOfRefused(spec.ID) {
		return
	}
	if sc.admission.refused == nil {
		sc.admission.refused = map[string]refusedJob{}
	}
	sc.admission.refused[spec.ID] = refusedJob{now, cause == poolOverloaded}
	if cause == poolOverloaded {
		sc.surges.recordArrival(now, spec.Pool, spec.nearWork())
	}
}

// admissionJob returns what a new job asks for, given the cores that a task of a step takes. Its gate may have looked for an owner for
// seconds since it received the job.
func admissionJob(now time.Time, spec *JobSpec, coresOf func(*StepSpec) float64) admit.Job {
	maxOnTimeWait, maxUsefulWait := allowedWait(spec)
	criticalPath := (&job{spec: spec}).criticalPath(allSteps)
	a := admit.Job{Deadline: maxOnTimeWait + criticalPath, UsefulFor: maxUsefulWait + criticalPath, OverShare: spec.OverShare}
	if spec.FirstReceivedMs != 0 {
		waited := max(0, now.Sub(time.UnixMilli(spec.FirstReceivedMs)))
		a.Deadline, a.UsefulFor = a.Deadline-waited, a.UsefulFor-waited
	}
	if !spec.OverShare {
		a.Deadline -= startMargin(spec, criticalPath)
	}
	before := timesBefore(spec, nil)
	ends := make([]time.Duration, len(spec.Steps))
	for n := range spec.Steps {
		step := &spec.Steps[n]
		after := step.waitFor(ends, n)
		ends[n] = after + step.Estimate()
		a.Steps = append(a.Steps, admit.Step{
			Cores: float64(step.Count) * coresOf(step), Estimate: step.Estimate(), After: after, Before: before[n],
		})
	}
	return a
}
