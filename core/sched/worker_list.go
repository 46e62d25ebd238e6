package sched

import (
	"maps"
	"slices"
	"time"
)

// UpdateWorkers applies the platform's list of workers; entries is keyed by worker id. A worker that is no longer listed has left or has
// lost contact with the platform.
func (sc *Scheduler) UpdateWorkers(now time.Time, entries map[string]WorkerEntry) {
	if sc.firstWorkerList.IsZero() {
		sc.firstWorkerList = now
	}
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		sc.updateWorker(now, id, entries[id])
	}
	sc.endSupersededWorkers(now)
	for id := range sc.replacedWorkers {
		if _, listed := entries[id]; !listed {
			delete(sc.replacedWorkers, id)
		}
	}
	for _, w := range slices.Clone(sc.workersByID) {
		if _, listed := entries[w.id]; !listed && w.listed {
			sc.unlistWorker(now, w)
		}
	}
}

func (sc *Scheduler) updateWorker(now time.Time, id string, e WorkerEntry) {
	if incarnation, replaced := sc.replacedWorkers[id]; replaced && (incarnation == 0 || e.Incarnation <= incarnation) {
		return
	}
	w := sc.ensureWorker(id)
	if !w.listed {
		sc.logDecision(now, "worker-listed", "", id, e.Pool)
		w.listed, w.listedAt = true, now
		sc.pollSoon(now, w)
		if w.leasesExpireAt.IsZero() && len(w.runs) > 0 {
			w.leasesExpireAt = now.Add(sc.options.leaseExpiryBound())
		}
		sc.markPoolDirty(e.Pool)
	}
	if e.Incarnation != 0 && w.incarnation != 0 && e.Incarnation > w.incarnation {
		sc.applyRestart(now, w, e.Incarnation)
		w.verified = false
		sc.pollSoon(now, w)
	}
	if w.incarnation == 0 {
		w.incarnation = e.Incarnation
	}
	if e.Draining && !w.entry.Draining {
		sc.logDecision(now, "worker-drains", "", id, e.Remaining.String())
		w.staysUntil = now.Add(e.Remaining)
	}
	w.entry = e
}

// endSupersededWorkers ends the earlier workers of each machine: a machine runs one worker at a time, but the list may
// still contain an earlier one.
func (sc *Scheduler) endSupersededWorkers(now time.Time) {
	latest := make(map[string]int64, len(sc.workersByID))
	for _, w := range sc.workersByID {
		if w.listed {
			latest[w.entry.Machine] = max(latest[w.entry.Machine], w.incarnation)
		}
	}
	for _, w := range slices.Clone(sc.workersByID) {
		if w.listed && w.entry.Machine != "" && w.incarnation != 0 && w.incarnation < latest[w.entry.Machine] {
			sc.replacedWorkers[w.id] = w.incarnation
			sc.removeWorker(now, w, "its machine runs another worker")
		}
	}
}

// unlistWorker marks a worker that has left the list. If it has only lost contact with the platform, its runs go on;
// therefore it is polled until their leases have expired.
func (sc *Scheduler) unlistWorker(now time.Time, w *worker) {
	sc.logDecision(now, "worker-unlisted", "", w.id, "")
	w.listed = false
	sc.removeWorkerIfUnused(w)
}

// HasWorker reports whether the scheduler still keeps the worker: it is listed, has runs, or has a poll in flight.
func (sc *Scheduler) HasWorker(id string) bool {
	_, found := sc.workers[id]
	return found
}
