package lead

import (
	"time"

	"mangowing/core/codes"
	"mangowing/core/sched"
)

// call is a request of the intake: submitCall, cancelCall, stateCall or pendingCall.
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

// Answer is what the owner says to a call.
type Answer struct {
	code  codes.Code
	after time.Duration
	state sched.JobState
	count int
}

// Refuse returns the answer with that code; a refused job may come back after the time given.
func Refuse(code codes.Code, after time.Duration) Answer { return Answer{code: code, after: after} }

// Code returns the result, OK if the call had its effect.
func (a Answer) Code() codes.Code { return a.code }

// RetryAfter returns when a refused job may come back.
func (a Answer) RetryAfter() time.Duration { return a.after }

// State returns the job's state.
func (a Answer) State() sched.JobState { return a.state }

// Count returns how many jobs wait.
func (a Answer) Count() int { return a.count }

// NewAnswer returns an answer that came from another gate.
func NewAnswer(code codes.Code, after time.Duration, state sched.JobState, count int) Answer {
	return Answer{code, after, state, count}
}
