package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// An order to a machine without an answer may still take effect this long after it was given.
	machineDoubt = 4 * time.Second
	// Delay between the end of a move or of maintenance and the entry of the new worker.
	joinMargin = 400 * time.Millisecond
	// The machines' list may name the worker before for this long.
	lifeDoubt = 2 * time.Second
	// Delay of a move at the platform.
	moveMargin = 100 * time.Millisecond
)

// machine is a machine of the fleet; its workers are lives of it.
type machine struct {
	entry    MachineEntry
	heading  string    // pool that it was told to move to, empty if it is not moving
	serving  int64     // wave that it was told to go down for, 0 for none
	ordered  time.Time // when it was last told to move or to go down
	answered time.Time // when it was known that the order took effect, now or before
	refused  time.Time // it refused an order; not asked again before
}

// busy tells whether an order to the machine may still be under way.
func (h *machine) busy(now time.Time, o Options) bool {
	switch {
	case h.ordered.IsZero():
		return false
	case h.answered.IsZero():
		return now.Sub(h.ordered) < machineDoubt
	case h.serving != 0:
		// The next list tells whether it is back.
		return true
	default:
		return now.Sub(h.answered) < o.MigrationDuration+moveMargin
	}
}

// ListMachines notes the machines that the platform lists, by a call that was sent at that time.
func (sc *Scheduler) ListMachines(now, asked time.Time, entries []MachineEntry) {
	seen := map[string]bool{}
	lives := sc.livesByMachine()
	for _, e := range entries {
		seen[e.ID] = true
		h, found := sc.machines[e.ID]
		if !found {
			h = &machine{}
			sc.machines[e.ID] = h
			if wave := sc.maintenanceOrders[e.ID]; wave != 0 {
				// The owner before told it to go down, and the answer is not known.
				h.entry, h.serving, h.ordered = e, wave, now
			}
		}
		sc.endSilentLives(now, asked, e, lives[e.ID])
		if !h.answered.IsZero() && asked.After(h.answered) {
			sc.confirmTaken(now, h, e, lives[e.ID])
		}
		back := h.serving != 0 && !h.answered.IsZero() && asked.Sub(h.answered) >= sc.options.MaintenanceDuration
		if back && e.State == MachineUp {
			h.reset()
		}
		if !h.busy(now, sc.options) {
			h.entry = e
		}
	}
	for id := range sc.machines {
		if !seen[id] {
			delete(sc.machines, id)
		}
	}
	sc.machinesByID = slices.SortedFunc(maps.Values(sc.machines), func(a, b *machine) int {
		return cmp.Compare(a.entry.ID, b.entry.ID)
	})
	sc.lastMachineList = now
}

// livesByMachine returns the listed workers of each machine.
func (sc *Scheduler) livesByMachine() map[string][]*worker {
	lives := make(map[string][]*worker, len(sc.workersByID))
	for _, w := range sc.workersByID {
		if w.listed {
			lives[w.entry.Machine] = append(lives[w.entry.Machine], w)
		}
	}
	return lives
}

// endSilentLives notes that a silent worker is gone, since its machine runs another one or none.
func (sc *Scheduler) endSilentLives(now, asked time.Time, e MachineEntry, lives []*worker) {
	for _, w := range lives {
		known := asked.Sub(w.listedAt) > lifeDoubt
		if w.unanswered >= maxUnanswered && w.id != e.Worker && known {
			sc.replacedWorkers[w.id] = w.incarnation
			sc.removeWorker(now, w, "its machine does not run it")
		}
	}
}

// reset forgets the order to a machine.
func (h *machine) reset() {
	h.heading, h.serving, h.ordered, h.answered = "", 0, time.Time{}, time.Time{}
}

// confirmTaken ends what ran on a machine that was taken, as a list shows that was asked for after the order's answer. An
// answer alone proves nothing: it is the same if the machine had been taken for that before.
func (sc *Scheduler) confirmTaken(now time.Time, h *machine, e MachineEntry, lives []*worker) {
	for _, w := range lives {
		if !w.listed || !w.cordoned {
			continue
		}
		if e.State == MachineUp && e.Worker == w.id {
			sc.logDecision(now, "machine-not-taken", "", e.ID, "it had been before")
			sc.released(e.ID)
			h.reset()
			return
		}
		sc.replacedWorkers[w.id] = w.incarnation
		sc.removeWorker(now, w, "its machine was taken")
	}
}

// settleMachines takes over what moves have led to, without waiting for the next list, and repeats orders for maintenance
// that had no answer.
func (sc *Scheduler) settleMachines(now time.Time, byMachine map[string]*worker) {
	sc.machinesArriving = false
	for _, h := range sc.machinesByID {
		if h.busy(now, sc.options) {
			sc.machinesArriving = true
			continue
		}
		if !h.answered.IsZero() && h.heading != "" {
			h.entry.Pool = h.heading
		}
		if h.serving != 0 {
			sc.repeatService(now, h, byMachine[h.entry.ID])
			continue
		}
		if !h.ordered.IsZero() {
			sc.released(h.entry.ID)
		}
		h.reset()
	}
}

// planMachines gives the orders for maintenance and moves that are due.
func (sc *Scheduler) planMachines(now time.Time) {
	if now.Sub(sc.lastMachinePlan) < planPeriod || sc.firstWorkerList.IsZero() || sc.cfg.Version() == 0 || now.Sub(sc.firstWorkerList) < settleTime {
		return
	}
	sc.lastMachinePlan = now
	sc.budget.refill(now, sc.options.MachineOrderRate)
	byMachine := sc.workersByMachine()
	sc.settleMachines(now, byMachine)
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
func (sc *Scheduler) repeatService(now time.Time, h *machine, w *worker) {
	if w != nil && !sc.drained(w, false) {
		w.cordoned = true
		sc.evacuate(now, w)
		return
	}
	sc.orderMachine(now, h, w, MaintainMachine{Machine: h.entry.ID, Wave: h.serving})
}

// Expecting tells whether machines are on their way, so that new workers are to be listed soon.
func (sc *Scheduler) Expecting() bool { return sc.machinesArriving }

// MachinesNews tells whether the list of machines should be asked for at once, since an order to one was answered; it
// tells so once.
func (sc *Scheduler) MachinesNews() bool {
	news := sc.machineAnswered
	sc.machineAnswered = false
	return news
}

const (
	planPeriod = 100 * time.Millisecond
	// A new owner learns what runs where before it takes machines away.
	settleTime = 400 * time.Millisecond
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
func (w *worker) idle() bool {
	return len(w.runs) == 0 && w.listed && w.verified && w.unanswered == 0 && !w.entry.Draining
}

// healthy tells whether the worker takes new tasks, but for pauses that are soon over.
func (w *worker) healthy() bool {
	return w.listed && w.verified && w.unanswered == 0 && !w.entry.Draining && !w.cordoned
}

// lasting tells whether a task that lasts runs on the worker.
func (w *worker) lasting() bool {
	for _, r := range w.runList {
		if r.spec().LongRunning {
			return true
		}
	}
	return false
}

// batch counts the runs on the worker that end by themselves.
func (w *worker) batch() int {
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
func (w *worker) mayTake() bool {
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
func (sc *Scheduler) StillTakes(o MaintainMachine) bool {
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
func (w *worker) leave() {
	w.cordoned = true
	for _, r := range w.runList {
		r.machineLeaving = true
	}
}

func (w *worker) stay() {
	w.cordoned = false
	for _, r := range w.runList {
		r.machineLeaving = false
	}
}

// released uncordons the worker of a machine that was not taken after all.
func (sc *Scheduler) released(id string) {
	for _, w := range sc.workersByID {
		if w.entry.Machine == id {
			w.stay()
			sc.markPoolDirty(w.entry.Pool)
		}
	}
}

// orderMachine notes an order to a machine.
func (sc *Scheduler) orderMachine(now time.Time, h *machine, w *worker, o Order) {
	sc.budget.take()
	h.ordered, h.answered = now, time.Time{}
	if w != nil {
		w.leave()
	}
	sc.orderOnceStored(o)
}

func (sc *Scheduler) applyMove(now time.Time, rep MoveResult) {
	sc.applyMachine(now, rep.Order.Machine, rep.Answer, "moved to "+rep.Order.Pool)
}

func (sc *Scheduler) applyService(now time.Time, rep MaintenanceResult) {
	if rep.Answer == AnswerOK {
		sc.noteServed(now, rep.Order.Wave, rep.Order.Machine)
	}
	sc.applyMachine(now, rep.Order.Machine, rep.Answer, "down for maintenance")
}

func (sc *Scheduler) applyMachine(now time.Time, id string, answer OrderAnswer, why string) {
	h, found := sc.machines[id]
	if !found {
		return
	}
	switch answer {
	case AnswerOK:
		h.answered = now
		sc.machineAnswered = true
	case AnswerUnknown:
		sc.logDecision(now, "machine-order-unanswered", "", id, why)
	case AnswerFenced:
		sc.fenced = true
	default:
		sc.logDecision(now, "machine-order-refused", "", id, answer.String()+": "+why)
		h.refused = now.Add(refusalBackoff)
		delete(sc.maintenanceOrders, id)
		h.reset()
		sc.released(id)
	}
}
