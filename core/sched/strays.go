package sched

import (
	"time"

	"mangowing/core/setup"
)

// stray is an attempt that a worker runs although it was given up: its start was carried out late, for instance. It is stopped, and
// holds its room until then.
type stray struct {
	needs      setup.Resources
	lastListed time.Time
}

// recordStray counts the room of an attempt that the worker lists and the scheduler has given up. If its size is unknown, it counts
// as the whole worker.
func (sc *Scheduler) recordStray(now time.Time, w *worker, key runKey) {
	needs := w.entry.Capacity
	if j, known := sc.jobs[key.task.Job]; known {
		if t := j.taskByID(key.task); t != nil {
			needs = t.step.spec.Reservation()
		}
	}
	if w.strays == nil {
		w.strays = map[runKey]stray{}
	}
	w.strays[key] = stray{needs, now}
	w.sumStrays()
}

// forgetStrays drops the strays that have ended: a poll sent after the time that a stop takes doesn't list them.
func (sc *Scheduler) forgetStrays(w *worker, sentAt time.Time) {
	for key, s := range w.strays {
		if sentAt.After(s.lastListed.Add(sc.options.StopTimeout + stopListingDelay)) {
			delete(w.strays, key)
		}
	}
	w.sumStrays()
}

// sumStrays updates the room that the worker's strays hold.
func (w *worker) sumStrays() {
	w.strayRoom = setup.Resources{}
	for _, s := range w.strays {
		w.strayRoom = w.strayRoom.Add(s.needs)
	}
}

// fits reports whether everything on the worker fits into its capacity, which may have shrunk.
func (w *worker) fits() bool { return w.used.Add(w.strayRoom).FitsWithin(w.entry.Capacity) }
