package sched

import (
	"slices"
	"time"

	"mangowing/core/setup"
)

// room is the workers that a pass over a pool's waiting tasks may use. Nothing ends during a pass, so what did not fit
// anywhere fits nowhere until its end.
type room struct {
	workers []*worker
	lacking []setup.Resources // sizes that no worker has room for, none of them larger than another
}

// lacks tells whether it is known that no worker has room for so much.
func (r *room) lacks(needs setup.Resources) bool {
	return slices.ContainsFunc(r.lacking, func(size setup.Resources) bool { return size.FitsWithin(needs) })
}

// lack notes that no worker has room for so much.
func (r *room) lack(needs setup.Resources) {
	r.lacking = slices.DeleteFunc(r.lacking, func(size setup.Resources) bool { return needs.FitsWithin(size) })
	r.lacking = append(r.lacking, needs)
}

// roomIn returns the pool's workers that have room for the smallest of its waiting tasks.
func (sc *Scheduler) roomIn(p *pool, now time.Time) *room {
	least := p.leastNeeds()
	r := &room{}
	for _, w := range sc.workersByID {
		if w.entry.Pool == p.name && least.FitsWithin(w.free()) && w.usable(now) {
			r.workers = append(r.workers, w)
		}
	}
	return r
}

// leastNeeds returns the least of each resource that a waiting task of the pool takes.
func (p *pool) leastNeeds() setup.Resources {
	var least setup.Resources
	first := true
	for s := range p.waitingSteps {
		needs := s.spec.Reservation()
		if first {
			least, first = needs, false
			continue
		}
		least = setup.Resources{CPU: min(least.CPU, needs.CPU), MemMB: min(least.MemMB, needs.MemMB), GPU: min(least.GPU, needs.GPU)}
	}
	return least
}

// pick returns the best worker for a task, nil if none has room that suits it.
func (sc *Scheduler) pick(now time.Time, t *task, r *room) *worker {
	needs := t.step.spec.Reservation()
	if r.lacks(needs) {
		return nil
	}
	var best *worker
	fits := false
	for _, w := range r.workers {
		if !needs.FitsWithin(w.free()) {
			continue
		}
		fits = true
		if sc.suits(now, t, w) && (best == nil || sc.better(t, w, best)) {
			best = w
		}
	}
	if !fits {
		r.lack(needs)
	}
	return best
}
