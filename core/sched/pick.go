package sched

import (
	"cmp"
	"time"
)

// underLimit tells whether the step's team may have so many more tasks running.
func (sc *Scheduler) underLimit(s *step, tasks int) bool {
	name := s.job().spec.Team
	t, declared := sc.cfg.Team(name)
	if !declared {
		return true
	}
	used := sc.teamOf(name).used
	uses := s.spec.QuotaUsage()
	for range tasks {
		used = used.Add(uses)
	}
	return within(used.CPU, t.Limit.CPU) && within(used.MemMB, t.Limit.MemMB) && within(used.GPU, t.Limit.GPU)
}

func within(used, limit int) bool { return limit == 0 || used <= limit }

func (sc *Scheduler) suits(now time.Time, t *task, w *worker) bool {
	s := t.step
	switch {
	case !w.hasLabel(s.spec.Label):
	case s.spec.MaxPerWorker > 0 && s.runsByWorker[w.id] >= s.spec.MaxPerWorker:
	case w.suspect(now) && (t.failures > 0 || len(w.runs) > 0):
	case t.runsOn(w):
	case sc.queueOf(s).Advice.IsRequired() && !s.hasTicket(w, now):
	default:
		return w.usable(now)
	}
	return false
}

// spread returns how many tasks of a lasting step should run on a worker at most, so that the loss of one is bearable.
func (s *step) spread() int {
	return max(1, (s.spec.Count+lastingWorkers-1)/lastingWorkers)
}

// better prefers a worker that the task has not failed on, then the data's rack, then a rack that the step runs on
// already, then sound workers, then the fullest.
func (sc *Scheduler) better(t *task, a, b *worker) bool {
	s := t.step
	order := cmp.Or(
		compareBool(t.avoidWorker != a.id, t.avoidWorker != b.id),
		compareBool(s.nearData(a), s.nearData(b)),
		compareBool(s.sharesRack(a), s.sharesRack(b)),
		cmp.Compare(a.faults, b.faults),
		sc.compareLoad(s, a, b),
	)
	return order < 0
}

// compareLoad fills workers up with ordinary work; tasks that fill go where the fewest serving tasks run.
func (sc *Scheduler) compareLoad(s *step, a, b *worker) int {
	if s.spec.BestEffort || s.spec.LongRunning {
		return cmp.Or(
			cmp.Compare(a.clash(s.spec), b.clash(s.spec)),
			compareBool(s.runsByWorker[a.id] < s.spread(), s.runsByWorker[b.id] < s.spread()),
			compareBool(a.lasting(), b.lasting()),
			cmp.Compare(b.free().CPU, a.free().CPU),
		)
	}
	return cmp.Compare(a.free().CPU, b.free().CPU)
}

// clash counts the runs that a new task of the step would disturb or be disturbed by.
func (w *worker) clash(spec *StepSpec) int {
	n := 0
	for _, r := range w.order {
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

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

func (s *step) nearData(w *worker) bool {
	return s.spec.DataRack != "" && w.hasLabel(s.spec.DataRack)
}

func (s *step) sharesRack(w *worker) bool {
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
