package sched

import "time"

// refusalCause is the limit that a refused job would have exceeded.
type refusalCause uint8

const (
	notRefused          refusalCause = iota
	poolOverloaded                   // the work ahead in its pool takes too long
	shareExceeded                    // it exceeds its team's rate of new jobs, and its pool is busy
	teamLimitExceeded                // the work ahead of its team takes too long under the team's resource limit
	schedulerOverloaded              // the scheduler process has no CPU time for it
	poolEvacuated                    // all data centres of its pool are evacuated
	tooManyJobs                      // the owner goes through as many open jobs of its team, or of all teams, as it can
	memoryUsedUp                     // the jobs of its team, or of all teams, take too much of the owner's memory
)

// String returns the cause's name, such as "pool-full".
func (c refusalCause) String() string {
	return [...]string{"none", "pool-full", "share-used", "limit-used", "owner-busy", "evacuated", "too-many-jobs", "memory-used"}[c]
}

// Refusal is why a job was refused, and when the client may retry. The zero value is no refusal.
type Refusal struct {
	retryAfter time.Duration
	cause      refusalCause
	workAhead  float64 // core-seconds
	workRate   float64 // core-seconds per second
	expectedIn time.Duration
}

// RetryAfter returns the time after which the client may submit the job again.
func (r Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Cause returns the name of the exceeded limit, "none" for the zero value.
func (r Refusal) Cause() string { return r.cause.String() }

// WorkAhead returns the core-seconds of work ahead of the job, 0 if the refusal doesn't depend on them.
func (r Refusal) WorkAhead() float64 { return r.workAhead }

// WorkRate returns the core-seconds of work that are done per second, 0 if the refusal doesn't depend on them.
func (r Refusal) WorkRate() float64 { return r.workRate }

// ExpectedIn returns when capacity for the job is expected, 0 if the refusal doesn't depend on it.
func (r Refusal) ExpectedIn() time.Duration { return r.expectedIn }

// waitTime returns how long the work ahead takes, 0 if its rate is unknown.
func (r Refusal) waitTime() time.Duration {
	if r.workRate <= 0 {
		return 0
	}
	return time.Duration(r.workAhead / r.workRate * float64(time.Second))
}

func longerWait(a, b Refusal) Refusal {
	if b.waitTime() > a.waitTime() {
		return b
	}
	return a
}
