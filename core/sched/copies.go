package sched

import "time"

const (
	// A copy of a task that may run twice is started when its attempt has taken this many times its estimate and a while
	// more.
	copyFactor = 2.0
	copySlack  = 300 * time.Millisecond
)

// startCopies starts a second attempt of tasks that may run more than once at the same time, where the first one is on a
// worker that does not answer, or is overdue and the pool has nothing better to do.
func (m *Machine) startCopies(now time.Time) {
	for _, p := range m.poolOrder {
		var r *room
		for _, t := range m.wantingCopies(now, p) {
			if r == nil {
				r = &room{workers: m.usableWorkers(p.name, now)}
			}
			if !m.underLimit(t.step, 1) || !m.window.open() {
				break
			}
			if w := m.pick(now, t, r); w != nil {
				m.decide(now, "copy-started", t.id().String(), w.id, "the attempt on "+t.runs[0].worker.id+" is silent or overdue")
				m.startOn(t, w, t.attempts+1)
			}
		}
	}
}

// wantingCopies returns the pool's tasks that should have a second attempt.
func (m *Machine) wantingCopies(now time.Time, p *pool) []*task {
	var tasks []*task
	for _, w := range m.byID {
		if w.entry.Pool != p.name {
			continue
		}
		silent := w.silent >= silentCalls || !w.verified && now.Sub(m.begun) > settleTime
		if !silent && len(p.waiting) > 0 {
			continue
		}
		for _, r := range w.order {
			if r.mayBeCopied() && (silent || r.phase == runConfirmed && now.Sub(r.began) > r.copyAfter()) {
				tasks = append(tasks, r.task)
			}
		}
	}
	return tasks
}

// mayBeCopied tells whether the attempt is its task's only one and the task may have another beside it.
func (r *run) mayBeCopied() bool {
	t := r.task
	return r.needs().Speculative && !r.needs().Gang && !r.stopping && !t.done && t.job().live() && len(t.runs) == 1
}

func (r *run) copyAfter() time.Duration {
	return time.Duration(copyFactor*float64(max(r.needs().Estimate(), leastEstimate))) + copySlack
}

// usableWorkers returns the workers of a pool that take new tasks.
func (m *Machine) usableWorkers(pool string, now time.Time) []*worker {
	var workers []*worker
	for _, w := range m.byID {
		if w.entry.Pool == pool && w.usable(now) {
			workers = append(workers, w)
		}
	}
	return workers
}

// stopOthers ends the other attempts of a task that is done.
func (m *Machine) stopOthers(now time.Time, t *task) {
	for _, r := range t.runs {
		if !r.stopping {
			m.stopRun(now, r)
		}
	}
}
