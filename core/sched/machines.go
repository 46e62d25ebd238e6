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
	movedAt         time.Time    // when its last move ended
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

// clearOrder marks the machine as having no order.
func (m *machine) clearOrder() {
	m.targetPool, m.maintenanceWave, m.orderedAt, m.confirmedAt = "", 0, time.Time{}, time.Time{}
}

// planMachines measures demand, then sends the maintenance and move orders that are due.
func (sc *Scheduler) planMachines(now time.Time) {
	sc.planFirstAdmission(now)
	if now.Sub(sc.lastMachinePlan) < machinePlanPeriod || sc.firstWorkerList.IsZero() || sc.cfg.Version() == 0 || now.Sub(sc.firstWorkerList) < takeoverGracePeriod {
		return
	}
	sc.lastMachinePlan = now
	sc.orderLimiter.refill(now, sc.options.MachineOrderRate)
	byMachine := sc.workersByMachine()
	sc.finishMachineOrders(now, byMachine)
	demand := sc.measureDemand(now, byMachine)
	sc.demand = demand
	defer sc.planAdmission(now, byMachine, demand)
	if sc.lastMachineList.IsZero() {
		return
	}
	sc.planWaves(now, byMachine, demand)
	if sc.options.AllowPoolMoves {
		sc.planMoves(now, byMachine, demand)
	}
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
