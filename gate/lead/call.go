package lead

import (
	"time"

	"mangowing/core/codes"
	"mangowing/core/sched"
)

// call is a request from the intake: submitCall, cancelCall, stateCall or pendingCall.
type call interface {
	call()
}

type submitCall struct {
	spec  sched.JobSpec
	reply chan<- Answer
}

type cancelCall struct {
	id    string
	reply chan<- Answer
}

type stateCall struct {
	id    string
	reply chan<- Answer
}

type pendingCall struct {
	queue string
	reply chan<- Answer
}

func (submitCall) call()  {}
func (cancelCall) call()  {}
func (stateCall) call()   {}
func (pendingCall) call() {}

// Answer is the owner's answer to a call.
type Answer struct {
	code       codes.Code
	retryAfter time.Duration
	state      sched.JobState
	count      int
}

// NewRefusal returns an answer with the given code. A refused job may be submitted again after retryAfter.
func NewRefusal(code codes.Code, retryAfter time.Duration) Answer {
	return Answer{code: code, retryAfter: retryAfter}
}

// Code returns the result, OK if the call took effect.
func (a Answer) Code() codes.Code { return a.code }

// RetryAfter returns after which time a refused job may be submitted again.
func (a Answer) RetryAfter() time.Duration { return a.retryAfter }

// State returns the job's state, in the answer to Service.State.
func (a Answer) State() sched.JobState { return a.state }

// Count returns the number of jobs that have not been started, in the answer to Service.Pending.
func (a Answer) Count() int { return a.count }

// NewAnswer returns an answer that was received from another gate.
func NewAnswer(code codes.Code, retryAfter time.Duration, state sched.JobState, count int) Answer {
	return Answer{code, retryAfter, state, count}
}
