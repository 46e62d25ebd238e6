package guard

import (
	"sync"
	"time"
)

// MinBurst is how many requests a key may make at once however low its rate, since callers with few requests send some of them together.
const MinBurst = 20

// Rates bounds how many requests a second each key may make, with a burst of one second and at least MinBurst requests. The zero value is ready. Safe for concurrent use.
type Rates struct {
	mu      sync.Mutex
	buckets map[string]bucket
}

type bucket struct {
	tokens  float64
	updated time.Time
}

// maxBuckets bounds the memory for keys that are no longer in use. Beyond it all keys begin with a full burst again.
const maxBuckets = 10_000

// Allow reports whether the key may make a request now, and counts it if so. A rate of 0 means no limit.
func (r *Rates) Allow(key string, perSecond float64, now time.Time) bool {
	if perSecond <= 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.buckets == nil || len(r.buckets) >= maxBuckets {
		r.buckets = map[string]bucket{}
	}
	burst := max(MinBurst, perSecond)
	b, found := r.buckets[key]
	if !found {
		b = bucket{burst, now}
	}
	b.tokens = min(burst, b.tokens+now.Sub(b.updated).Seconds()*perSecond)
	b.updated = now
	allowed := b.tokens >= 1
	if allowed {
		b.tokens--
	}
	r.buckets[key] = b
	return allowed
}
