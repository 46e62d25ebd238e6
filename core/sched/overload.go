package sched

import (
	"hash/fnv"
	"time"
)

const (
	// A job is of no use to its caller when it takes this many times its objective.
	maxUsefulFactor = 3
	// A team's jobs beyond its share are refused when the pool's work takes longer than this.
	maxOverShareWait = 700 * time.Millisecond
	// Callers are spread over this time when they come back.
	retryJitterRange = time.Second
	// Cores that a team's limit is taken to leave at least.
	minLimitCores = 0.1
	// A team may hand in this many seconds of its share at once.
	shareBurst = 4 * time.Second
)

// shareMeter tells which of a team's jobs are beyond its share of jobs in a second.
type shareBucket struct {
	tokens     float64
	refilledAt time.Time
}

// take tells whether a job that comes now is within the share.
func (s *shareBucket) takeToken(now time.Time, jobsPerSecond float64) bool {
	burst := jobsPerSecond * shareBurst.Seconds()
	if s.refilledAt.IsZero() {
		s.tokens = burst
	} else {
		s.tokens = min(burst, s.tokens+jobsPerSecond*now.Sub(s.refilledAt).Seconds())
	}
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// beyondShare tells whether the job is more than its team may ask for.
func (sc *Scheduler) exceedsShare(now time.Time, spec *JobSpec) bool {
	t, declared := sc.cfg.Team(spec.Team)
	if !declared || t.Weight <= 0 || spec.IsLongRunning() || spec.IsTimed() {
		return false
	}
	return !sc.ensureTeam(spec.Team).share.takeToken(now, t.Weight)
}

// overloaded tells whether a new job could not be done in any useful time, and why. A job that can be in time goes before
// all late work; any other joins it, and is of use only while all that waits is done soon.
func (sc *Scheduler) checkOverload(spec *JobSpec) (Refusal, bool) {
	if spec.IsLongRunning() || spec.IsTimed() {
		return Refusal{}, false
	}
	jitter := retryJitter(spec.ID)
	if sc.CallLatency() >= exhaustedLatency || spec.OverShare && sc.CallLatency() >= starvedLatency {
		return Refusal{retryAfter: retryJitterRange + jitter, cause: schedulerOverloaded}, true
	}
	d := sc.demand[spec.Pool]
	if d == nil || d.reachableCores <= 0 {
		return Refusal{}, false
	}
	if spec.OverShare {
		r := Refusal{cause: shareExceeded, workAhead: d.total(), rate: d.reachableCores}
		r.retryAfter = r.waitTime() + jitter
		return r, r.waitTime() > maxOverShareWait
	}
	urgent := Refusal{cause: poolOverloaded, workAhead: d.urgent, rate: d.reachableCores}
	all := Refusal{cause: poolOverloaded, workAhead: d.total(), rate: d.reachableCores}
	if sc.CallLatency() >= starvedLatency && sc.throughput.rate > 0 {
		// The owner is what limits all pools together.
		urgent = longerWait(urgent, Refusal{cause: schedulerOverloaded, workAhead: sc.urgentWork(), rate: sc.throughput.rate})
	}
	if limit := sc.limitCores(spec.Team); limit > 0 {
		load := sc.teamLoads[spec.Team]
		urgent = longerWait(urgent, Refusal{cause: teamLimitExceeded, workAhead: load.urgent, rate: limit})
		all = longerWait(all, Refusal{cause: teamLimitExceeded, workAhead: load.total(), rate: limit})
	}
	maxOnTimeWait, maxUsefulWait := allowedWait(spec)
	if urgent.waitTime() <= maxOnTimeWait || max(urgent.waitTime(), all.waitTime()) <= maxUsefulWait {
		return Refusal{}, false
	}
	r := longerWait(urgent, all)
	r.retryAfter = max(urgent.waitTime(), retryJitterRange) + jitter
	return r, true
}

// limitCores returns how many cores the team's limit leaves to work that ends by itself, 0 if there is no limit.
func (sc *Scheduler) limitCores(team string) float64 {
	t, declared := sc.cfg.Team(team)
	if !declared || t.Limit.CPU == 0 {
		return 0
	}
	return max(minLimitCores, coresWithoutGPUs(t.Limit)-sc.teamLoads[team].longRunningCores)
}

// urgentWork returns the core-seconds of all pools that can still be in time.
func (sc *Scheduler) urgentWork() float64 {
	sum := 0.0
	for _, d := range sc.demand {
		sum += d.urgent
	}
	return sum
}

// patience returns how long a job may wait and be in time, and how long it may wait and still be of use to its caller.
func allowedWait(spec *JobSpec) (maxOnTimeWait, maxUsefulWait time.Duration) {
	j := job{spec: spec}
	criticalPath := j.criticalPath(allSteps)
	timeLimit := time.Duration(spec.Slack*float64(criticalPath)) + time.Duration(spec.TargetMs)*time.Millisecond
	return timeLimit - criticalPath, maxUsefulFactor*timeLimit - criticalPath
}

// spreadOf returns a time that differs from job to job.
func retryJitter(id string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return time.Duration(h.Sum32()%uint32(retryJitterRange/time.Millisecond)) * time.Millisecond
}
