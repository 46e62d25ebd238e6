package route

import "time"

const (
	minJobDelay = time.Second
	maxJobDelay = time.Minute

	defaultRetryPercent = 10
	initialRetries      = 3
	maxSavedRetries     = 20 // upper bound on a burst of retries
)

// RetryBudget limits retries to a percentage of the first attempts. The zero value allows one retry for ten attempts.
type RetryBudget struct {
	percent         int
	savedHundredths int // hundredths of a retry
	isInitialized   bool
}

// NewRetryBudget returns a budget of the given number of retries per hundred first attempts.
func NewRetryBudget(percent int) *RetryBudget {
	return &RetryBudget{percent: percent, isInitialized: true, savedHundredths: 100 * initialRetries}
}

func (b *RetryBudget) initialize() {
	if !b.isInitialized {
		*b = *NewRetryBudget(defaultRetryPercent)
	}
}

// Deposit records one first attempt.
func (b *RetryBudget) Deposit() {
	b.initialize()
	b.savedHundredths = min(b.savedHundredths+b.percent, 100*maxSavedRetries)
}

// TryWithdraw takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) TryWithdraw() bool {
	b.initialize()
	if b.savedHundredths < 100 {
		return false
	}
	b.savedHundredths -= 100
	return true
}

// JobRetryDelay returns how long a job waits after the given number of failures before it asks the budget for a retry.
func JobRetryDelay(failures int) time.Duration {
	return exponentialBackoff(minJobDelay, maxJobDelay, max(failures-1, 0))
}
