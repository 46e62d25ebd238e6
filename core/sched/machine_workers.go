package sched

import "time"

// listedWorkersByMachine returns the workers in the worker list, grouped by machine.
func (sc *Scheduler) listedWorkersByMachine() map[string][]*worker {
	byMachine := make(map[string][]*worker, len(sc.workersByID))
	for _, w := range sc.workersByID {
		if w.listed {
			byMachine[w.entry.Machine] = append(byMachine[w.entry.Machine], w)
		}
	}
	return byMachine
}

// removeReplacedWorkers removes the silent workers of a machine that runs another worker by now, and ends the incarnations of those of a
// machine that runs none: it may start the same worker again.
func (sc *Scheduler) removeReplacedWorkers(now, requestedAt time.Time, e MachineEntry, workers []*worker) {
	for _, w := range workers {
		listedLongEnough := requestedAt.Sub(w.listedAt) > machineListLag
		if w.unanswered >= silentThreshold && w.id != e.Worker && listedLongEnough {
			sc.replacedWorkers[w.id] = w.incarnation
			if e.Worker == "" {
				sc.endIncarnation(now, w, "its machine runs no worker")
				continue
			}
			sc.crashWorker(now, w, "its machine no longer runs it")
		}
	}
}

// workersByMachine returns each machine's worker: a listed one if there is any, else one that still has runs.
func (sc *Scheduler) workersByMachine() map[string]*worker {
	byMachine := make(map[string]*worker, len(sc.workers))
	for _, w := range sc.workersByID {
		if w.entry.Machine == "" || !w.listed && len(w.runs) == 0 {
			continue
		}
		if known := byMachine[w.entry.Machine]; known == nil || w.ranksBefore(known) {
			byMachine[w.entry.Machine] = w
		}
	}
	return byMachine
}
