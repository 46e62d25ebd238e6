package sched

import "time"

// refusalCause is what kept a job from being taken.
type refusalCause uint8

const (
	notRefused          refusalCause = iota
	poolOverloaded                   // the work ahead of it in its pool takes too long
	shareExceeded                    // it is beyond its team's share, and its pool is busy
	teamLimitExceeded                // the work ahead of it in its team takes too long within the team's limit
	schedulerOverloaded              // the owner has no processor time for it
)

// String returns the cause's name.
func (cause refusalCause) String() string {
	return [...]string{"none", "pool-full", "share-used", "limit-used", "owner-busy"}[cause]
}

// Refusal says why a job was not taken and when it may come back; the zero value refuses nothing.
type Refusal struct {
	retryAfter time.Duration
	cause      refusalCause
	workAhead  float64 // core-seconds
	rate       float64 // core-seconds in a second
}

// After returns the time after which the job may come back.
func (r Refusal) RetryAfter() time.Duration { return r.retryAfter }

// Cause names what decided.
func (r Refusal) Cause() string { return r.cause.String() }

// Ahead returns the core-seconds of work that go before the job, 0 if they did not decide.
func (r Refusal) WorkAhead() float64 { return r.workAhead }

// Rate returns the core-seconds of work that are done in a second, 0 if they did not decide.
func (r Refusal) WorkRate() float64 { return r.rate }

// wait returns how long the work ahead takes.
func (r Refusal) waitTime() time.Duration {
	if r.rate <= 0 {
		return 0
	}
	return time.Duration(r.workAhead / r.rate * float64(time.Second))
}

// longer returns the refusal with the longer wait.
func longerWait(a, b Refusal) Refusal {
	if b.waitTime() > a.waitTime() {
		return b
	}
	return a
}
