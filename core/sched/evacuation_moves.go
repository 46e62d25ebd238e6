package sched

import (
	"cmp"
	"slices"
	"time"

	"mangowing/core/setup"
)

// departures plans which tasks leave evacuated workers in one check, and the room that they take elsewhere.
type departures struct {
	now     time.Time
	taken   map[*worker]setup.Resources
	tasks   map[stepOnWorker]int
	full    map[*step]bool  // steps of which no further task has room
	holding map[string]bool // pools with a worker that is held until it has room
}

func newDepartures(now time.Time) *departures {
	return &departures{now: now, taken: map[*worker]setup.Resources{}, tasks: map[stepOnWorker]int{}, full: map[*step]bool{}, holding: map[string]bool{}}
}

type stepOnWorker struct {
	step   *step
	worker *worker
}

// stopTasksInEvacuation stops tasks in evacuated data centres that can go on elsewhere: long-running ones within their step's MaxUnavailable,
// and those that save their progress. Workers with room for long-running tasks are held for them, since other tasks would fill the
// room before they have ended.
func (sc *Scheduler) stopTasksInEvacuation(now time.Time) {
	if sc.evacuations.IsEmpty() && !sc.evacuations.holdsFor {
		return
	}
	for _, w := range sc.workersByID {
		w.held = false
	}
	sc.evacuations.holdsFor = !sc.evacuations.IsEmpty()
	if sc.evacuations.IsEmpty() {
		return
	}
	d := newDepartures(now)
	sc.reserveForWaiting(d)
	runs := sc.runsInEvacuation()
	for _, r := range runs {
		if r.spec().LongRunning {
			sc.departLongRunning(d, r)
		}
	}
	for _, r := range runs {
		if !r.spec().LongRunning {
			sc.departCheckpointed(d, r)
		}
	}
	sc.reportEmptied(now)
}

// runsInEvacuation returns the runs on evacuated workers that answer, gangs not included: all tasks of a gang would have to leave at once.
func (sc *Scheduler) runsInEvacuation() []*run {
	var runs []*run
	for _, w := range sc.workersByID {
		if !w.evacuated || !w.answers() {
			continue
		}
		for _, r := range w.runList {
			if !r.spec().Gang && (r.phase == runConfirmed || r.stopping) && r.task.job().isOpen() {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// reserveForWaiting sets aside the room that waiting long-running tasks take before any other task.
func (sc *Scheduler) reserveForWaiting(d *departures) {
	for _, p := range sc.poolOrder {
		var steps []*step
		for s := range p.waitingSteps {
			if s.spec.LongRunning && !s.spec.Gang && s.spec.Reservation() != (setup.Resources{}) {
				steps = append(steps, s)
			}
		}
		slices.SortFunc(steps, func(a, b *step) int {
			return cmp.Or(cmp.Compare(a.job().spec.ID, b.job().spec.ID), cmp.Compare(a.round.number, b.round.number), cmp.Compare(a.number, b.number))
		})
		for _, s := range steps {
			for t := range s.openTasks() {
				if d.full[s] {
					break
				}
				if t.isWaiting() {
					sc.hold(d, t, sc.destination(d, t))
				}
			}
		}
	}
}

// departLongRunning stops a long-running task if a worker has room for it and its step can spare it. If none has, one worker of the pool is held
// until it has.
func (sc *Scheduler) departLongRunning(d *departures, r *run) {
	s := r.task.step
	canSpare := s.spec.MaxUnavailable == 0 || s.countUnavailable() < s.spec.MaxUnavailable
	if !r.stopping && !canSpare {
		return
	}
	to := sc.destination(d, r.task)
	if to == nil {
		sc.holdNextDestination(d, r.task)
		return
	}
	sc.hold(d, r.task, to)
	sc.depart(d.now, r)
}

// departCheckpointed stops a task that saves its progress if another worker has room that no waiting task takes. One that is about to end stays.
func (sc *Scheduler) departCheckpointed(d *departures, r *run) {
	remaining := r.expectedEnd(d.now).Sub(d.now)
	isEnding := remaining > 0 && remaining <= minPreemptRemaining
	pool := sc.currentPool(r.task.job())
	if !r.spec().Checkpoints || r.stopping || isEnding || len(sc.ensurePool(pool).waitingSteps) > 0 {
		return
	}
	if to := sc.destination(d, r.task); to != nil {
		d.take(r.task, to)
		sc.depart(d.now, r)
	}
}

func (sc *Scheduler) depart(now time.Time, r *run) {
	if r.stopping {
		return
	}
	sc.logDecision(now, "task-leaves-evacuated", r.task.id().String(), r.worker.id, r.worker.entry.DataCentre)
	sc.stopRun(now, r)
}

// hold sets room for the task aside on the worker, which takes no other tasks meanwhile. It does nothing if the worker is nil.
func (sc *Scheduler) hold(d *departures, t *task, w *worker) {
	if w != nil {
		w.held = true
		d.take(t, w)
	}
}

// take records that the task will use room of the worker.
func (d *departures) take(t *task, w *worker) {
	d.taken[w] = d.taken[w].Add(t.step.spec.Reservation())
	d.tasks[stepOnWorker{t.step, w}]++
}

// destination returns the best worker that has room for the task now, nil if there is none.
func (sc *Scheduler) destination(d *departures, t *task) *worker {
	if d.full[t.step] {
		return nil
	}
	var best *worker
	pool := sc.currentPool(t.job())
	for _, w := range sc.workersByID {
		if w.entry.Pool == pool && sc.couldRunOn(d, t, w) && t.step.spec.Reservation().FitsWithin(w.free().Sub(d.taken[w])) && (best == nil || sc.isBetterWorker(t, w, best)) {
			best = w
		}
	}
	d.full[t.step] = best == nil
	return best
}

// holdNextDestination holds the worker with the least batch work that has room for the task once that has ended. One worker of a pool is held
// at a time.
func (sc *Scheduler) holdNextDestination(d *departures, t *task) {
	pool := sc.currentPool(t.job())
	if d.holding[pool] {
		return
	}
	var best *worker
	for _, w := range sc.workersByID {
		if w.entry.Pool != pool || !sc.couldRunOn(d, t, w) {
			continue
		}
		room := w.free().Sub(d.taken[w])
		for _, r := range w.runList {
			if !r.spec().LongRunning {
				room = room.Add(r.spec().Reservation())
			}
		}
		if t.step.spec.Reservation().FitsWithin(room) && (best == nil || w.batchCores() < best.batchCores()) {
			best = w
		}
	}
	if best != nil {
		d.holding[pool], best.held = true, true
	}
}

// couldRunOn reports whether the task could be placed on the worker, leaving aside room and tickets, which are only requested for waiting tasks.
func (sc *Scheduler) couldRunOn(d *departures, t *task, w *worker) bool {
	s := t.step
	switch {
	case !w.isSchedulable(d.now) || w.hasRecentFaults(d.now) || t.runsOn(w):
		return false
	case !w.hasLabel(s.spec.Label):
		return false
	case s.spec.MaxPerWorker > 0 && s.runsByWorker[w.id]+d.tasks[stepOnWorker{s, w}] >= s.spec.MaxPerWorker:
		return false
	default:
		return !sc.queueOf(s).Advice.IsRequired() || !s.isUnapproved(w)
	}
}

// canLeave reports whether another worker has room for the run's task now.
func (sc *Scheduler) canLeave(now time.Time, r *run) bool {
	return sc.destination(newDepartures(now), r.task) != nil
}
