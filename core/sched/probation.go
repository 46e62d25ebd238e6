package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A suspect of a crash has cleared itself on its next worker after this time. No other attempt starts there until then.
	probationTime = 200 * time.Millisecond
	// A crashed worker counts against its pool's probationSlots for this long.
	crashRecoveryTime = 3500 * time.Millisecond
	// The workers that run suspects on probation and those that have crashed lately are at most this share of a pool.
	maxProbationShare = 1.0 / 2
	// The same while no other tasks wait in the pool.
	maxUncontendedShare = 0.9
)

// isSuspect reports whether the task may crash the worker that starts it next. The tasks of a gang can't run alone, so they are never
// put on probation.
func (t *task) isSuspect() bool {
	if t.step.spec.Gang {
		return false
	}
	return t.crashes.isSuspect() || slices.ContainsFunc(t.runs, (*run).isDoubtful)
}

// isOnProbation reports whether the worker runs a suspect that has not cleared itself yet.
func (w *worker) isOnProbation(now time.Time) bool {
	r := w.suspect
	return r != nil && (r.phase != runConfirmed || now.Sub(r.startedAt) < probationTime)
}

// isSettled reports whether a crash of the worker would not be blamed on any of its present runs.
func (w *worker) isSettled(now time.Time) bool {
	for _, r := range w.runList {
		if r.isYoung(now) {
			return false
		}
	}
	return true
}

// maxYoungRuns is how many attempts may start on a worker at about the same time while workers of its pool crash, so that a crash
// leaves few suspects.
const maxYoungRuns = 2

// hasRoomForYoung reports whether another attempt may start on the worker now, given that workers of its pool crash.
func (w *worker) hasRoomForYoung(now time.Time) bool {
	n := 0
	for _, r := range w.runList {
		if r.isYoung(now) {
			n++
		}
	}
	return n < maxYoungRuns
}

// mayStart reports whether an attempt may start on the worker now without blurring the cause of a crash there. A suspect starts where
// nothing else would be blamed, another task where there are few young attempts while workers of the pool crash.
func (w *worker) mayStart(now time.Time, isSuspect, isCrashing bool) bool {
	if isSuspect {
		return w.isSettled(now)
	}
	return !w.reserved && (!isCrashing || w.hasRoomForYoung(now))
}

// isYoung reports whether the run would be a suspect if its worker crashed now.
func (r *run) isYoung(now time.Time) bool {
	return r.phase != runConfirmed || !r.inherited && now.Sub(r.startedAt) < crashSuspectAge
}

// recordCrash remembers the time of a crash that was blamed on tasks.
func (p *pool) recordCrash(now time.Time) {
	p.crashes = append(p.forgetCrashes(now), now)
}

// forgetCrashes drops the crashes that are longer ago than crashRecoveryTime, and returns the others.
func (p *pool) forgetCrashes(now time.Time) []time.Time {
	p.crashes = slices.DeleteFunc(p.crashes, func(at time.Time) bool { return now.Sub(at) >= crashRecoveryTime })
	return p.crashes
}

// isCrashing reports whether several crashes were blamed on the pool's tasks lately.
func (p *pool) isCrashing(now time.Time) bool {
	const several = 2
	return len(p.crashes) >= several && now.Sub(p.crashes[len(p.crashes)-several]) < crashRecoveryTime
}

// probationSlots returns how many more suspects the pool may start now. One may be on probation however many workers have crashed.
func (sc *Scheduler) probationSlots(now time.Time, p *pool) int {
	workers, onProbation := 0, 0
	for _, w := range sc.workersByID {
		if w.entry.Pool != p.name || !w.listed {
			continue
		}
		workers++
		if w.isOnProbation(now) {
			onProbation++
		}
	}
	crashed := len(p.forgetCrashes(now))
	share := maxProbationShare
	if p.hasOnlySuspectsWaiting() {
		share = maxUncontendedShare
	}
	slots := int(share*float64(workers+crashed)) - crashed
	return max(1, slots) - onProbation
}

// waitingSuspects returns how many suspects wait in the pool.
func (p *pool) waitingSuspects() int {
	n := 0
	for s := range p.waitingSteps {
		if s.suspects == 0 {
			continue
		}
		for _, t := range s.tasks {
			if t.isWaiting() && t.isSuspect() {
				n++
			}
		}
	}
	return n
}

// hasOnlySuspectsWaiting reports whether all waiting tasks of the pool are suspects.
func (p *pool) hasOnlySuspectsWaiting() bool {
	n := 0
	for s := range p.waitingSteps {
		n += s.waitingTasks
	}
	return n == p.waitingSuspects()
}

// suspectsPerMachine is how many waiting suspects justify one more machine for their pool.
const suspectsPerMachine = 3

// machinesForSuspects returns how many more machines the pool needs so that its suspects don't wait long for their probation.
func (sc *Scheduler) machinesForSuspects(pool string) int {
	p, found := sc.pools[pool]
	if !found {
		return 0
	}
	return (p.waitingSuspects() + suspectsPerMachine - 1) / suspectsPerMachine
}

// reserveForSuspects keeps workers free of new tasks so that waiting suspects can start there, those with the fewest runs first.
func (sc *Scheduler) reserveForSuspects(now time.Time) {
	for _, p := range sc.poolOrder {
		wanted := 0
		if suspects := p.waitingSuspects(); suspects > 0 {
			wanted = min(suspects, sc.probationSlots(now, p))
		}
		if wanted <= 0 && !p.hasReserved {
			continue
		}
		p.hasReserved = wanted > 0
		candidates := sc.workersToReserve(now, p.name)
		for _, w := range sc.workersByID {
			if w.entry.Pool == p.name {
				w.reserved = false
			}
		}
		for _, w := range candidates[:max(0, min(wanted, len(candidates)))] {
			w.reserved = true
		}
	}
}

// workersToReserve returns the pool's workers that take new tasks, those to be reserved first at the front.
func (sc *Scheduler) workersToReserve(now time.Time, pool string) []*worker {
	workers := sc.schedulableWorkers(pool, now)
	slices.SortStableFunc(workers, func(a, b *worker) int {
		return cmp.Or(compareTrueFirst(a.reserved, b.reserved), compareForSuspect(a, b))
	})
	return workers
}

// compareForSuspect orders the worker first that loses the least if it crashes.
func compareForSuspect(a, b *worker) int {
	return cmp.Or(compareTrueFirst(!a.hasLongRunning(), !b.hasLongRunning()), cmp.Compare(len(a.runs), len(b.runs)))
}
