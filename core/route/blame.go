package route

import "slices"

const (
	defaultBlameWorkers = 3
	mostBlamedJobs      = 10_000
)

// FailureTracker counts on how many distinct workers a job failed; the zero value blames the job after three.
type FailureTracker struct {
	limit   int
	workers map[string][]string // by job
	order   []string            // jobs, oldest first; forgotten ones may be in it
}

// NewFailureTracker returns a count that blames the job after failures on the given number of distinct healthy workers.
func NewFailureTracker(workers int) *FailureTracker { return &FailureTracker{limit: workers} }

// RecordFailure notes a failure and tells whether the job failed on enough workers that are still healthy.
func (b *FailureTracker) RecordFailure(job, worker string, healthy func(worker string) bool) bool {
	if b.workers == nil {
		b.workers = map[string][]string{}
	}
	b.note(job, worker)
	n := 0
	for _, w := range b.workers[job] {
		if healthy(w) {
			n++
		}
	}
	return n >= b.least()
}

func (b *FailureTracker) least() int {
	if b.limit > 0 {
		return b.limit
	}
	return defaultBlameWorkers
}

func (b *FailureTracker) note(job, worker string) {
	known, seen := b.workers[job]
	if slices.Contains(known, worker) {
		return
	}
	b.workers[job] = append(known, worker)
	if seen {
		return
	}
	b.order = append(b.order, job)
	if len(b.order) > mostBlamedJobs {
		delete(b.workers, b.order[0])
		b.order = b.order[1:]
	}
}

// HasFailedOn tells whether the job failed on the worker.
func (b *FailureTracker) HasFailedOn(job, worker string) bool {
	return slices.Contains(b.workers[job], worker)
}

// Forget drops what is known about a job that ended.
func (b *FailureTracker) Forget(job string) { delete(b.workers, job) }
