package route

import "time"

const (
	firstJobDelay   = time.Second
	longestJobDelay = time.Minute

	defaultRetryPercent = 10
	initialRetries      = 3
	mostRetries         = 20 // that may be saved up for a burst
)

// Budget limits retries to a part of the first tries; the zero value allows one in ten.
type Budget struct {
	percent int
	saved   int // in hundredths of a retry
	started bool
}

// NewBudget returns a budget of the given retries per hundred first tries.
func NewBudget(percent int) *Budget {
	return &Budget{percent: percent, started: true, saved: 100 * initialRetries}
}

func (b *Budget) prepare() {
	if !b.started {
		*b = *NewBudget(defaultRetryPercent)
	}
}

// Deposit counts one first try.
func (b *Budget) Deposit() {
	b.prepare()
	b.saved = min(b.saved+b.percent, 100*mostRetries)
}

// Withdraw takes one retry; it tells whether there was one.
func (b *Budget) Withdraw() bool {
	b.prepare()
	if b.saved < 100 {
		return false
	}
	b.saved -= 100
	return true
}

// JobDelay returns how long a job waits after its given number of failures before it asks the budget for another try.
func JobDelay(failures int) time.Duration {
	return doubled(firstJobDelay, longestJobDelay, max(failures-1, 0))
}
