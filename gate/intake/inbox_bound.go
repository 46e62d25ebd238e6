package intake

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"mangowing/core/admit"
	"mangowing/core/sched"
)

const (
	// A gate asks for the allowances with a call to the owner when they are older than this.
	allowanceRefreshTime = time.Second
	// Older allowances are not used: machines have moved by then.
	maxAllowanceAge = 30 * time.Second
	// Refused callers return spread over this time.
	inboxRetrySpread = time.Second
	// Callers give up after some seconds, and a new owner may be there by then.
	maxInboxRetry = 3 * time.Second
	// In core-seconds: the owner spends time on each task, however short it is.
	minTaskCost = 1.0
)

// Names of the inbox's metrics. docs/OPERATIONS.md lists their units and meanings.
const (
	metricInboxRefused   = "mangowing_inbox_refused_total"
	metricInboxAllowance = "mangowing_inbox_allowance"
)

// inboxBound bounds what this gate stores in the inbox, by pool. Its methods do nothing on nil, which is no bound.
type inboxBound struct {
	mu         sync.Mutex
	allowances map[string]admit.Allowance
	receivedAt time.Time
	buckets    map[string]*admit.Bucket
}

// isDue reports whether the owner should be asked for the allowances.
func (b *inboxBound) isDue(now time.Time) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.receivedAt) >= allowanceRefreshTime
}

// update sets the allowances by pool as the owner has answered them. Owners that know of none yet answer none, which changes nothing.
func (b *inboxBound) update(now time.Time, allowances map[string]admit.Allowance) {
	if b == nil || len(allowances) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowances, b.receivedAt = allowances, now
	for pool, a := range allowances {
		metrics.GetOrCreateGauge(fmt.Sprintf("%s{pool=%q}", metricInboxAllowance, pool), nil).Set(a.Rate)
	}
}

// take counts the job against the allowance of its pool. If that is used up, it returns after what time the caller may retry.
func (b *inboxBound) take(now time.Time, spec *sched.JobSpec) (retryAfter time.Duration, taken bool) {
	if b == nil {
		return 0, true
	}
	tasks, coreSeconds := spec.Work()
	cost := max(coreSeconds, float64(tasks)*minTaskCost)
	b.mu.Lock()
	defer b.mu.Unlock()
	a, known := b.allowances[spec.Pool]
	if !known || now.Sub(b.receivedAt) > maxAllowanceAge {
		a = admit.DefaultAllowance
	}
	bucket := b.buckets[spec.Pool]
	if bucket == nil {
		if b.buckets == nil {
			b.buckets = map[string]*admit.Bucket{}
		}
		bucket = &admit.Bucket{}
		b.buckets[spec.Pool] = bucket
	}
	wait, taken := bucket.Take(now, a, cost)
	if taken {
		return 0, true
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("%s{pool=%q}", metricInboxRefused, spec.Pool)).Inc()
	return min(maxInboxRetry, wait) + rand.N(inboxRetrySpread), false
}
