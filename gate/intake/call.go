package intake

import (
	"time"

	"mangowing/core/codes"
	"mangowing/core/sched"
)

// Call is a caller's request to a queue or to one of its jobs.
type Call struct {
	Host     string
	Path     string
	Key      string
	Deadline time.Time // until when the caller waits, zero if unknown
	Received time.Time
}

// Reply is the answer to a Call.
type Reply struct {
	code       codes.Code
	retryAfter time.Duration
	state      sched.JobState
	pending    int
}

// Code returns the result, OK if the call succeeded.
func (r Reply) Code() codes.Code { return r.code }

// RetryAfter returns how long a refused caller should wait before it retries, 0 if unknown.
func (r Reply) RetryAfter() time.Duration { return r.retryAfter }

// State returns the job's state.
func (r Reply) State() sched.JobState { return r.state }

// Pending returns how many of the queue's jobs no worker has started.
func (r Reply) Pending() int { return r.pending }

func newRefusal(code codes.Code, retryAfter time.Duration) Reply {
	return Reply{code: code, retryAfter: retryAfter}
}
