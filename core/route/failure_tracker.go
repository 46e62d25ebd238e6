package route

import "slices"

const (
	defaultFailedWorkers = 3
	maxTrackedJobs       = 10_000
)

// FailureTracker counts on how many distinct workers each job failed, to tell a faulty job from a faulty worker. The zero
// value blames the job after failures on three workers.
type FailureTracker struct {
	limit   int
	workers map[string][]string // by job
	order   []string            // jobs, oldest first; may include forgotten ones
}

// NewFailureTracker returns a tracker that blames a job after failures on the given number of distinct healthy workers.
func NewFailureTracker(workers int) *FailureTracker { return &FailureTracker{limit: workers} }

// RecordFailure records a failure and reports whether the job is to blame: it failed on enough workers that are still
// healthy.
func (b *FailureTracker) RecordFailure(job, worker string, healthy func(worker string) bool) bool {
	if b.workers == nil {
		b.workers = map[string][]string{}
	}
	b.add(job, worker)
	n := 0
	for _, w := range b.workers[job] {
		if healthy(w) {
			n++
		}
	}
	return n >= b.threshold()
}

func (b *FailureTracker) threshold() int {
	if b.limit > 0 {
		return b.limit
	}
	return defaultFailedWorkers
}

func (b *FailureTracker) add(job, worker string) {
	known, seen := b.workers[job]
	if slices.Contains(known, worker) {
		return
	}
	b.workers[job] = append(known, worker)
	if seen {
		return
	}
	b.order = append(b.order, job)
	if len(b.order) > maxTrackedJobs {
		delete(b.workers, b.order[0])
		b.order = b.order[1:]
	}
}

// HasFailedOn reports whether the job failed on the worker.
func (b *FailureTracker) HasFailedOn(job, worker string) bool {
	return slices.Contains(b.workers[job], worker)
}

// Forget removes the failures of a job that ended.
func (b *FailureTracker) Forget(job string) { delete(b.workers, job) }
