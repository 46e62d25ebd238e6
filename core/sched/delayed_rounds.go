package sched

import (
	"time"

	"mangowing/core/admit"
	"mangowing/core/setup"
)

// dueRounds returns how many rounds of a timed job have become due.
func (s *JobSpec) dueRounds(now time.Time) int {
	elapsed := now.UnixMilli() - s.StartMs
	switch {
	case elapsed < 0:
		return 0
	case s.IntervalMs <= 0:
		return s.RoundCount()
	default:
		return int(min(int64(s.RoundCount()), elapsed/s.IntervalMs+1))
	}
}

// delayedRounds returns how many rounds are due and have not begun.
func (j *job) delayedRounds(now time.Time) int {
	if !j.spec.IsTimed() {
		return 0
	}
	return max(0, j.spec.dueRounds(now)-j.begunRounds)
}

// addDelayed adds the batch tasks of rounds that are due and have not begun to the workload, and returns the cores of their long-running
// tasks.
func addDelayed(l *workload, j *job, rounds int, coresOf func(setup.Resources) float64) (longRunning float64) {
	ends := make([]time.Duration, len(j.spec.Steps))
	for n := range j.spec.Steps {
		spec := &j.spec.Steps[n]
		cores := float64(rounds) * float64(spec.Count) * coresOf(spec.Reservation())
		if spec.LongRunning {
			longRunning += cores
			continue
		}
		wait := spec.waitFor(ends, n)
		ends[n] = wait + spec.Estimate()
		l.add(cores, wait, spec.Estimate())
	}
	return longRunning
}

// addDelayedPromises adds what the rounds of a job need that are due and have not begun, given what timesBefore returned. All are promised by the
// time at which the last one should be done; late ones that are no longer of use to their client promise nothing.
func (sc *Scheduler) addDelayedPromises(now time.Time, j *job, class admit.Class, before []time.Duration) {
	delayed := j.delayedRounds(now)
	if delayed == 0 {
		return
	}
	last := j.begunRounds + delayed - 1
	deadline, usefulUntil := j.limits(last)
	limit := deadline.Sub(now)
	if class == admit.Late {
		limit = usefulUntil.Sub(now)
		if limit <= 0 {
			return
		}
		if j.spec.IntervalMs > 0 {
			delayed = int(min(int64(delayed), limit.Milliseconds()/j.spec.IntervalMs+1))
		}
	}
	pool, team := sc.admission.pools[sc.currentPool(j)], sc.admission.teams[j.spec.Team]
	for n := range j.spec.Steps {
		step := &j.spec.Steps[n]
		if step.LongRunning {
			continue
		}
		seconds := float64(delayed) * float64(step.Count) * step.Estimate().Seconds()
		pool.Promise(class, seconds*step.Reservation().Cores(), limit-before[n])
		if team != nil {
			team.Promise(class, seconds*coresWithoutGPUs(step.QuotaUsage()), limit-before[n])
		}
	}
}
