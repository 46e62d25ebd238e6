package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// An unanswered order to a machine may still take effect for this long.
	machineOrderTimeout = 4 * time.Second
	// Time between the end of a move or maintenance and the listing of the machine's new worker.
	workerJoinDelay = 400 * time.Millisecond
	// For this long the machine list may still name a machine's previous worker.
	machineListLag = 2 * time.Second
	// Time that the platform adds to the duration of a move.
	moveOverhead = 100 * time.Millisecond
)

// machine is a VM of the fleet and the last order sent to it. It runs a new worker after each move or maintenance.
type machine struct {
	entry           MachineEntry // as listed when no order was in flight
	listedState     MachineState // as last listed
	targetPool      string       // pool that it was ordered to move to, empty if it is not moving
	maintenanceWave int64        // wave that it was ordered down for, 0 for none
	orderedAt       time.Time    // when the last order was sent, zero if none is open
	confirmedAt     time.Time    // when the answer confirmed the order, which may have taken effect earlier
	backoffUntil    time.Time    // it refused an order; no new one until then
}

// hasOrderInFlight reports whether an order to the machine may not be complete yet.
func (m *machine) hasOrderInFlight(now time.Time, o Options) bool {
	switch {
	case m.orderedAt.IsZero():
		return false
	case m.confirmedAt.IsZero():
		return now.Sub(m.orderedAt) < machineOrderTimeout
	case m.maintenanceWave != 0:
		// UpdateMachines clears the order once the machine is listed as up again.
		return true
	default:
		return now.Sub(m.confirmedAt) < o.MigrationDuration+moveOverhead
	}
}

// UpdateMachines applies the platform's list of all machines, which was requested at requestedAt.
func (sc *Scheduler) UpdateMachines(now, requestedAt time.Time, entries []MachineEntry) {
	listed := map[string]bool{}
	workersByMachine := sc.listedWorkersByMachine()
	for _, e := range entries {
		listed[e.ID] = true
		m, found := sc.machines[e.ID]
		if !found {
			m = &machine{}
			sc.machines[e.ID] = m
			if wave := sc.maintenanceOrders[e.ID]; wave != 0 {
				// The previous owner ordered it down, and this owner does not know the answer.
				m.entry, m.maintenanceWave, m.orderedAt = e, wave, now
			}
		}
		m.listedState = e.State
		sc.removeReplacedWorkers(now, requestedAt, e, workersByMachine[e.ID])
		if !m.confirmedAt.IsZero() && requestedAt.After(m.confirmedAt) {
			sc.verifyOrderEffect(now, m, e, workersByMachine[e.ID])
		}
		maintenanceOver := m.maintenanceWave != 0 && !m.confirmedAt.IsZero() && requestedAt.Sub(m.confirmedAt) >= sc.options.MaintenanceDuration
		if maintenanceOver && e.State == MachineUp {
			m.clearOrder()
		}
		if !m.hasOrderInFlight(now, sc.options) {
			m.entry = e
		}
	}
	for id := range sc.machines {
		if !listed[id] {
			delete(sc.machines, id)
		}
	}
	sc.machinesByID = slices.SortedFunc(maps.Values(sc.machines), func(a, b *machine) int {
		return cmp.Compare(a.entry.ID, b.entry.ID)
	})
	sc.lastMachineList = now
}

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

// removeReplacedWorkers removes the silent workers of a machine that runs another worker, or none, by now.
func (sc *Scheduler) removeReplacedWorkers(now, requestedAt time.Time, e MachineEntry, workers []*worker) {
	for _, w := range workers {
		listedLongEnough := requestedAt.Sub(w.listedAt) > machineListLag
		if w.unanswered >= silentThreshold && w.id != e.Worker && listedLongEnough {
			sc.replacedWorkers[w.id] = w.incarnation
			sc.removeWorker(now, w, "its machine no longer runs it")
		}
	}
}

// clearOrder marks the machine as having no order.
func (m *machine) clearOrder() {
	m.targetPool, m.maintenanceWave, m.orderedAt, m.confirmedAt = "", 0, time.Time{}, time.Time{}
}

// verifyOrderEffect removes the cordoned workers of a machine once a list that was requested after the order's answer shows
// that it went down or moved. The answer alone does not prove this: it is also OK if an earlier order had already done so.
// If the machine still runs the worker, the worker is uncordoned.
func (sc *Scheduler) verifyOrderEffect(now time.Time, m *machine, e MachineEntry, workers []*worker) {
	for _, w := range workers {
		if !w.listed || !w.cordoned {
			continue
		}
		if e.State == MachineUp && e.Worker == w.id {
			sc.logDecision(now, "machine-not-taken", "", e.ID, "an earlier order had already been carried out")
			sc.uncordonMachine(e.ID)
			m.clearOrder()
			return
		}
		sc.replacedWorkers[w.id] = w.incarnation
		sc.removeWorker(now, w, "its machine was moved or maintained")
	}
}

// finishMachineOrders assigns moved machines to their new pool without waiting for the next list, and repeats unanswered
// maintenance orders.
func (sc *Scheduler) finishMachineOrders(now time.Time, byMachine map[string]*worker) {
	sc.machinesArriving = false
	for _, m := range sc.machinesByID {
		w := byMachine[m.entry.ID]
		if m.hasOrderInFlight(now, sc.options) {
			sc.machinesArriving = true
			if w != nil && m.confirmedAt.IsZero() {
				// The order may be the previous owner's, and this owner has learned of the worker's runs since.
				w.markMachineLeaving()
			}
			continue
		}
		if !m.confirmedAt.IsZero() && m.targetPool != "" {
			m.entry.Pool = m.targetPool
		}
		if m.maintenanceWave != 0 {
			if w != nil {
				w.unmarkMachineLeaving()
			}
			sc.retryMaintenance(now, m, w)
			continue
		}
		if !m.orderedAt.IsZero() {
			sc.uncordonMachine(m.entry.ID)
		}
		m.clearOrder()
	}
}

// planMachines measures demand, then sends the maintenance and move orders that are due.
func (sc *Scheduler) planMachines(now time.Time) {
	if now.Sub(sc.lastMachinePlan) < machinePlanPeriod || sc.firstWorkerList.IsZero() || sc.cfg.Version() == 0 || now.Sub(sc.firstWorkerList) < takeoverGracePeriod {
		return
	}
	sc.lastMachinePlan = now
	sc.orderLimiter.refill(now, sc.options.MachineOrderRate)
	byMachine := sc.workersByMachine()
	sc.finishMachineOrders(now, byMachine)
	demand := sc.measureDemand(now, byMachine)
	sc.demand = demand
	if sc.lastMachineList.IsZero() {
		return
	}
	sc.planWaves(now, byMachine, demand)
	if sc.options.AllowPoolMoves {
		sc.planMoves(now, byMachine, demand)
	}
}

// retryMaintenance repeats an unanswered maintenance order as soon as the machine can be taken down.
func (sc *Scheduler) retryMaintenance(now time.Time, m *machine, w *worker) {
	if w != nil && !sc.canTakeDown(w, false) {
		w.cordoned = true
		sc.evictLongRunning(now, w)
		return
	}
	sc.sendMachineOrder(now, m, w, MaintainMachine{Machine: m.entry.ID, Wave: m.maintenanceWave})
}

// HasMachinesArriving reports whether orders to machines are in flight, so that new workers will be listed soon.
func (sc *Scheduler) HasMachinesArriving() bool { return sc.machinesArriving }

// TakeMachineListRequest reports whether the machine list should be requested at once because a machine confirmed an
// order, and clears the request.
func (sc *Scheduler) TakeMachineListRequest() bool {
	requested := sc.machineListRequested
	sc.machineListRequested = false
	return requested
}

const (
	machinePlanPeriod = 100 * time.Millisecond
	// A new owner takes no machines away until it has had this long to learn what runs on them.
	takeoverGracePeriod = 400 * time.Millisecond
)

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

// ranksBefore reports whether the worker rather than the other one is the present worker of the machine that both name: one that
// is listed, then one that answers, then one that has runs, then the later one.
func (w *worker) ranksBefore(other *worker) bool {
	order := cmp.Or(
		compareTrueFirst(w.listed, other.listed),
		compareTrueFirst(w.answers(), other.answers()),
		compareTrueFirst(len(w.runs) > 0, len(other.runs) > 0),
		cmp.Compare(other.incarnation, w.incarnation),
	)
	return order < 0
}

// isIdle reports whether the worker is known to have no runs, so that its machine may be moved.
func (w *worker) isIdle() bool {
	return len(w.runs) == 0 && w.answers() && !w.entry.Draining
}

// isHealthy reports whether the worker takes new tasks, leaving aside a backoff, quarantine or surplus mark, which end soon.
func (w *worker) isHealthy() bool {
	return w.answers() && !w.entry.Draining && !w.cordoned
}

func (w *worker) hasLongRunning() bool {
	for _, r := range w.runList {
		if r.spec().LongRunning {
			return true
		}
	}
	return false
}

// countBatchRuns returns how many runs on the worker end by themselves.
func (w *worker) countBatchRuns() int {
	n := 0
	for _, r := range w.runList {
		if !r.spec().LongRunning {
			n++
		}
	}
	return n
}

// canEvictLongRunning reports whether the worker can lose all its long-running tasks at once without exceeding the
// MaxUnavailable of their steps.
func (w *worker) canEvictLongRunning() bool {
	leaving := map[*step]int{}
	for _, r := range w.runList {
		if s := r.task.step; s.spec.MaxUnavailable > 0 {
			leaving[s]++
		}
	}
	for s, n := range leaving {
		if s.countUnavailable()+n > s.spec.MaxUnavailable {
			return false
		}
	}
	return true
}

// CanStillMaintain reports whether a maintenance order may still be sent after its record was stored. It may not if more
// tasks of a step have become unavailable meanwhile than MaxUnavailable allows, counting those on the machine.
func (sc *Scheduler) CanStillMaintain(o MaintainMachine) bool {
	for _, w := range sc.workersByID {
		if w.entry.Machine != o.Machine {
			continue
		}
		for _, r := range w.runList {
			if s := r.task.step; s.spec.MaxUnavailable > 0 && s.countUnavailable() > s.spec.MaxUnavailable {
				return false
			}
		}
	}
	return true
}

// markMachineLeaving cordons the worker and marks its runs, which then count as unavailable.
func (w *worker) markMachineLeaving() {
	w.cordoned = true
	for _, r := range w.runList {
		r.machineLeaving = true
	}
}

func (w *worker) unmarkMachineLeaving() {
	w.cordoned = false
	for _, r := range w.runList {
		r.machineLeaving = false
	}
}

// uncordonMachine lets the workers of a machine take new tasks again when the machine is not taken away after all.
func (sc *Scheduler) uncordonMachine(id string) {
	for _, w := range sc.workersByID {
		if w.entry.Machine == id {
			w.unmarkMachineLeaving()
			sc.markPoolDirty(w.entry.Pool)
		}
	}
}

// sendMachineOrder queues an order to a machine until its record is stored, and counts it against the order rate.
func (sc *Scheduler) sendMachineOrder(now time.Time, m *machine, w *worker, o Order) {
	sc.orderLimiter.take()
	m.orderedAt, m.confirmedAt = now, time.Time{}
	if w != nil {
		w.markMachineLeaving()
	}
	sc.orderOnceStored(o)
}

func (sc *Scheduler) applyMoveResult(now time.Time, res MoveResult) {
	sc.applyMachineAnswer(now, res.Order.Machine, res.Answer, "moved to "+res.Order.Pool)
}

func (sc *Scheduler) applyMaintenanceResult(now time.Time, res MaintenanceResult) {
	if res.Answer == AnswerOK {
		sc.recordMaintained(now, res.Order.Wave, res.Order.Machine)
	}
	sc.applyMachineAnswer(now, res.Order.Machine, res.Answer, "down for maintenance")
}

func (sc *Scheduler) applyMachineAnswer(now time.Time, id string, answer OrderAnswer, why string) {
	m, found := sc.machines[id]
	if !found {
		return
	}
	switch answer {
	case AnswerOK:
		m.confirmedAt = now
		sc.machineListRequested = true
	case AnswerUnknown:
		sc.logDecision(now, "machine-order-unanswered", "", id, why)
	case AnswerFenced:
		sc.fenced = true
	default:
		sc.logDecision(now, "machine-order-refused", "", id, answer.String()+": "+why)
		m.backoffUntil = now.Add(refusalBackoff)
		delete(sc.maintenanceOrders, id)
		m.clearOrder()
		sc.uncordonMachine(id)
	}
}
