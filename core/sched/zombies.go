package sched

import (
	"time"

	"mangowing/core/setup"
)

// zombie is an attempt that a worker runs although it was given up: its start was carried out late, for instance. It is stopped, and
// holds its room until then.
type zombie struct {
	needs        setup.Resources
	missingSince time.Time // when the first answer arrived that didn't list it any more, zero if the last one did
}

// recordZombie counts the room of an attempt that the worker lists and the scheduler has given up. If its size is unknown, it counts
// as the whole worker.
func (sc *Scheduler) recordZombie(w *worker, key runKey) {
	needs := w.entry.Capacity
	if j, known := sc.jobs[key.task.Job]; known && j.spec.hasTask(key.task) {
		needs = j.spec.Steps[key.task.Step].Reservation()
	}
	if w.zombies == nil {
		w.zombies = map[runKey]zombie{}
	}
	w.zombies[key] = zombie{needs: needs}
	w.sumZombies()
}

// forgetZombies drops the zombies that have ended: a poll sent later than a stop takes after the first answer that lacked them does not
// list them either.
func (sc *Scheduler) forgetZombies(now time.Time, w *worker, listed map[runKey]bool, sentAt time.Time) {
	for key, z := range w.zombies {
		switch {
		case listed[key]:
		case z.missingSince.IsZero():
			z.missingSince = now
			w.zombies[key] = z
		case sentAt.After(z.missingSince.Add(sc.options.stopBound())):
			delete(w.zombies, key)
		}
	}
	w.sumZombies()
}

// sumZombies updates the room that the worker's zombies hold.
func (w *worker) sumZombies() {
	w.zombieRoom = setup.Resources{}
	for _, s := range w.zombies {
		w.zombieRoom = w.zombieRoom.Add(s.needs)
	}
}

// fits reports whether everything on the worker fits into its capacity, which may have shrunk.
func (w *worker) fits() bool { return w.used.Add(w.zombieRoom).FitsWithin(w.entry.Capacity) }
