package sched

import (
	"slices"
	"time"

	"mangowing/core/setup"
)

// placementPass is one pass over a pool's waiting tasks. No run ends during a pass, so a size that fits on no worker once
// does not fit until the pass is over.
type placementPass struct {
	pool       *pool
	workers    []*worker
	tooLarge   []setup.Resources // sizes that fit on no worker; none is at least as large as another in all resources
	isCrashing bool              // workers of the pool have crashed lately
	slots      int               // suspects of crashes that may still start, valid if slotsKnown
	slotsKnown bool
	locality   localityPass
}

// isTooLarge reports whether the size is already known to fit on no worker.
func (p *placementPass) isTooLarge(needs setup.Resources) bool {
	return slices.ContainsFunc(p.tooLarge, func(size setup.Resources) bool { return size.FitsWithin(needs) })
}

// markTooLarge records that the size fits on no worker. It replaces recorded sizes that are larger.
func (p *placementPass) markTooLarge(needs setup.Resources) {
	p.tooLarge = slices.DeleteFunc(p.tooLarge, func(size setup.Resources) bool { return needs.FitsWithin(size) })
	p.tooLarge = append(p.tooLarge, needs)
}

// newPass returns a pass with the pool's schedulable workers that have room for the smallest waiting tasks.
func (sc *Scheduler) newPass(p *pool, now time.Time) *placementPass {
	smallest := p.minNeeds()
	pass := &placementPass{pool: p, isCrashing: p.isCrashing(now)}
	for _, w := range sc.workersByID {
		if w.entry.Pool == p.name && smallest.FitsWithin(w.free()) && w.isSchedulable(now) {
			pass.workers = append(pass.workers, w)
		}
	}
	return pass
}

// hasRoomFor reports whether the workers have enough free cores for all waiting tasks of the candidates.
func (p *placementPass) hasRoomFor(class []candidate) bool {
	room := 0.0
	for _, w := range p.workers {
		room += w.free().Cores()
	}
	for _, c := range class {
		room -= float64(c.step.waitingTasks) * c.step.spec.Reservation().Cores()
	}
	return room >= 0
}

// minNeeds returns, for each resource separately, the least that a waiting task of the pool needs.
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

// pickWorker returns the best worker for a task, nil if none is eligible and has room.
func (sc *Scheduler) pickWorker(now time.Time, t *task, pass *placementPass) *worker {
	needs := t.step.spec.Reservation()
	isSuspect := t.isSuspect()
	if pass.isTooLarge(needs) || isSuspect && sc.isolationSlotsLeft(now, pass) <= 0 {
		return nil
	}
	var best *worker
	fits := false
	for _, w := range pass.workers {
		if !needs.FitsWithin(w.free()) {
			continue
		}
		fits = true
		if w.held && !t.step.spec.LongRunning || !w.mayStart(now, isSuspect, pass.isCrashing) || !sc.isEligible(now, t, w) {
			continue
		}
		if best == nil || isSuspect && compareForSuspect(w, best) < 0 || !isSuspect && sc.isBetterWorker(t, w, best) {
			best = w
		}
	}
	if !fits {
		pass.markTooLarge(needs)
	}
	if best != nil && isSuspect {
		pass.slots--
	}
	return best
}

// isolationSlotsLeft returns how many more suspects may start in this pass.
func (sc *Scheduler) isolationSlotsLeft(now time.Time, pass *placementPass) int {
	if !pass.slotsKnown {
		pass.slots, pass.slotsKnown = sc.isolationSlots(now, pass.pool), true
	}
	return pass.slots
}
