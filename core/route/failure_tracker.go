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
func (t *FailureTracker) RecordFailure(job, worker string, healthy func(worker string) bool) bool {
	if t.workers == nil {
		t.workers = map[string][]string{}
	}
	t.add(job, worker)
	n := 0
	for _, w := range t.workers[job] {
		if healthy(w) {
			n++
		}
	}
	return n >= t.threshold()
}

func (t *FailureTracker) threshold() int {
	if t.limit > 0 {
		return t.limit
	}
	return defaultFailedWorkers
}

func (t *FailureTracker) add(job, worker string) {
	known, seen := t.workers[job]
	if slices.Contains(known, worker) {
		return
	}
	t.workers[job] = append(known, worker)
	if seen {
		return
	}
	t.order = append(t.order, job)
	if len(t.order) > maxTrackedJobs {
		delete(t.workers, t.order[0])
		t.order = t.order[1:]
	}
}

// HasFailedOn reports whether the job failed on the worker.
func (t *FailureTracker) HasFailedOn(job, worker string) bool {
	return slices.Contains(t.workers[job], worker)
}

// Forget removes the failures of a job that ended.
func (t *FailureTracker) Forget(job string) { delete(t.workers, job) }
