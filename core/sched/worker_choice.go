package sched

import (
	"cmp"
	"time"

	"mangowing/core/setup"
)

// fitsTeamLimit reports whether that many more tasks of the step may run for their team: by its resource limit, and by the memory of attempts.
func (sc *Scheduler) fitsTeamLimit(s *step, tasks int) bool {
	name := s.job().spec.Team
	if !sc.fitsRunMemory(name, tasks) {
		return false
	}
	t, declared := sc.cfg.Team(name)
	if !declared {
		return true
	}
	perTask := s.spec.QuotaUsage()
	used := sc.ensureTeam(name).used.Add(setup.Resources{CPU: tasks * perTask.CPU, MemMB: tasks * perTask.MemMB, GPU: tasks * perTask.GPU})
	return isWithin(used.CPU, t.Limit.CPU) && isWithin(used.MemMB, t.Limit.MemMB) && isWithin(used.GPU, t.Limit.GPU)
}

// isWithin reports whether a resource is within its limit; 0 means no limit.
func isWithin(used, limit int) bool { return limit == 0 || used <= limit }

// isEligible reports whether the task may be placed on the worker, leaving aside whether its resources fit. A worker with
// recent faults gets one task at a time, and none that has failed before.
func (sc *Scheduler) isEligible(now time.Time, t *task, w *worker) bool {
	s := t.step
	switch {
	case !w.hasLabel(s.spec.Label):
	case s.spec.MaxPerWorker > 0 && s.runsByWorker[w.id] >= s.spec.MaxPerWorker:
	case w.hasRecentFaults(now) && (t.failures > 0 || len(w.runs) > 0):
	case t.runsOn(w):
	case sc.queueOf(s).Advice.IsRequired() && !s.hasTicket(w, now):
	default:
		return w.isSchedulable(now)
	}
	return false
}

// maxSpreadPerWorker returns how many tasks of a long-running step one worker should run at most, so that the loss of a
// worker takes down only part of the step.
func (s *step) maxSpreadPerWorker() int {
	return max(1, (s.spec.Count+longRunningSpread-1)/longRunningSpread)
}

// isBetterWorker reports whether the task should rather run on a than on b. It prefers a worker that the task is not to
// avoid, then the rack of its data, then a rack on which the step already runs, then fewer faults, then the better fit.
func (sc *Scheduler) isBetterWorker(t *task, a, b *worker) bool {
	s := t.step
	order := cmp.Or(
		compareTrueFirst(t.avoidWorker != a.id, t.avoidWorker != b.id),
		compareTrueFirst(s.isNearData(a), s.isNearData(b)),
		compareTrueFirst(s.hasTaskOnRack(a), s.hasTaskOnRack(b)),
		cmp.Compare(a.faults, b.faults),
		sc.compareFit(s, a, b),
	)
	return order < 0
}

// compareFit packs ordinary tasks onto the fullest workers. Best-effort and long-running tasks go to the workers with the
// fewest conflicting runs, then where the step is within its spread, then beside other long-running tasks, then to the
// emptiest worker.
func (sc *Scheduler) compareFit(s *step, a, b *worker) int {
	if s.spec.BestEffort || s.spec.LongRunning {
		return cmp.Or(
			cmp.Compare(a.countConflicts(s.spec), b.countConflicts(s.spec)),
			compareTrueFirst(s.runsByWorker[a.id] < s.maxSpreadPerWorker(), s.runsByWorker[b.id] < s.maxSpreadPerWorker()),
			compareTrueFirst(a.hasLongRunning(), b.hasLongRunning()),
			cmp.Compare(b.free().CPU, a.free().CPU),
		)
	}
	return cmp.Compare(a.free().CPU, b.free().CPU)
}

// countConflicts counts the runs that would compete with a new task of the step. A best-effort task beside a serving one
// counts twice, since it slows the serving task down.
func (w *worker) countConflicts(spec *StepSpec) int {
	n := 0
	for _, r := range w.runList {
		other := r.spec()
		if spec.BestEffort && other.IsServing() || spec.IsServing() && other.BestEffort {
			n += 2
		}
		if spec.BestEffort && other.BestEffort || spec.IsServing() && other.IsServing() {
			n++
		}
	}
	return n
}

// compareTrueFirst orders true before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func (s *step) isNearData(w *worker) bool {
	return s.spec.DataRack != "" && w.hasLabel(s.spec.DataRack)
}

func (s *step) hasTaskOnRack(w *worker) bool {
	if !s.spec.RackLocal {
		return false
	}
	for t := range s.tasks() {
		for _, r := range t.runs {
			if r.worker.entry.Rack() == w.entry.Rack() {
				return true
			}
		}
	}
	return false
}
