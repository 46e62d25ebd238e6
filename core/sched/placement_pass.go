package sched

import (
	"slices"
	"time"

	"mangowing/core/setup"
)

// room is the workers that a pass over a pool's waiting tasks may use. Nothing ends during a pass, so what did not fit
// anywhere fits nowhere until its end.
type placementPass struct {
	workers  []*worker
	tooLarge []setup.Resources // sizes that no worker has room for, none of them larger than another
}

// lacks tells whether it is known that no worker has room for so much.
func (p *placementPass) isTooLarge(needs setup.Resources) bool {
	return slices.ContainsFunc(p.tooLarge, func(size setup.Resources) bool { return size.FitsWithin(needs) })
}

// lack notes that no worker has room for so much.
func (p *placementPass) markTooLarge(needs setup.Resources) {
	p.tooLarge = slices.DeleteFunc(p.tooLarge, func(size setup.Resources) bool { return needs.FitsWithin(size) })
	p.tooLarge = append(p.tooLarge, needs)
}

// roomIn returns the pool's workers that have room for the smallest of its waiting tasks.
func (sc *Scheduler) startPass(p *pool, now time.Time) *placementPass {
	smallest := p.minNeeds()
	pass := &placementPass{}
	for _, w := range sc.workersByID {
		if w.entry.Pool == p.name && smallest.FitsWithin(w.free()) && w.isSchedulable(now) {
			pass.workers = append(pass.workers, w)
		}
	}
	return pass
}

// leastNeeds returns the least of each resource that a waiting task of the pool takes.
func (p *pool) minNeeds() setup.Resources {
	var smallest setup.Resources
	first := true
	for s := range p.waitingSteps {
		needs := s.spec.Reservation()
		if first {
			smallest, first = needs, false
			continue
		}
		smallest = setup.Resources{CPU: min(smallest.CPU, needs.CPU), MemMB: min(smallest.MemMB, needs.MemMB), GPU: min(smallest.GPU, needs.GPU)}
	}
	return smallest
}

// pick returns the best worker for a task, nil if none has room that suits it.
func (sc *Scheduler) pickWorker(now time.Time, t *task, pass *placementPass) *worker {
	needs := t.step.spec.Reservation()
	if pass.isTooLarge(needs) {
		return nil
	}
	var best *worker
	fits := false
	for _, w := range pass.workers {
		if !needs.FitsWithin(w.free()) {
			continue
		}
		fits = true
		if sc.isEligible(now, t, w) && (best == nil || sc.isBetterWorker(t, w, best)) {
			best = w
		}
	}
	if !fits {
		pass.markTooLarge(needs)
	}
	return best
}
