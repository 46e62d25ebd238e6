package sched

import "time"

const (
	// A worker is slow when a task there takes this many times as long as the others of its step, and a while more.
	slowFactor = 2
	slowSlack  = 250 * time.Millisecond
	// So many tasks of a step tell how long the others take.
	minSiblings = 2
	// No more than this share of a pool's workers rest for being slow.
	maxQuarantinedShare = 1.0 / 3
)

// timing is how long the tasks of a step took that ended well.
type durationStats struct {
	sum   time.Duration
	count int
}

// slow tells whether a task that has taken that long is much slower than the others.
func (t durationStats) isSlow(took time.Duration) bool {
	return t.count >= minSiblings && took > slowFactor*t.sum/time.Duration(t.count)+slowSlack
}

// comparable tells whether the attempt should take as long as others of its step, wherever they run.
func (r *run) isComparable() bool {
	spec := r.spec()
	return !spec.LongRunning && !spec.Gang && !spec.RackLocal && spec.DataRack == "" && !spec.Checkpoints && r.phase == runConfirmed && !r.stopping
}

// timeEnd learns from an attempt that ended well whether its worker is slow.
func (sc *Scheduler) recordDuration(now time.Time, r *run) {
	if !r.isComparable() {
		return
	}
	took := now.Sub(r.startedAt)
	if r.task.step.timing.isSlow(took) {
		sc.quarantineSlow(now, r)
		return
	}
	r.task.step.timing.sum += took
	r.task.step.timing.count++
}

// findSlow notes the workers on which tasks take much longer than others of their step.
func (sc *Scheduler) quarantineSlowWorkers(now time.Time) {
	for _, w := range sc.workersByID {
		if !w.listed || !w.verified || w.unanswered > 0 {
			continue
		}
		for _, r := range w.runList {
			if r.isComparable() && r.task.step.timing.isSlow(now.Sub(r.startedAt)) {
				sc.quarantineSlow(now, r)
				break
			}
		}
	}
}

// noteSlow lets the worker of a slow attempt rest, and lets what was begun there lately run elsewhere.
func (sc *Scheduler) quarantineSlow(now time.Time, slow *run) {
	w := slow.worker
	if !now.Before(w.quarantinedUntil) {
		if sc.quarantined(now, w.entry.Pool) {
			return
		}
		sc.logDecision(now, "worker-slow", slow.task.id().String(), w.id, "the others of the step took half as long at the most")
	}
	w.quarantinedUntil, w.lastFaultAt, w.faults = now.Add(quarantineTime), now, max(w.faults, 1)
	for _, r := range w.runList {
		if r.isComparable() && now.Sub(r.startedAt) < r.spec().Estimate()/2 && sc.canRunElsewhere(now, r) {
			r.task.avoidWorker = w.id
			sc.stopRun(now, r)
		}
	}
}

// resting tells whether as many workers of the pool rest as may.
func (sc *Scheduler) quarantined(now time.Time, pool string) bool {
	quarantined, all := 0, 0
	for _, w := range sc.workersByID {
		if w.entry.Pool != pool || !w.listed {
			continue
		}
		all++
		if now.Before(w.quarantinedUntil) {
			quarantined++
		}
	}
	return float64(quarantined+1) > maxQuarantinedShare*float64(all)
}
