package intake

import (
	"time"

	"mangowing/core/codes"
	"mangowing/core/sched"
)

// Call is a call to a queue.
type Call struct {
	Host     string
	Path     string
	Key      string
	Deadline time.Time // the caller waits no longer; zero if it doesn't say
	Received time.Time
}

// Reply is the answer to a call.
type Reply struct {
	code    codes.Code
	after   time.Duration
	state   sched.JobState
	pending int
}

// Code returns the result, OK if the call had its effect.
func (r Reply) Code() codes.Code { return r.code }

// RetryAfter returns when a refused job may come back, 0 if there is nothing to say.
func (r Reply) RetryAfter() time.Duration { return r.after }

// State returns the job's state.
func (r Reply) State() sched.JobState { return r.state }

// Pending returns how many jobs of the queue no worker has begun.
func (r Reply) Pending() int { return r.pending }

func refuse(code codes.Code, after time.Duration) Reply { return Reply{code: code, after: after} }
