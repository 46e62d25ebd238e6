package sched

import (
	"maps"
	"slices"
	"time"
)

// UpdateWorkers applies the platform's list of workers; entries is keyed by worker id. A worker that is no longer listed has left or has
// lost contact with the platform. Entries of pools that are not declared are left aside until they are.
func (sc *Scheduler) UpdateWorkers(now time.Time, entries map[string]WorkerEntry) {
	if sc.firstWorkerList.IsZero() {
		sc.firstWorkerList = now
	}
	sc.workerList = entries
	for _, id := range slices.Sorted(maps.Keys(entries)) {
		if sc.isUsable(entries[id]) {
			sc.updateWorker(now, id, entries[id])
		}
	}
	for id := range sc.replacedWorkers {
		if _, listed := entries[id]; !listed {
			delete(sc.replacedWorkers, id)
		}
	}
	for _, w := range slices.Clone(sc.workersByID) {
		if e, listed := entries[w.id]; w.listed && !(listed && sc.isUsable(e)) {
			sc.unlistWorker(now, w)
		}
	}
	sc.findSharedMachines(now)
}

// isUsable reports whether the entry is of a declared pool. Before there is a configuration, every pool counts as declared.
func (sc *Scheduler) isUsable(e WorkerEntry) bool {
	_, declared := sc.cfg.Pool(e.Pool)
	return declared || sc.cfg.Version() == 0
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
		sc.allowForFormerIncarnation(now, w, e.Incarnation)
		sc.restoreFormerLeases(now, w)
		sc.markPoolDirty(e.Pool)
	}
	isKnown := e.Incarnation == 0 || w.incarnation == 0 || e.Incarnation == w.incarnation || e.Incarnation == w.entry.Incarnation
	switch {
	case isKnown:
	case e.Incarnation > w.incarnation:
		sc.applyRestart(now, w, e.Incarnation, "its entry")
		w.verified = false
		sc.pollSoon(now, w)
	default:
		// It is out of date, or the worker's clock has been set back.
		sc.distrust(now, w)
	}
	if w.incarnation == 0 {
		w.setIncarnation(now, e.Incarnation)
	}
	if e.Draining && !w.entry.Draining {
		sc.logDecision(now, "worker-drains", "", id, e.Remaining.String())
		w.staysUntil = now.Add(e.Remaining)
	}
	if e.Address != w.entry.Address {
		w.addressSince = now
	}
	w.entry = e
	sc.updateEvacuated(now, w)
}

// findSharedMachines finds the machines for which several workers are listed. A machine runs one worker at a time, but the list
// may still contain an earlier one, and an entry alone proves nothing: it may come from another writer. So a worker gets no new
// tasks until it has answered again once a later one is listed for its machine.
func (sc *Scheduler) findSharedMachines(now time.Time) {
	before := sc.sharedMachines
	sc.sharedMachines = map[string][]*worker{}
	first := make(map[string]*worker, len(sc.workersByID))
	for _, w := range sc.workersByID {
		machine := w.entry.Machine
		if !w.listed || machine == "" {
			continue
		}
		other, isShared := first[machine]
		if !isShared {
			first[machine] = w
			continue
		}
		if len(sc.sharedMachines[machine]) == 0 {
			sc.sharedMachines[machine] = []*worker{other}
		}
		sc.sharedMachines[machine] = append(sc.sharedMachines[machine], w)
	}
	for machine, workers := range sc.sharedMachines {
		sc.verifyPredecessors(now, workers, before[machine])
	}
}

// verifyPredecessors has each worker polled anew that a later one succeeds on its machine, unless that one was known before.
func (sc *Scheduler) verifyPredecessors(now time.Time, workers, knownBefore []*worker) {
	for _, w := range workers {
		isNewSuccessor := func(other *worker) bool { return other.succeeds(w) && !slices.Contains(knownBefore, other) }
		if slices.ContainsFunc(workers, isNewSuccessor) {
			w.verified = false
			sc.pollSoon(now, w)
		}
	}
}

// succeeds reports whether the worker, listed for the same machine as the other one, was started later.
func (w *worker) succeeds(other *worker) bool {
	return other.incarnation != 0 && other.incarnation < w.incarnation
}

// endSupersededWorkers ends the workers that don't answer while a later worker of their machine does.
func (sc *Scheduler) endSupersededWorkers(now time.Time) {
	for _, workers := range sc.sharedMachines {
		for _, w := range workers {
			isSuccessor := func(other *worker) bool { return other.succeeds(w) && other.answers() }
			if w.listed && w.unanswered > 0 && slices.ContainsFunc(workers, isSuccessor) {
				sc.replacedWorkers[w.id] = w.incarnation
				sc.crashWorker(now, w, "its machine runs another worker")
			}
		}
	}
}

// unlistWorker marks a worker that has left the list. If it has only lost contact with the platform, its runs go on;
// therefore it is polled until their leases have expired.
func (sc *Scheduler) unlistWorker(now time.Time, w *worker) {
	sc.logDecision(now, "worker-unlisted", "", w.id, "")
	w.listed = false
	sc.removeWorkerIfUnused(now, w)
}

// HasWorker reports whether the scheduler still keeps the worker: it is listed, has runs, or has a poll in flight.
func (sc *Scheduler) HasWorker(id string) bool {
	_, found := sc.workers[id]
	return found
}
