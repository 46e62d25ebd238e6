package sched

import (
	"maps"
	"slices"
	"time"
)

// ListWorkers notes the workers that the platform lists; those that are not among them have left or lost touch.
func (m *Machine) ListWorkers(now time.Time, entries map[string]WorkerEntry) {
	if m.workersListed.IsZero() {
		m.workersListed = now
	}
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		m.listWorker(now, id, entries[id])
	}
	m.endEarlierLives(now)
	for id := range m.departed {
		if _, listed := entries[id]; !listed {
			delete(m.departed, id)
		}
	}
	for _, w := range slices.Clone(m.byID) {
		if _, listed := entries[w.id]; !listed && w.listed {
			m.unlist(now, w)
		}
	}
}

func (m *Machine) listWorker(now time.Time, id string, e WorkerEntry) {
	if born, left := m.departed[id]; left && (born == 0 || e.Born <= born) {
		return
	}
	w := m.workerOf(id)
	if !w.listed {
		m.decide(now, "worker-listed", "", id, e.Pool)
		w.listed, w.listedAt = true, now
		m.lookSoon(now, w)
		if w.lapse.IsZero() && len(w.runs) > 0 {
			w.lapse = now.Add(m.options.lapseAfter())
		}
		m.wake(e.Pool)
	}
	if e.Born != 0 && w.born != 0 && e.Born > w.born {
		m.reborn(now, w, e.Born)
		w.verified = false
		m.lookSoon(now, w)
	}
	if w.born == 0 {
		w.born = e.Born
	}
	if e.Draining && !w.entry.Draining {
		m.decide(now, "worker-drains", "", id, e.Remaining.String())
		w.leaves = now.Add(e.Remaining)
	}
	w.entry = e
}

// endEarlierLives notes that the earlier workers of all machines are gone: a machine runs one at a time.
func (m *Machine) endEarlierLives(now time.Time) {
	latest := make(map[string]int64, len(m.byID))
	for _, w := range m.byID {
		if w.listed {
			latest[w.entry.Machine] = max(latest[w.entry.Machine], w.born)
		}
	}
	for _, w := range slices.Clone(m.byID) {
		if w.listed && w.entry.Machine != "" && w.born != 0 && w.born < latest[w.entry.Machine] {
			m.departed[w.id] = w.born
			m.gone(now, w, "its machine runs another worker")
		}
	}
}

// unlist notes that a worker has left the list. What runs there may go on, if the worker only lost touch with the
// platform; it is asked until its leases have lapsed.
func (m *Machine) unlist(now time.Time, w *worker) {
	m.decide(now, "worker-unlisted", "", w.id, "")
	w.listed = false
	m.dropUnused(w)
}

// Knows tells whether the machine still deals with the worker.
func (m *Machine) Knows(id string) bool {
	_, found := m.workers[id]
	return found
}
