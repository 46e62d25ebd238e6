package sched

import "iter"

// taskWindow holds the tasks of a step that have been needed so far and are not over, so that a step takes memory for the tasks that run and
// not for all that it has.
type taskWindow struct {
	first int     // index of the first entry; all tasks before it are over
	tasks []*task // by index from first on, nil for those that are over
}

// end returns the index after the last task that has been needed.
func (w *taskWindow) end() int { return w.first + len(w.tasks) }

// task returns the task of the index, which it creates if it has not been needed yet. It returns nil if the task is over.
func (s *step) task(index int) *task {
	w := &s.window
	if index < w.first {
		return nil
	}
	for i := w.end(); i <= index; i++ {
		w.tasks = append(w.tasks, &task{step: s, index: i})
		s.job().memory.add(taskBytes)
	}
	return w.tasks[index-w.first]
}

// tasks yields the tasks that have been needed and are not over, in order. They may become over meanwhile.
func (s *step) tasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, t := range s.window.tasks {
			if t != nil && !yield(t) {
				return
			}
		}
	}
}

// openTasks yields the tasks that are not over, in order, and creates those that have not been needed yet one by one.
func (s *step) openTasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for i := s.window.first; i < s.spec.Count; i++ {
			if t := s.task(i); t != nil && !yield(t) {
				return
			}
		}
	}
}

// dropIfOver drops a task that is done and has no attempt any more. Nothing changes it from then on.
func (s *step) dropIfOver(t *task) {
	w := &s.window
	if !t.done || len(t.runs) > 0 || t.index < w.first || w.tasks[t.index-w.first] == nil {
		return
	}
	w.tasks[t.index-w.first] = nil
	s.job().memory.add(-taskBytes)
	over := 0
	for over < len(w.tasks) && w.tasks[over] == nil {
		over++
	}
	w.first, w.tasks = w.first+over, w.tasks[over:]
}

// markAllDone marks the tasks of the range as done.
func (s *step) markAllDone(r indexRange) {
	for i := max(0, r.First); i < min(r.First+r.Count, s.spec.Count); i++ {
		if t := s.task(i); t != nil && !t.done {
			s.markDone(t)
		}
	}
}

// markDone marks a task as done that is not.
func (s *step) markDone(t *task) {
	if t.isWaiting() {
		s.waitingTasks--
	}
	t.done = true
	s.remainingTasks--
	s.dropIfOver(t)
}

// doneRanges returns the ranges of tasks that are over, in order.
func (w *taskWindow) doneRanges() []indexRange {
	var ranges []indexRange
	if w.first > 0 {
		ranges = append(ranges, indexRange{First: 0, Count: w.first})
	}
	for i, t := range w.tasks {
		index := w.first + i
		switch last := len(ranges) - 1; {
		case t != nil:
		case last >= 0 && ranges[last].First+ranges[last].Count == index:
			ranges[last].Count++
		default:
			ranges = append(ranges, indexRange{First: index, Count: 1})
		}
	}
	return ranges
}
