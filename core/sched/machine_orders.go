package sched

import "time"

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
			m.entry.Pool, m.movedAt = m.targetPool, now
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

// retryMaintenance repeats an unanswered maintenance order as soon as the machine can be taken down.
func (sc *Scheduler) retryMaintenance(now time.Time, m *machine, w *worker) {
	if w != nil && !sc.canTakeDown(w, false) {
		w.cordoned = true
		sc.evictLongRunning(now, w)
		return
	}
	sc.sendMachineOrder(now, m, w, MaintainMachine{Machine: m.entry.ID, Wave: m.maintenanceWave})
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
