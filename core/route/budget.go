package route

import "time"

const (
	firstJobDelay   = time.Second
	longestJobDelay = time.Minute

	defaultRetryPercent = 10
	initialRetries      = 3
	mostRetries         = 20 // that may be saved up for a burst
)

// RetryBudget limits retries to a part of the first tries; the zero value allows one in ten.
type RetryBudget struct {
	percent int
	saved   int // in hundredths of a retry
	started bool
}

// NewRetryBudget returns a budget of the given retries per hundred first tries.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{percent: percent, started: true, saved: 100 * initialRetries}
}

func (b *RetryBudget) prepare() {
	if !b.started {
		*b = *NewRetryBudget(defaultRetryPercent)
	}
}

// Deposit counts one first try.
func (b *RetryBudget) Deposit() {
	b.prepare()
	b.saved = min(b.saved+b.percent, 100*mostRetries)
}

// TryWithdraw takes one retry; it tells whether there was one.
func (b *RetryBudget) TryWithdraw() bool {
	b.prepare()
	if b.saved < 100 {
		return false
	}
	b.saved -= 100
	return true
}

// JobRetryDelay returns how long a job waits after its given number of failures before it asks the budget for another try.
func JobRetryDelay(failures int) time.Duration {
	return doubled(firstJobDelay, longestJobDelay, max(failures-1, 0))
}
