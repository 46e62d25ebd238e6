package sched

import "time"

const (
	// A speculative task gets a copy when its attempt has run for copyFactor times its estimate plus copySlack.
	copyFactor = 2.0
	copySlack  = 300 * time.Millisecond
)

// startSpeculativeCopies starts a second attempt of speculative tasks, which may run twice at the same time, if the first
// attempt is on a silent worker, or if it is a straggler and no other work waits in the pool.
func (sc *Scheduler) startSpeculativeCopies(now time.Time) {
	for _, p := range sc.poolOrder {
		var pass *placementPass
		for _, t := range sc.tasksToCopy(now, p) {
			if pass == nil {
				pass = &placementPass{pool: p, workers: sc.schedulableWorkers(p.name, now), isCrashing: p.isCrashing(now)}
			}
			if !sc.fitsTeamLimit(t.step, 1) || !sc.startWindow.hasSpace() {
				break
			}
			if w := sc.pickWorker(now, t, pass); w != nil {
				sc.logDecision(now, "copy-started", t.id().String(), w.id, "the attempt on "+t.runs[0].worker.id+" is silent or overdue")
				sc.startOn(t, w, t.attempts+1)
			}
		}
	}
}

// tasksToCopy returns the pool's tasks that should get a second attempt.
func (sc *Scheduler) tasksToCopy(now time.Time, p *pool) []*task {
	var tasks []*task
	for _, w := range sc.workersByID {
		if w.entry.Pool != p.name {
			continue
		}
		silent := w.unanswered >= silentThreshold || !w.verified && now.Sub(sc.ownedSince) > takeoverGracePeriod
		if !silent && len(p.waitingSteps) > 0 {
			continue
		}
		for _, r := range w.runList {
			if r.canBeCopied() && (silent || r.phase == runConfirmed && now.Sub(r.startedAt) > r.copyAfter()) {
				tasks = append(tasks, r.task)
			}
		}
	}
	return tasks
}

// canBeCopied reports whether the run is its task's only one and the task may have a second beside it.
func (r *run) canBeCopied() bool {
	t := r.task
	return r.spec().Speculative && !r.spec().Gang && !r.stopping && !t.done && t.job().isOpen() && len(t.runs) == 1 && !t.crashes.isSuspect()
}

// copyAfter returns how long the run may take before its task gets a copy.
func (r *run) copyAfter() time.Duration {
	return time.Duration(copyFactor*float64(max(r.spec().Estimate(), minEstimate))) + copySlack
}

// schedulableWorkers returns the workers of a pool that take new tasks.
func (sc *Scheduler) schedulableWorkers(pool string, now time.Time) []*worker {
	var workers []*worker
	for _, w := range sc.workersByID {
		if w.entry.Pool == pool && w.isSchedulable(now) {
			workers = append(workers, w)
		}
	}
	return workers
}
