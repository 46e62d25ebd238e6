package sched

import (
	"cmp"
	"slices"
	"time"

	"mangowing/core/setup"
)

const (
	// A step that has waited this long in a full pool may preempt less urgent work.
	preemptAfter = 150 * time.Millisecond
	// The same for long-running tasks. They can wait longer, since they get the first room that becomes free.
	preemptLongRunningAfter = time.Second
	// Room is made for at most this many waiting tasks of a pool in one check.
	maxTasksToMakeRoomFor = 8
	// A run that is expected to end by itself within this time is not preempted.
	minPreemptRemaining = 600 * time.Millisecond
)

// preempt stops less urgent runs in full pools, so that more urgent work that waits there can still meet its deadline. In
// each pool it waits for one preemption to end before the next.
func (sc *Scheduler) preempt(now time.Time) {
	for _, p := range sc.poolOrder {
		s := sc.mostUrgentStep(now, p)
		if s == nil {
			continue
		}
		if len(sc.newPass(p, now).workers) == 0 && !sc.isPreempting(p) {
			sc.preemptFor(now, p, s)
		}
	}
}

// isPreempting reports whether a preempted run of the pool has not ended yet.
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

// mostUrgentStep returns the waiting step with the highest priority that may preempt other work, nil if there is none.
// Gangs don't preempt.
func (sc *Scheduler) mostUrgentStep(now time.Time, p *pool) *step {
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

// canPreempt reports whether the step has waited long enough to preempt other work. Unless it is long-running, it must also
// be on time: otherwise it isn't worth the work that is lost.
func (sc *Scheduler) canPreempt(now time.Time, s *step) bool {
	if !s.spec.LongRunning {
		return now.Sub(s.readyAt) >= preemptAfter && sc.candidateOf(now, s).outlook == onTime
	}
	since := now.Add(-preemptLongRunningAfter)
	return !s.readyAt.After(since) && s.hasWaitedSince(since)
}

// isMoreUrgent reports whether the step goes before the other one; a lower number is a higher priority.
func (s *step) isMoreUrgent(other *step) bool {
	a, b := s.job().spec, other.job().spec
	return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.ID, b.ID), cmp.Compare(s.number, other.number)) < 0
}

// preemptFor stops less urgent runs until the waiting tasks of the step have room, on each worker those that lose the least
// progress first.
func (sc *Scheduler) preemptFor(now time.Time, p *pool, s *step) {
	needs := s.spec.Reservation()
	wanted := min(s.waitingTasks, maxTasksToMakeRoomFor)
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

// preemptibleRuns returns the worker's runs that may be preempted for the step, those that lose the least progress first:
// runs that save checkpoints, then the youngest. It returns nil if stopping all of them would not make room for one task.
func (w *worker) preemptibleRuns(now time.Time, s *step) []*run {
	var runs []*run
	free := w.free()
	for _, r := range w.runList {
		if r.task.job().spec.Priority > s.job().spec.Priority && !r.stopping && r.isPreemptible(now) {
			runs = append(runs, r)
			free = free.Add(r.spec().Reservation())
		}
	}
	if !s.spec.Reservation().FitsWithin(free) {
		return nil
	}
	slices.SortStableFunc(runs, func(a, b *run) int {
		return cmp.Or(compareTrueFirst(a.spec().Checkpoints, b.spec().Checkpoints), b.startedAt.Compare(a.startedAt))
	})
	return runs
}

// isPreemptible reports whether the run may be stopped for more urgent work: it is confirmed, holds resources, is neither
// long-running nor part of a gang, and does not end soon.
func (r *run) isPreemptible(now time.Time) bool {
	spec := r.spec()
	endsIn := r.expectedEnd(now).Sub(now)
	return r.phase == runConfirmed && !spec.LongRunning && !spec.Gang && endsIn > minPreemptRemaining && spec.Reservation() != setup.Resources{}
}
