package sched

import "time"

const (
	// A worker is slow when a task there takes this many times as long as the others of its step, and a while more.
	slowFactor = 2
	slowSlack  = 250 * time.Millisecond
	// So many tasks of a step tell how long the others take.
	slowSiblings = 2
	// No more than this share of a pool's workers rest for being slow.
	mostSlow = 1.0 / 3
)

// timing is how long the tasks of a step took that ended well.
type timing struct {
	sum   time.Duration
	count int
}

// slow tells whether a task that has taken that long is much slower than the others.
func (t timing) slow(took time.Duration) bool {
	return t.count >= slowSiblings && took > slowFactor*t.sum/time.Duration(t.count)+slowSlack
}

// comparable tells whether the attempt should take as long as others of its step, wherever they run.
func (r *run) comparable() bool {
	spec := r.spec()
	return !spec.LongRunning && !spec.Gang && !spec.RackLocal && spec.DataRack == "" && !spec.Checkpoints && r.phase == runConfirmed && !r.stopping
}

// timeEnd learns from an attempt that ended well whether its worker is slow.
func (sc *Scheduler) timeEnd(now time.Time, r *run) {
	if !r.comparable() {
		return
	}
	took := now.Sub(r.startedAt)
	if r.task.step.timing.slow(took) {
		sc.noteSlow(now, r)
		return
	}
	r.task.step.timing.sum += took
	r.task.step.timing.count++
}

// findSlow notes the workers on which tasks take much longer than others of their step.
func (sc *Scheduler) findSlow(now time.Time) {
	for _, w := range sc.workersByID {
		if !w.listed || !w.verified || w.silent > 0 {
			continue
		}
		for _, r := range w.order {
			if r.comparable() && r.task.step.timing.slow(now.Sub(r.startedAt)) {
				sc.noteSlow(now, r)
				break
			}
		}
	}
}

// noteSlow lets the worker of a slow attempt rest, and lets what was begun there lately run elsewhere.
func (sc *Scheduler) noteSlow(now time.Time, slow *run) {
	w := slow.worker
	if !now.Before(w.rest) {
		if sc.resting(now, w.entry.Pool) {
			return
		}
		sc.decide(now, "worker-slow", slow.task.id().String(), w.id, "the others of the step took half as long at the most")
	}
	w.rest, w.faulted, w.faults = now.Add(restTime), now, max(w.faults, 1)
	for _, r := range w.order {
		if r.comparable() && now.Sub(r.startedAt) < r.spec().Estimate()/2 && sc.canRunElsewhere(now, r) {
			r.task.avoidWorker = w.id
			sc.stopRun(now, r)
		}
	}
}

// resting tells whether as many workers of the pool rest as may.
func (sc *Scheduler) resting(now time.Time, pool string) bool {
	resting, all := 0, 0
	for _, w := range sc.workersByID {
		if w.entry.Pool != pool || !w.listed {
			continue
		}
		all++
		if now.Before(w.rest) {
			resting++
		}
	}
	return float64(resting+1) > mostSlow*float64(all)
}
