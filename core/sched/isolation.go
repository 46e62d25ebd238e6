package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A suspect of a crash has cleared itself on its next worker after this time. No other attempt starts there until then.
	isolationTime = 200 * time.Millisecond
	// A crashed worker counts against its pool's isolationSlots for this long.
	crashRecoveryTime = 3500 * time.Millisecond
	// The workers that run suspects isolated and those that have crashed lately are at most this share of a pool.
	maxIsolationShare = 1.0 / 2
	// The same while no other tasks wait in the pool.
	maxUncontendedShare = 0.9
	// While workers of a pool crash, this many attempts start on a worker at about the same time, so that a crash leaves few suspects.
	maxRecentRuns = 2
	// This many waiting suspects justify one more machine for their pool.
	suspectsPerMachine = 3
)

// isSuspect reports whether the task may crash the worker that starts it next. The tasks of a gang can't run alone, so they are never
// isolated.
func (t *task) isSuspect() bool {
	if t.step.spec.Gang {
		return false
	}
	return t.crashes.isSuspect() || slices.ContainsFunc(t.runs, (*run).isDoubtful)
}

// isIsolating reports whether the worker runs a suspect that has not cleared itself yet.
func (w *worker) isIsolating(now time.Time) bool {
	r := w.suspect
	return r != nil && (r.phase != runConfirmed || now.Sub(r.startedAt) < isolationTime)
}

// isSettled reports whether a crash of the worker would not be blamed on any of its present runs.
func (w *worker) isSettled(now time.Time) bool {
	for _, r := range w.runList {
		if r.isRecent(now) {
			return false
		}
	}
	return true
}

// hasFewRecentRuns reports whether another attempt may start on the worker now, given that workers of its pool crash.
func (w *worker) hasFewRecentRuns(now time.Time) bool {
	n := 0
	for _, r := range w.runList {
		if r.isRecent(now) {
			n++
		}
	}
	return n < maxRecentRuns
}

// mayStart reports whether an attempt may start on the worker now without blurring the cause of a crash there. A suspect starts where
// nothing else would be blamed, another task where there are few recent attempts while workers of the pool crash.
func (w *worker) mayStart(now time.Time, isSuspect, isCrashing bool) bool {
	if isSuspect {
		return w.isSettled(now)
	}
	return !w.reserved && (!isCrashing || w.hasFewRecentRuns(now))
}

// isRecent reports whether the run would be a suspect if its worker crashed now.
func (r *run) isRecent(now time.Time) bool {
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

// isolationSlots returns how many more suspects the pool may start now. One may be isolated however many workers have crashed.
func (sc *Scheduler) isolationSlots(now time.Time, p *pool) int {
	workers, isolating := 0, 0
	for _, w := range sc.workersByID {
		if w.entry.Pool != p.name || !w.listed {
			continue
		}
		if !w.evacuated {
			workers++
		}
		if w.isIsolating(now) {
			isolating++
		}
	}
	crashed := len(p.forgetCrashes(now))
	share := maxIsolationShare
	if p.hasOnlySuspectsWaiting() {
		share = maxUncontendedShare
	}
	slots := int(share*float64(workers+crashed)) - crashed
	return max(1, slots) - isolating
}

// waitingSuspects returns how many suspects wait in the pool.
func (p *pool) waitingSuspects() int {
	n := 0
	for s := range p.waitingSteps {
		n += s.waitingSuspects()
	}
	return n
}

// startableSuspects returns how many of the suspects that wait in the pool could start if a worker were free for them.
func (sc *Scheduler) startableSuspects(p *pool) int {
	n := 0
	for s := range p.waitingSteps {
		if suspects := s.waitingSuspects(); suspects > 0 && sc.fitsTeamLimit(s, 1) && sc.hasWorkerFor(p, s) {
			n += suspects
		}
	}
	return n
}

// hasWorkerFor reports whether a worker of the pool could run a task of the step if nothing else ran there.
func (sc *Scheduler) hasWorkerFor(p *pool, s *step) bool {
	return slices.ContainsFunc(sc.workersByID, func(w *worker) bool {
		return w.entry.Pool == p.name && !w.evacuated && w.hasLabel(s.spec.Label) && s.spec.Reservation().FitsWithin(w.entry.Capacity)
	})
}

// waitingSuspects returns how many of the step's waiting tasks are suspects.
func (s *step) waitingSuspects() int {
	if s.suspects == 0 {
		return 0
	}
	n := 0
	for t := range s.tasks() {
		if t.isWaiting() && t.isSuspect() {
			n++
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

// machinesForSuspects returns how many more machines the pool needs so that its suspects don't wait long for a worker of their own.
func (sc *Scheduler) machinesForSuspects(pool string) int {
	p, found := sc.pools[pool]
	if !found {
		return 0
	}
	return (sc.startableSuspects(p) + suspectsPerMachine - 1) / suspectsPerMachine
}

// reserveForSuspects keeps workers free of new tasks so that waiting suspects can start there, those with the fewest runs first.
func (sc *Scheduler) reserveForSuspects(now time.Time) {
	for _, p := range sc.poolOrder {
		wanted := 0
		if suspects := sc.startableSuspects(p); suspects > 0 {
			wanted = min(suspects, sc.isolationSlots(now, p))
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
