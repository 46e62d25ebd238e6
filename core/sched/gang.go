package sched

import "time"

// placeGang starts all tasks of a gang step under one attempt number if there is room for all of them at once, and none
// otherwise. It returns how many it has started.
func (sc *Scheduler) placeGang(now time.Time, s *step, pass *placementPass) int {
	if s.runCount > 0 || !sc.fitsTeamLimit(s, s.spec.Count) {
		return 0
	}
	attempt := 0
	for t := range s.tasks() {
		attempt = max(attempt, t.attempts)
	}
	var assigned []*worker
	trialPass := &placementPass{workers: pass.workers}
	for t := range s.openTasks() {
		w := sc.pickWorker(now, t, trialPass)
		if w == nil {
			break
		}
		assigned = append(assigned, w)
		w.used = w.used.Add(s.spec.Reservation())
		s.adjustRunCount(w.id, 1)
	}
	for _, w := range assigned {
		w.used = w.used.Sub(s.spec.Reservation())
		s.adjustRunCount(w.id, -1)
	}
	if len(assigned) < s.spec.Count {
		return 0
	}
	for t := range s.tasks() {
		sc.startOn(t, assigned[t.index], attempt+1)
	}
	return len(assigned)
}

// adjustRunCount changes the number of the step's runs on a worker, which MaxPerWorker limits.
func (s *step) adjustRunCount(workerID string, change int) {
	if s.runsByWorker == nil {
		s.runsByWorker = map[string]int{}
	}
	if s.runsByWorker[workerID] += change; s.runsByWorker[workerID] <= 0 {
		delete(s.runsByWorker, workerID)
	}
}
