package sched

import "time"

// placeGang starts the members of a gang only if there is room for all, and returns how many.
func (sc *Scheduler) placeGang(now time.Time, s *step, pass *placementPass) int {
	if s.runCount > 0 || !sc.fitsTeamLimit(s, s.spec.Count) {
		return 0
	}
	attempt := 0
	for _, t := range s.tasks {
		attempt = max(attempt, t.attempts)
	}
	plan := make([]*worker, 0, len(s.tasks))
	trial := &placementPass{workers: pass.workers}
	for _, t := range s.tasks {
		w := sc.pickWorker(now, t, trial)
		if w == nil {
			break
		}
		plan = append(plan, w)
		w.used = w.used.Add(s.spec.Reservation())
		s.adjustRunCount(w.id, 1)
	}
	for _, w := range plan {
		w.used = w.used.Sub(s.spec.Reservation())
		s.adjustRunCount(w.id, -1)
	}
	if len(plan) < len(s.tasks) {
		return 0
	}
	for i, t := range s.tasks {
		sc.startOn(t, plan[i], attempt+1)
	}
	return len(s.tasks)
}

func (s *step) adjustRunCount(workerID string, change int) {
	if s.runsByWorker == nil {
		s.runsByWorker = map[string]int{}
	}
	if s.runsByWorker[workerID] += change; s.runsByWorker[workerID] <= 0 {
		delete(s.runsByWorker, workerID)
	}
}
