package sched

import (
	"hash/fnv"
	"time"
)

const (
	// A job that takes longer than this many times the time to its deadline is useless to its client.
	maxUsefulFactor = 3
	// Jobs over their team's share are refused when the work of the pool takes longer than this.
	maxOverShareWait = 700 * time.Millisecond
	// Retries are spread over this time, so that refused clients don't all return at once.
	retryJitterRange = time.Second
	// Lower bound for the cores that a team's limit leaves beside its long-running tasks.
	minLimitCores = 0.1
	// Burst of a team's jobs, in seconds of its share.
	shareBurst = 4 * time.Second
)

// shareBucket is a token bucket for a team's rate of new jobs.
type shareBucket struct {
	tokens     float64
	refilledAt time.Time
}

// takeToken refills the bucket at the given rate, and reports whether a token was left for a new job. Jobs from the inbox come with
// earlier times than those submitted before them: they find the tokens of the last refill.
func (s *shareBucket) takeToken(now time.Time, jobsPerSecond float64) bool {
	burst := jobsPerSecond * shareBurst.Seconds()
	switch {
	case s.refilledAt.IsZero():
		s.tokens, s.refilledAt = burst, now
	case now.After(s.refilledAt):
		s.tokens, s.refilledAt = min(burst, s.tokens+jobsPerSecond*now.Sub(s.refilledAt).Seconds()), now
	}
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// exceedsShare reports whether the job exceeds its team's rate of new jobs, which is the team's weight per second.
func (sc *Scheduler) exceedsShare(now time.Time, spec *JobSpec) bool {
	t, declared := sc.cfg.Team(spec.Team)
	if !declared || t.Weight <= 0 || spec.IsLongRunning() || spec.IsTimed() {
		return false
	}
	return !sc.ensureTeam(spec.Team).share.takeToken(now, t.Weight)
}

// checkOverload reports whether a new job must be refused because it couldn't be done in useful time, and why. A job that can
// meet its deadline waits only for the urgent work; any other waits for the late work too, and is still accepted if all of it
// is done soon enough.
func (sc *Scheduler) checkOverload(spec *JobSpec) (Refusal, bool) {
	if spec.IsLongRunning() || spec.IsTimed() {
		return Refusal{}, false
	}
	jitter := retryJitter(spec.ID)
	if sc.CallLatency() >= exhaustedLatency || spec.OverShare && sc.CallLatency() >= starvedLatency {
		return Refusal{retryAfter: retryJitterRange + jitter, cause: schedulerOverloaded}, true
	}
	demand := sc.demand[spec.Pool]
	if demand == nil || demand.reachableCores <= 0 {
		return Refusal{}, false
	}
	if spec.OverShare {
		r := Refusal{cause: shareExceeded, workAhead: demand.allWithin(planningHorizon), workRate: demand.reachableCores}
		r.retryAfter = r.waitTime() + jitter
		return r, r.waitTime() > maxOverShareWait
	}
	maxOnTimeWait, maxUsefulWait := allowedWait(spec)
	urgent := Refusal{cause: poolOverloaded, workAhead: demand.urgent.within(maxOnTimeWait), workRate: demand.reachableCores}
	all := Refusal{cause: poolOverloaded, workAhead: demand.allWithin(maxUsefulWait), workRate: demand.reachableCores}
	if sc.CallLatency() >= starvedLatency && sc.throughput.rate > 0 {
		// The scheduler itself is the bottleneck of all pools together.
		urgent = longerWait(urgent, Refusal{cause: schedulerOverloaded, workAhead: sc.urgentWork(maxOnTimeWait), workRate: sc.throughput.rate})
	}
	if load, limit := sc.teamLoads[spec.Team], sc.limitCores(spec.Team); load != nil && limit > 0 {
		urgent = longerWait(urgent, Refusal{cause: teamLimitExceeded, workAhead: load.urgent.within(maxOnTimeWait), workRate: limit})
		all = longerWait(all, Refusal{cause: teamLimitExceeded, workAhead: load.allWithin(maxUsefulWait), workRate: limit})
	}
	if urgent.waitTime() <= maxOnTimeWait || max(urgent.waitTime(), all.waitTime()) <= maxUsefulWait {
		return Refusal{}, false
	}
	r := longerWait(urgent, all)
	r.retryAfter = max(urgent.waitTime(), retryJitterRange) + jitter
	return r, true
}

// limitCores returns how many cores the team's limit leaves for work that isn't long-running, 0 if there is no limit.
func (sc *Scheduler) limitCores(team string) float64 {
	t, declared := sc.cfg.Team(team)
	if !declared || t.Limit.CPU == 0 {
		return 0
	}
	longRunning := 0.0
	if load := sc.teamLoads[team]; load != nil {
		longRunning = load.longRunningCores
	}
	return max(minLimitCores, coresWithoutGPUs(t.Limit)-longRunning)
}

// urgentWork returns the core-seconds of work in all pools that can still meet its deadline and can be done within the given time.
func (sc *Scheduler) urgentWork(d time.Duration) float64 {
	sum := 0.0
	for _, p := range sc.demand {
		sum += p.urgent.within(d)
	}
	return sum
}

// allowedWait returns how long a job may wait and still meet its deadline, and how long it may wait and still be useful.
func allowedWait(spec *JobSpec) (maxOnTimeWait, maxUsefulWait time.Duration) {
	j := job{spec: spec}
	criticalPath := j.criticalPath(allSteps)
	timeLimit := time.Duration(spec.Slack*float64(criticalPath)) + time.Duration(spec.TargetMs)*time.Millisecond
	return timeLimit - criticalPath, maxUsefulFactor*timeLimit - criticalPath
}

// retryJitter returns a delay below retryJitterRange that depends on the job's id only.
func retryJitter(id string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return time.Duration(h.Sum32()%uint32(retryJitterRange/time.Millisecond)) * time.Millisecond
}
