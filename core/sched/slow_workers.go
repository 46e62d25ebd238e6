package sched

import "time"

const (
	// A worker is slow if a task takes more than slowFactor times the mean duration of its step's other tasks plus slowSlack.
	slowFactor = 2
	slowSlack  = 250 * time.Millisecond
	// The mean is used once this many tasks of the step have succeeded.
	minDurationSamples = 2
	// No worker is quarantined as slow if more than this share of its pool's workers would be in quarantine.
	maxQuarantinedShare = 1.0 / 3
)

// durationStats sums up the durations of a step's successful tasks.
type durationStats struct {
	sum   time.Duration
	count int
}

// isSlow reports whether a task that has taken that long is much slower than the others of its step.
func (d durationStats) isSlow(took time.Duration) bool {
	return d.count >= minDurationSamples && took > slowFactor*d.sum/time.Duration(d.count)+slowSlack
}

// isComparable reports whether the run should take as long as others of its step on any worker. That does not hold for
// tasks whose duration depends on the distance to data or to each other, or on a checkpoint.
func (r *run) isComparable() bool {
	spec := r.spec()
	return !spec.LongRunning && !spec.Gang && !spec.RackLocal && spec.DataRack == "" && !spec.Checkpoints && r.phase == runConfirmed && !r.stopping
}

// recordDuration adds the duration of a successful run to its step's, or quarantines the worker if the run was slow.
func (sc *Scheduler) recordDuration(now time.Time, r *run) {
	if !r.isComparable() {
		return
	}
	took := now.Sub(r.startedAt)
	if r.task.step.durations.isSlow(took) {
		sc.quarantineSlow(now, r)
		return
	}
	r.task.step.durations.sum += took
	r.task.step.durations.count++
}

// quarantineSlowWorkers quarantines the workers on which a task has run much longer than others of its step took.
func (sc *Scheduler) quarantineSlowWorkers(now time.Time) {
	for _, w := range sc.workersByID {
		if !w.listed || !w.verified || w.unanswered > 0 {
			continue
		}
		for _, r := range w.runList {
			if r.isComparable() && r.task.step.durations.isSlow(now.Sub(r.startedAt)) {
				sc.quarantineSlow(now, r)
				break
			}
		}
	}
}

// quarantineSlow quarantines the worker of a slow run, and stops the runs there that are in the first half of their
// estimated duration, so that they start again elsewhere.
func (sc *Scheduler) quarantineSlow(now time.Time, slowRun *run) {
	w := slowRun.worker
	if !now.Before(w.quarantinedUntil) {
		if sc.isQuarantineFull(now, w.entry.Pool) {
			return
		}
		sc.logDecision(now, "worker-slow", slowRun.task.id().String(), w.id, "the others of the step took half as long at the most")
	}
	w.quarantinedUntil, w.lastFaultAt, w.faults = now.Add(quarantineTime), now, max(w.faults, 1)
	for _, r := range w.runList {
		if r.isComparable() && now.Sub(r.startedAt) < r.spec().Estimate()/2 && sc.canRunElsewhere(now, r) {
			r.task.avoidWorker = w.id
			sc.stopRun(now, r)
		}
	}
}

// isQuarantineFull reports whether one more worker in quarantine would exceed the pool's maximum.
func (sc *Scheduler) isQuarantineFull(now time.Time, pool string) bool {
	quarantined, total := 0, 0
	for _, w := range sc.workersByID {
		if w.entry.Pool != pool || !w.listed {
			continue
		}
		total++
		if now.Before(w.quarantinedUntil) {
			quarantined++
		}
	}
	return float64(quarantined+1) > maxQuarantinedShare*float64(total)
}
