package sched

import (
	"time"

	"mangowing/core/setup"
)

// looked counts a look at the pool's waiting tasks, and returns how many there were in this period.
func (p *pool) looked(now time.Time) int {
	if now.Sub(p.period) >= backlogPeriod {
		p.period, p.looks = now, 0
	}
	p.looks++
	return p.looks
}

// placeClass gives the teams turns: the one with the least running for its weight goes next.
func (m *Machine) placeClass(now time.Time, p *pool, class []candidate, workers []*worker) {
	byTeam := map[string][]candidate{}
	for _, c := range class {
		team := c.step.job().spec.Team
		byTeam[team] = append(byTeam[team], c)
	}
	for len(byTeam) > 0 {
		team := m.leastServed(p, byTeam)
		s := byTeam[team][0].step
		if byTeam[team] = byTeam[team][1:]; len(byTeam[team]) == 0 {
			delete(byTeam, team)
		}
		m.placeStep(now, s, workers)
	}
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

// usableIn returns the pool's workers that have room for the smallest of its waiting tasks.
func (m *Machine) usableIn(p *pool, now time.Time) []*worker {
	least := p.leastNeeds()
	var workers []*worker
	for _, w := range m.byID {
		if w.entry.Pool == p.name && least.Fits(w.free()) && w.usable(now) {
			workers = append(workers, w)
		}
	}
	return workers
}

// leastNeeds returns the least of each resource that a waiting task of the pool takes.
func (p *pool) leastNeeds() setup.Resources {
	var least setup.Resources
	first := true
	for s := range p.waiting {
		needs := s.spec.Needs()
		if first {
			least, first = needs, false
			continue
		}
		least = setup.Resources{CPU: min(least.CPU, needs.CPU), MemMB: min(least.MemMB, needs.MemMB), GPU: min(least.GPU, needs.GPU)}
	}
	return least
}

// placeStep starts as many waiting tasks of the step as there is room for.
func (m *Machine) placeStep(now time.Time, s *step, workers []*worker) {
	if !m.hasTickets(now, s, workers) {
		return
	}
	if s.spec.Gang {
		m.placeGang(now, s, workers)
		return
	}
	for _, t := range s.tasks {
		if !t.waits() {
			continue
		}
		if !m.underLimit(s, 1) {
			return
		}
		if !m.window.open() {
			m.wake(m.poolNameOf(s.job()))
			return
		}
		w := m.pick(now, t, workers)
		if w == nil {
			if t.failures > 0 {
				continue
			}
			return
		}
		m.startOn(t, w, t.attempts+1)
	}
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
