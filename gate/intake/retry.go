package intake

import (
	"time"

	"github.com/cenkalti/backoff/v5"

	"mangowing/core/codes"
)

const (
	retryPause = 60 * time.Millisecond
	// Longest pause before the owner is called again after calls that it did not answer.
	maxRetryPause = 500 * time.Millisecond
)

// retryPauses returns the pauses between the calls of the owner for one request. They grow with each call that gets no answer: the
// owner may be short of CPU time, and each repeated call costs it more.
type retryPauses struct {
	unanswered *backoff.ExponentialBackOff
}

func newRetryPauses() retryPauses {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = 2*retryPause, maxRetryPause
	return retryPauses{b}
}

// after returns the pause after a call with the given result.
func (p retryPauses) after(code codes.Code) time.Duration {
	if code == codes.JobUnsettled {
		return p.unanswered.NextBackOff()
	}
	return retryPause
}
