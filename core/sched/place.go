package sched

import "time"

// placeClass gives the teams turns: the one with the least running for its weight goes next.
func (m *Machine) placeClass(now time.Time, p *pool, class []candidate, r *room) {
	byTeam := map[string][]candidate{}
	for _, c := range class {
		team := c.step.job().spec.Team
		byTeam[team] = append(byTeam[team], c)
	}
	for len(byTeam) > 0 {
		team := m.leastServed(p, byTeam)
		byTeam[team] = m.placeFirst(now, byTeam[team], r)
		if len(byTeam[team]) == 0 {
			delete(byTeam, team)
		}
	}
}

// placeFirst places the first step that has room for a task, and returns the steps after it.
func (m *Machine) placeFirst(now time.Time, steps []candidate, r *room) []candidate {
	for i, c := range steps {
		if m.placeStep(now, c.step, r) > 0 {
			return steps[i+1:]
		}
	}
	return nil
}

func (m *Machine) leastServed(p *pool, byTeam map[string][]candidate) string {
	best, bestLoad := "", 0.0
	first := true
	for name := range byTeam {
		weight := 1.0
		if t, declared := m.cfg.Team(name); declared && t.Weight > 0 {
			weight = t.Weight
		}
		load := p.running[name] / weight
		if first || load < bestLoad || load == bestLoad && name < best {
			best, bestLoad, first = name, load, false
		}
	}
	return best
}

// placeStep starts as many waiting tasks of the step as there is room for, and returns how many.
func (m *Machine) placeStep(now time.Time, s *step, r *room) int {
	if r.lacks(s.spec.Needs()) || !m.hasTickets(now, s, r.workers) {
		return 0
	}
	if s.spec.Gang {
		return m.placeGang(now, s, r)
	}
	started := 0
	for _, t := range s.tasks {
		if !t.waits() {
			continue
		}
		if !m.underLimit(s, 1) {
			return started
		}
		if !m.window.open() {
			m.wake(m.poolNameOf(s.job()))
			return started
		}
		w := m.pick(now, t, r)
		if w == nil {
			if t.failures > 0 {
				continue
			}
			return started
		}
		m.startOn(t, w, t.attempts+1)
		started++
	}
	return started
}

// lastingWorkers is over how many workers a lasting step is spread.
const lastingWorkers = 3

// startOn records an attempt and orders it once the record is stored.
func (m *Machine) startOn(t *task, w *worker, attempt int) {
	id := t.id()
	m.start(t, w, attempt).underway = true
	m.window.given++
	w.granting++
	m.counters.started++
	m.emit(TaskStarted{Task: id, Attempt: attempt, Worker: w.id, Born: w.born})
	m.orderAfter(StartTask{
		Worker: w.id, Task: id, Attempt: attempt, Payload: t.job().spec.Payload, Checkpoint: t.checkpoint,
		Ticket: t.step.tickets[w.id].text, Lease: m.options.Lease,
	})
}
