package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// An order to a machine without an answer may still take effect this long after it was given.
	machineOrderTimeout = 4 * time.Second
	// Delay between the end of a move or of maintenance and the entry of the new worker.
	workerJoinDelay = 400 * time.Millisecond
	// The machines' list may name the worker before for this long.
	machineListLag = 2 * time.Second
	// Delay of a move at the platform.
	moveOverhead = 100 * time.Millisecond
)

// machine is a machine of the fleet; its workers are lives of it.
type machine struct {
	entry           MachineEntry
	targetPool      string    // pool that it was told to move to, empty if it is not moving
	maintenanceWave int64     // wave that it was told to go down for, 0 for none
	orderedAt       time.Time // when it was last told to move or to go down
	confirmedAt     time.Time // when it was known that the order took effect, now or before
	backoffUntil    time.Time // it refused an order; not asked again before
}

// busy tells whether an order to the machine may still be under way.
func (h *machine) hasOrderInFlight(now time.Time, o Options) bool {
	switch {
	case h.orderedAt.IsZero():
		return false
	case h.confirmedAt.IsZero():
		return now.Sub(h.orderedAt) < machineOrderTimeout
	case h.maintenanceWave != 0:
		// The next list tells whether it is back.
		return true
	default:
		return now.Sub(h.confirmedAt) < o.MigrationDuration+moveOverhead
	}
}

// ListMachines notes the machines that the platform lists, by a call that was sent at that time.
func (sc *Scheduler) UpdateMachines(now, asked time.Time, entries []MachineEntry) {
	listed := map[string]bool{}
	workersByMachine := sc.listedWorkersByMachine()
	for _, e := range entries {
		listed[e.ID] = true
		h, found := sc.machines[e.ID]
		if !found {
			h = &machine{}
			sc.machines[e.ID] = h
			if wave := sc.maintenanceOrders[e.ID]; wave != 0 {
				// The owner before told it to go down, and the answer is not known.
				h.entry, h.maintenanceWave, h.orderedAt = e, wave, now
			}
		}
		sc.removeReplacedWorkers(now, asked, e, workersByMachine[e.ID])
		if !h.confirmedAt.IsZero() && asked.After(h.confirmedAt) {
			sc.verifyOrderEffect(now, h, e, workersByMachine[e.ID])
		}
		maintenanceOver := h.maintenanceWave != 0 && !h.confirmedAt.IsZero() && asked.Sub(h.confirmedAt) >= sc.options.MaintenanceDuration
		if maintenanceOver && e.State == MachineUp {
			h.clearOrder()
		}
		if !h.hasOrderInFlight(now, sc.options) {
			h.entry = e
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

// livesByMachine returns the listed workers of each machine.
func (sc *Scheduler) listedWorkersByMachine() map[string][]*worker {
	byMachine := make(map[string][]*worker, len(sc.workersByID))
	for _, w := range sc.workersByID {
		if w.listed {
			byMachine[w.entry.Machine] = append(byMachine[w.entry.Machine], w)
		}
	}
	return byMachine
}

// endSilentLives notes that a silent worker is gone, since its machine runs another one or none.
func (sc *Scheduler) removeReplacedWorkers(now, asked time.Time, e MachineEntry, workers []*worker) {
	for _, w := range workers {
		listedLongEnough := asked.Sub(w.listedAt) > machineListLag
		if w.unanswered >= silentThreshold && w.id != e.Worker && listedLongEnough {
			sc.replacedWorkers[w.id] = w.incarnation
			sc.removeWorker(now, w, "its machine does not run it")
		}
	}
}

// reset forgets the order to a machine.
func (h *machine) clearOrder() {
	h.targetPool, h.maintenanceWave, h.orderedAt, h.confirmedAt = "", 0, time.Time{}, time.Time{}
}

// confirmTaken ends what ran on a machine that was taken, as a list shows that was asked for after the order's answer. An
// answer alone proves nothing: it is the same if the machine had been taken for that before.
func (sc *Scheduler) verifyOrderEffect(now time.Time, h *machine, e MachineEntry, workers []*worker) {
	for _, w := range workers {
		if !w.listed || !w.cordoned {
			continue
		}
		if e.State == MachineUp && e.Worker == w.id {
			sc.logDecision(now, "machine-not-taken", "", e.ID, "it had been before")
			sc.keepMachine(e.ID)
			h.clearOrder()
			return
		}
		sc.replacedWorkers[w.id] = w.incarnation
		sc.removeWorker(now, w, "its machine was taken")
	}
}

// settleMachines takes over what moves have led to, without waiting for the next list, and repeats orders for maintenance
// that had no answer.
func (sc *Scheduler) finishMachineOrders(now time.Time, byMachine map[string]*worker) {
	sc.machinesArriving = false
	for _, h := range sc.machinesByID {
		if h.hasOrderInFlight(now, sc.options) {
			sc.machinesArriving = true
			continue
		}
		if !h.confirmedAt.IsZero() && h.targetPool != "" {
			h.entry.Pool = h.targetPool
		}
		if h.maintenanceWave != 0 {
			sc.retryMaintenance(now, h, byMachine[h.entry.ID])
			continue
		}
		if !h.orderedAt.IsZero() {
			sc.keepMachine(h.entry.ID)
		}
		h.clearOrder()
	}
}

// planMachines gives the orders for maintenance and moves that are due.
func (sc *Scheduler) planMachines(now time.Time) {
	if now.Sub(sc.lastMachinePlan) < machinePlanPeriod || sc.firstWorkerList.IsZero() || sc.cfg.Version() == 0 || now.Sub(sc.firstWorkerList) < takeoverGracePeriod {
		return
	}
	sc.lastMachinePlan = now
	sc.budget.refill(now, sc.options.MachineOrderRate)
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

// repeatService gives an order for maintenance that had no answer again, once the machine can be taken.
func (sc *Scheduler) retryMaintenance(now time.Time, h *machine, w *worker) {
	if w != nil && !sc.canTakeDown(w, false) {
		w.cordoned = true
		sc.evictLongRunning(now, w)
		return
	}
	sc.sendMachineOrder(now, h, w, MaintainMachine{Machine: h.entry.ID, Wave: h.maintenanceWave})
}

// Expecting tells whether machines are on their way, so that new workers are to be listed soon.
func (sc *Scheduler) HasMachinesArriving() bool { return sc.machinesArriving }

// MachinesNews tells whether the list of machines should be asked for at once, since an order to one was answered; it
// tells so once.
func (sc *Scheduler) TakeMachineListRequest() bool {
	requested := sc.machineAnswered
	sc.machineAnswered = false
	return requested
}

const (
	machinePlanPeriod = 100 * time.Millisecond
	// A new owner learns what runs where before it takes machines away.
	takeoverGracePeriod = 400 * time.Millisecond
)

// workersByMachine returns each machine's worker: the listed one, else one whose entry lapsed and that still holds tasks.
func (sc *Scheduler) workersByMachine() map[string]*worker {
	byMachine := make(map[string]*worker, len(sc.workers))
	for _, w := range sc.workersByID {
		if w.entry.Machine == "" || !w.listed && len(w.runs) == 0 {
			continue
		}
		if known := byMachine[w.entry.Machine]; known == nil || w.listed && !known.listed || w.listed == known.listed && w.incarnation > known.incarnation {
			byMachine[w.entry.Machine] = w
		}
	}
	return byMachine
}

// idle tells whether nothing runs on the worker and it is known well enough to be taken away.
func (w *worker) isIdle() bool {
	return len(w.runs) == 0 && w.listed && w.verified && w.unanswered == 0 && !w.entry.Draining
}

// healthy tells whether the worker takes new tasks, but for pauses that are soon over.
func (w *worker) isHealthy() bool {
	return w.listed && w.verified && w.unanswered == 0 && !w.entry.Draining && !w.cordoned
}

// lasting tells whether a task that lasts runs on the worker.
func (w *worker) hasLongRunning() bool {
	for _, r := range w.runList {
		if r.spec().LongRunning {
			return true
		}
	}
	return false
}

// batch counts the runs on the worker that end by themselves.
func (w *worker) batchAttempts() int {
	n := 0
	for _, r := range w.runList {
		if !r.spec().LongRunning {
			n++
		}
	}
	return n
}

// mayTake tells whether all lasting tasks on the worker may be taken away now without too many of their step being
// away at once.
func (w *worker) canEvictLongRunning() bool {
	leaving := map[*step]int{}
	for _, r := range w.runList {
		if s := r.task.step; s.spec.MaxUnavailable > 0 {
			leaving[s]++
		}
	}
	for s, n := range leaving {
		if s.unavailableTasks()+n > s.spec.MaxUnavailable {
			return false
		}
	}
	return true
}

// StillTakes tells whether an order that waited for its record may still be given: no more lasting tasks of a step are
// away than may be, those on the machine among them.
func (sc *Scheduler) CanStillMaintain(o MaintainMachine) bool {
	w := sc.workersByMachine()[o.Machine]
	if w == nil {
		return true
	}
	for _, r := range w.runList {
		if s := r.task.step; s.spec.MaxUnavailable > 0 && s.unavailableTasks() > s.spec.MaxUnavailable {
			return false
		}
	}
	return true
}

// leave marks the lasting tasks on the worker as away, and cordons it.
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

// released uncordons the worker of a machine that was not taken after all.
func (sc *Scheduler) keepMachine(id string) {
	for _, w := range sc.workersByID {
		if w.entry.Machine == id {
			w.unmarkMachineLeaving()
			sc.markPoolDirty(w.entry.Pool)
		}
	}
}

// orderMachine notes an order to a machine.
func (sc *Scheduler) sendMachineOrder(now time.Time, h *machine, w *worker, o Order) {
	sc.budget.take()
	h.orderedAt, h.confirmedAt = now, time.Time{}
	if w != nil {
		w.markMachineLeaving()
	}
	sc.orderOnceStored(o)
}

func (sc *Scheduler) applyMoveResult(now time.Time, rep MoveResult) {
	sc.applyMachineAnswer(now, rep.Order.Machine, rep.Answer, "moved to "+rep.Order.Pool)
}

func (sc *Scheduler) applyMaintenanceResult(now time.Time, rep MaintenanceResult) {
	if rep.Answer == AnswerOK {
		sc.recordMaintained(now, rep.Order.Wave, rep.Order.Machine)
	}
	sc.applyMachineAnswer(now, rep.Order.Machine, rep.Answer, "down for maintenance")
}

func (sc *Scheduler) applyMachineAnswer(now time.Time, id string, answer OrderAnswer, why string) {
	h, found := sc.machines[id]
	if !found {
		return
	}
	switch answer {
	case AnswerOK:
		h.confirmedAt = now
		sc.machineAnswered = true
	case AnswerUnknown:
		sc.logDecision(now, "machine-order-unanswered", "", id, why)
	case AnswerFenced:
		sc.fenced = true
	default:
		sc.logDecision(now, "machine-order-refused", "", id, answer.String()+": "+why)
		h.backoffUntil = now.Add(refusalBackoff)
		delete(sc.maintenanceOrders, id)
		h.clearOrder()
		sc.keepMachine(id)
	}
}
