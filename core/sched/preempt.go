package sched

import (
	"cmp"
	"slices"
	"time"

	"mangowing/core/setup"
)

const (
	// Work that waits this long in a full pool takes the place of less urgent work.
	preemptAfter = 150 * time.Millisecond
	// The same for a task that lasts, which gets the first room that becomes free.
	preemptLongRunningAfter = time.Second
	// Attempts that are stopped at most in one look at a pool.
	maxPreemptFor = 8
	// An attempt that ends by itself within this time is not stopped for another.
	minPreemptRemaining = 600 * time.Millisecond
)

// preempt stops less urgent work in full pools, so that more urgent work that waits there can still be in time.
func (sc *Scheduler) preempt(now time.Time) {
	for _, p := range sc.poolOrder {
		s := sc.mostUrgent(now, p)
		if s == nil {
			continue
		}
		if len(sc.startPass(p, now).workers) == 0 && !sc.isPreempting(p) {
			sc.preemptFor(now, p, s)
		}
	}
}

// preempting tells whether work in the pool that was stopped for other work has not ended yet.
func (sc *Scheduler) isPreempting(p *pool) bool {
	for _, w := range sc.workersByID {
		if w.entry.Pool != p.name {
			continue
		}
		for _, r := range w.runList {
			if r.preempted {
				return true
			}
		}
	}
	return false
}

// mostUrgent returns the step of the highest priority that has waited for a while and can be in time, nil if there is none.
func (sc *Scheduler) mostUrgent(now time.Time, p *pool) *step {
	var best *step
	for s := range p.waitingSteps {
		if s.spec.Gang || !sc.canPreempt(now, s) {
			continue
		}
		if best == nil || s.isMoreUrgent(best) {
			best = s
		}
	}
	return best
}

// mayPreempt tells whether the step's tasks have waited for long, and are worth the work that is lost.
func (sc *Scheduler) canPreempt(now time.Time, s *step) bool {
	if !s.spec.LongRunning {
		return now.Sub(s.readyAt) >= preemptAfter && sc.candidateOf(now, s).outlook == onTime
	}
	for _, t := range s.tasks {
		if t.isWaiting() && now.Sub(s.readyAt) >= preemptLongRunningAfter && now.Sub(t.lastRun) >= preemptLongRunningAfter {
			return true
		}
	}
	return false
}

func (s *step) isMoreUrgent(other *step) bool {
	a, b := s.job().spec, other.job().spec
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.ID, b.ID), cmp.Compare(s.number, other.number)) < 0
}

// preemptFor stops as much less urgent work as the waiting tasks of the step need, what loses least first.
func (sc *Scheduler) preemptFor(now time.Time, p *pool, s *step) {
	needs := s.spec.Reservation()
	wanted := min(s.waiting, maxPreemptFor)
	for _, w := range sc.workersByID {
		if w.entry.Pool != p.name || !w.isHealthy() || !w.hasLabel(s.spec.Label) {
			continue
		}
		free := w.free()
		for _, r := range w.preemptibleRuns(now, s) {
			if wanted == 0 {
				return
			}
			sc.logDecision(now, "task-preempted", r.task.id().String(), w.id, "for "+s.job().spec.ID)
			r.preempted = true
			sc.stopRun(now, r)
			if free = free.Add(r.spec().Reservation()); needs.FitsWithin(free) {
				free = free.Sub(needs)
				wanted--
			}
		}
	}
}

// preemptible returns the attempts on the worker that may be stopped for the step, if together with what is free they make
// room for a task of it.
func (w *worker) preemptibleRuns(now time.Time, s *step) []*run {
	var runs []*run
	room := w.free()
	for _, r := range w.runList {
		if r.task.job().spec.Priority > s.job().spec.Priority && !r.stopping && r.isPreemptible(now) {
			runs = append(runs, r)
			room = room.Add(r.spec().Reservation())
		}
	}
	if !s.spec.Reservation().FitsWithin(room) {
		return nil
	}
	slices.SortStableFunc(runs, func(a, b *run) int {
		return cmp.Or(compareTrueFirst(a.spec().Checkpoints, b.spec().Checkpoints), b.startedAt.Compare(a.startedAt))
	})
	return runs
}

// yields tells whether the attempt can be stopped for more urgent work: it neither lasts, nor belongs to a gang, nor ends
// soon.
func (r *run) isPreemptible(now time.Time) bool {
	spec := r.spec()
	endsIn := spec.Estimate() - now.Sub(r.startedAt)
	return r.phase == runConfirmed && !spec.LongRunning && !spec.Gang && endsIn > minPreemptRemaining && spec.Reservation() != setup.Resources{}
}
