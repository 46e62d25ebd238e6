package sched

import "time"

// placeClass places the candidates of one class by weighted fair sharing: the team with the fewest running cores for its
// weight places a step next. Where jobs are accepted against a timeline, work that can be in time is placed in order of its latest start,
// as it was promised; the teams' shares were part of the promise.
func (sc *Scheduler) placeClass(now time.Time, p *pool, class []candidate, pass *placementPass) {
	if sc.options.AdmissionTimeline && !pass.hasRoomFor(class) && class[0].outlook < late && !class[0].step.spec.LongRunning {
		for len(class) > 0 {
			class = sc.placeFirst(now, class, pass)
		}
		return
	}
	byTeam := map[string][]candidate{}
	for _, c := range class {
		team := c.step.job().spec.Team
		byTeam[team] = append(byTeam[team], c)
	}
	for len(byTeam) > 0 {
		team := sc.leastServedTeam(p, byTeam)
		byTeam[team] = sc.placeFirst(now, byTeam[team], pass)
		if len(byTeam[team]) == 0 {
			delete(byTeam, team)
		}
	}
}

// placeFirst places the first candidate of which a task can be started, and returns the candidates after it.
func (sc *Scheduler) placeFirst(now time.Time, candidates []candidate, pass *placementPass) []candidate {
	for i, c := range candidates {
		if sc.placeStep(now, c.step, pass) > 0 {
			return candidates[i+1:]
		}
	}
	return nil
}

func (sc *Scheduler) leastServedTeam(p *pool, byTeam map[string][]candidate) string {
	best, bestLoad := "", 0.0
	first := true
	for name := range byTeam {
		weight := 1.0
		if t, declared := sc.cfg.Team(name); declared && t.Weight > 0 {
			weight = t.Weight
		}
		load := p.runningCores[name] / weight
		if first || load < bestLoad || load == bestLoad && name < best {
			best, bestLoad, first = name, load, false
		}
	}
	return best
}

// maxLocalityWaits is how many tasks of a step wait for their rack at the same time. The others begin to wait after them.
const maxLocalityWaits = 256

// placeStep starts as many of the step's waiting tasks as possible, and returns how many it has started.
func (sc *Scheduler) placeStep(now time.Time, s *step, pass *placementPass) int {
	if pass.isTooLarge(s.spec.Reservation()) || !sc.ensureTickets(now, s, pass.workers) {
		return 0
	}
	if s.spec.Gang {
		return sc.placeGang(now, s, pass)
	}
	started, waits := 0, 0
	for t := range s.openTasks() {
		if !t.isWaiting() {
			continue
		}
		if !sc.fitsTeamLimit(s, 1) {
			return started
		}
		if !sc.startWindow.hasSpace() {
			sc.markPoolDirty(sc.currentPool(s.job()))
			return started
		}
		w := sc.pickWorker(now, t, pass)
		if w == nil {
			if t.failures > 0 || t.isSuspect() {
				continue
			}
			return started
		}
		if sc.waitsForLocality(now, t, w, pass) {
			if waits++; waits == maxLocalityWaits {
				return started
			}
			continue
		}
		sc.startOn(t, w, t.attempts+1)
		started++
	}
	return started
}

// longRunningSpread is the number of workers over which the tasks of a long-running step are spread.
const longRunningSpread = 3

// startOn records the start of an attempt. The order to the worker is sent once the record is stored.
func (sc *Scheduler) startOn(t *task, w *worker, attempt int) {
	id := t.id()
	sc.addRun(t, w, attempt).starts.firstPending = true
	sc.startWindow.inFlight++
	w.renewalsInFlight++
	sc.counters.started++
	sc.appendRecord(TaskStarted{Task: id, Attempt: attempt, Worker: w.id, Incarnation: w.incarnation})
	sc.orderOnceStored(StartTask{
		Worker: w.id, Task: id, Attempt: attempt, Payload: t.job().spec.Payload, Checkpoint: t.checkpoint,
		Ticket: t.step.tickets[w.id].text, Lease: sc.options.Lease, Generation: w.generation,
	})
}
