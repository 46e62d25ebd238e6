package sched

import "time"

// placeGang starts the members of a gang only if there is room for all.
func (m *Machine) placeGang(now time.Time, s *step, workers []*worker) {
	if s.running > 0 || !m.underLimit(s, s.spec.Count) {
		return
	}
	attempt := 0
	for _, t := range s.tasks {
		attempt = max(attempt, t.attempts)
	}
	plan := make([]*worker, 0, len(s.tasks))
	for _, t := range s.tasks {
		w := m.pick(now, t, workers)
		if w == nil {
			break
		}
		plan = append(plan, w)
		w.used = w.used.Plus(s.spec.Needs())
		s.count(w.id, 1)
	}
	for _, w := range plan {
		w.used = w.used.Minus(s.spec.Needs())
		s.count(w.id, -1)
	}
	if len(plan) < len(s.tasks) {
		return
	}
	for i, t := range s.tasks {
		m.startOn(t, plan[i], attempt+1)
	}
}

func (s *step) count(workerID string, change int) {
	if s.perVM == nil {
		s.perVM = map[string]int{}
	}
	if s.perVM[workerID] += change; s.perVM[workerID] <= 0 {
		delete(s.perVM, workerID)
	}
}
