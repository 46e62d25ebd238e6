package sched

import "time"

// placeClass gives the teams turns: the one with the least running for its weight goes next.
func (sc *Scheduler) placeClass(now time.Time, p *pool, class []candidate, r *room) {
	byTeam := map[string][]candidate{}
	for _, c := range class {
		team := c.step.job().spec.Team
		byTeam[team] = append(byTeam[team], c)
	}
	for len(byTeam) > 0 {
		team := sc.leastServed(p, byTeam)
		byTeam[team] = sc.placeFirst(now, byTeam[team], r)
		if len(byTeam[team]) == 0 {
			delete(byTeam, team)
		}
	}
}

// placeFirst places the first step that has room for a task, and returns the steps after it.
func (sc *Scheduler) placeFirst(now time.Time, steps []candidate, r *room) []candidate {
	for i, c := range steps {
		if sc.placeStep(now, c.step, r) > 0 {
			return steps[i+1:]
		}
	}
	return nil
}

func (sc *Scheduler) leastServed(p *pool, byTeam map[string][]candidate) string {
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

// placeStep starts as many waiting tasks of the step as there is room for, and returns how many.
func (sc *Scheduler) placeStep(now time.Time, s *step, r *room) int {
	if r.lacks(s.spec.Reservation()) || !sc.hasTickets(now, s, r.workers) {
		return 0
	}
	if s.spec.Gang {
		return sc.placeGang(now, s, r)
	}
	started := 0
	for _, t := range s.tasks {
		if !t.isWaiting() {
			continue
		}
		if !sc.underLimit(s, 1) {
			return started
		}
		if !sc.window.open() {
			sc.markPoolDirty(sc.poolNameOf(s.job()))
			return started
		}
		w := sc.pick(now, t, r)
		if w == nil {
			if t.failures > 0 {
				continue
			}
			return started
		}
		sc.startOn(t, w, t.attempts+1)
		started++
	}
	return started
}

// lastingWorkers is over how many workers a lasting step is spread.
const lastingWorkers = 3

// startOn records an attempt and orders it once the record is stored.
func (sc *Scheduler) startOn(t *task, w *worker, attempt int) {
	id := t.id()
	sc.start(t, w, attempt).startPending = true
	sc.window.given++
	w.granting++
	sc.counters.started++
	sc.appendRecord(TaskStarted{Task: id, Attempt: attempt, Worker: w.id, Incarnation: w.born})
	sc.orderOnceStored(StartTask{
		Worker: w.id, Task: id, Attempt: attempt, Payload: t.job().spec.Payload, Checkpoint: t.checkpoint,
		Ticket: t.step.tickets[w.id].text, Lease: sc.options.Lease,
	})
}
