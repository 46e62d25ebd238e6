package sched

import (
	"cmp"
	"time"
)

// underLimit tells whether the step's team may have so many more tasks running.
func (sc *Scheduler) fitsTeamLimit(s *step, tasks int) bool {
	name := s.job().spec.Team
	t, declared := sc.cfg.Team(name)
	if !declared {
		return true
	}
	used := sc.ensureTeam(name).used
	uses := s.spec.QuotaUsage()
	for range tasks {
		used = used.Add(uses)
	}
	return isWithin(used.CPU, t.Limit.CPU) && isWithin(used.MemMB, t.Limit.MemMB) && isWithin(used.GPU, t.Limit.GPU)
}

func isWithin(used, limit int) bool { return limit == 0 || used <= limit }

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

// spread returns how many tasks of a lasting step should run on a worker at most, so that the loss of one is bearable.
func (s *step) maxSpreadPerWorker() int {
	return max(1, (s.spec.Count+longRunningSpread-1)/longRunningSpread)
}

// better prefers a worker that the task has not failed on, then the data's rack, then a rack that the step runs on
// already, then sound workers, then the fullest.
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

// compareLoad fills workers up with ordinary work; tasks that fill go where the fewest serving tasks run.
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

// clash counts the runs that a new task of the step would disturb or be disturbed by.
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
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.worker.entry.Rack() == w.entry.Rack() {
				return true
			}
		}
	}
	return false
}
