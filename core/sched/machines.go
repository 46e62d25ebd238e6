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
		return now.Sub(h.answered) < o.Migration+moveMargin
	}
}

// ListMachines notes the machines that the platform lists, by a call that was sent at that time.
func (m *Machine) ListMachines(now, asked time.Time, entries []MachineEntry) {
	seen := map[string]bool{}
	lives := m.livesByMachine()
	for _, e := range entries {
		seen[e.ID] = true
		h, found := m.machines[e.ID]
		if !found {
			h = &machine{}
			m.machines[e.ID] = h
			if wave := m.inService[e.ID]; wave != 0 {
				// The owner before told it to go down, and the answer is not known.
				h.entry, h.serving, h.ordered = e, wave, now
			}
		}
		m.endSilentLives(now, asked, e, lives[e.ID])
		if !h.answered.IsZero() && asked.After(h.answered) {
			m.confirmTaken(now, h, e, lives[e.ID])
		}
		back := h.serving != 0 && !h.answered.IsZero() && asked.Sub(h.answered) >= m.options.Maintenance
		if back && e.State == MachineUp {
			h.reset()
		}
		if !h.busy(now, m.options) {
			h.entry = e
		}
	}
	for id := range m.machines {
		if !seen[id] {
			delete(m.machines, id)
		}
	}
	m.machineOrder = slices.SortedFunc(maps.Values(m.machines), func(a, b *machine) int {
		return cmp.Compare(a.entry.ID, b.entry.ID)
	})
	m.machinesListed = now
}

// livesByMachine returns the listed workers of each machine.
func (m *Machine) livesByMachine() map[string][]*worker {
	lives := make(map[string][]*worker, len(m.byID))
	for _, w := range m.byID {
		if w.listed {
			lives[w.entry.Machine] = append(lives[w.entry.Machine], w)
		}
	}
	return lives
}

// endSilentLives notes that a silent worker is gone, since its machine runs another one or none.
func (m *Machine) endSilentLives(now, asked time.Time, e MachineEntry, lives []*worker) {
	for _, w := range lives {
		known := asked.Sub(w.listedAt) > lifeDoubt
		if w.silent >= silentCalls && w.id != e.Worker && known {
			m.departed[w.id] = w.born
			m.gone(now, w, "its machine does not run it")
		}
	}
}

// reset forgets the order to a machine.
func (h *machine) reset() {
	h.heading, h.serving, h.ordered, h.answered = "", 0, time.Time{}, time.Time{}
}

// confirmTaken ends what ran on a machine that was taken, as a list shows that was asked for after the order's answer. An
// answer alone proves nothing: it is the same if the machine had been taken for that before.
func (m *Machine) confirmTaken(now time.Time, h *machine, e MachineEntry, lives []*worker) {
	for _, w := range lives {
		if !w.listed || !w.cordoned {
			continue
		}
		if e.State == MachineUp && e.Worker == w.id {
			m.decide(now, "machine-not-taken", "", e.ID, "it had been before")
			m.released(e.ID)
			h.reset()
			return
		}
		m.departed[w.id] = w.born
		m.gone(now, w, "its machine was taken")
	}
}

// settleMachines takes over what moves have led to, without waiting for the next list, and repeats orders for maintenance
// that had no answer.
func (m *Machine) settleMachines(now time.Time, byMachine map[string]*worker) {
	m.expecting = false
	for _, h := range m.machineOrder {
		if h.busy(now, m.options) {
			m.expecting = true
			continue
		}
		if !h.answered.IsZero() && h.heading != "" {
			h.entry.Pool = h.heading
		}
		if h.serving != 0 {
			m.repeatService(now, h, byMachine[h.entry.ID])
			continue
		}
		if !h.ordered.IsZero() {
			m.released(h.entry.ID)
		}
		h.reset()
	}
}

// planMachines gives the orders for maintenance and moves that are due.
func (m *Machine) planMachines(now time.Time) {
	if now.Sub(m.planned) < planPeriod || m.workersListed.IsZero() || m.cfg.Version() == 0 || now.Sub(m.workersListed) < settleTime {
		return
	}
	m.planned = now
	m.budget.fill(now, m.options.MachineOrders)
	byMachine := m.workersByMachine()
	m.settleMachines(now, byMachine)
	demand := m.measureDemand(now, byMachine)
	m.demand = demand
	if m.machinesListed.IsZero() {
		return
	}
	m.planWaves(now, byMachine, demand)
	if m.options.MovePool {
		m.planMoves(now, byMachine, demand)
	}
}

// repeatService gives an order for maintenance that had no answer again, once the machine can be taken.
func (m *Machine) repeatService(now time.Time, h *machine, w *worker) {
	if w != nil && !m.drained(w, false) {
		w.cordoned = true
		m.evacuate(now, w)
		return
	}
	m.orderMachine(now, h, w, ServiceMachine{Machine: h.entry.ID, Wave: h.serving})
}

// Expecting tells whether machines are on their way, so that new workers are to be listed soon.
func (m *Machine) Expecting() bool { return m.expecting }

// MachinesNews tells whether the list of machines should be asked for at once, since an order to one was answered; it
// tells so once.
func (m *Machine) MachinesNews() bool {
	news := m.machinesNews
	m.machinesNews = false
	return news
}

const (
	planPeriod = 100 * time.Millisecond
	// A new owner learns what runs where before it takes machines away.
	settleTime = 400 * time.Millisecond
)

// workersByMachine returns each machine's worker: the listed one, else one whose entry lapsed and that still holds tasks.
func (m *Machine) workersByMachine() map[string]*worker {
	byMachine := make(map[string]*worker, len(m.workers))
	for _, w := range m.byID {
		if w.entry.Machine == "" || !w.listed && len(w.runs) == 0 {
			continue
		}
		if known := byMachine[w.entry.Machine]; known == nil || w.listed && !known.listed || w.listed == known.listed && w.born > known.born {
			byMachine[w.entry.Machine] = w
		}
	}
	return byMachine
}

// idle tells whether nothing runs on the worker and it is known well enough to be taken away.
func (w *worker) idle() bool {
	return len(w.runs) == 0 && w.listed && w.verified && w.silent == 0 && !w.entry.Draining
}

// healthy tells whether the worker takes new tasks, but for pauses that are soon over.
func (w *worker) healthy() bool {
	return w.listed && w.verified && w.silent == 0 && !w.entry.Draining && !w.cordoned
}

// lasting tells whether a task that lasts runs on the worker.
func (w *worker) lasting() bool {
	for _, r := range w.order {
		if r.needs().Lasting {
			return true
		}
	}
	return false
}

// batch counts the runs on the worker that end by themselves.
func (w *worker) batch() int {
	n := 0
	for _, r := range w.order {
		if !r.needs().Lasting {
			n++
		}
	}
	return n
}

// mayTake tells whether all lasting tasks on the worker may be taken away now without too many of their step being
// away at once.
func (w *worker) mayTake() bool {
	leaving := map[*step]int{}
	for _, r := range w.order {
		if s := r.task.step; s.spec.MaxUnavailable > 0 {
			leaving[s]++
		}
	}
	for s, n := range leaving {
		if s.away()+n > s.spec.MaxUnavailable {
			return false
		}
	}
	return true
}

// StillTakes tells whether an order that waited for its record may still be given: no more lasting tasks of a step are
// away than may be, those on the machine among them.
func (m *Machine) StillTakes(o ServiceMachine) bool {
	w := m.workersByMachine()[o.Machine]
	if w == nil {
		return true
	}
	for _, r := range w.order {
		if s := r.task.step; s.spec.MaxUnavailable > 0 && s.away() > s.spec.MaxUnavailable {
			return false
		}
	}
	return true
}

// leave marks the lasting tasks on the worker as away, and cordons it.
func (w *worker) leave() {
	w.cordoned = true
	for _, r := range w.order {
		r.leaving = true
	}
}

func (w *worker) stay() {
	w.cordoned = false
	for _, r := range w.order {
		r.leaving = false
	}
}

// released uncordons the worker of a machine that was not taken after all.
func (m *Machine) released(id string) {
	for _, w := range m.byID {
		if w.entry.Machine == id {
			w.stay()
			m.wake(w.entry.Pool)
		}
	}
}

// orderMachine notes an order to a machine.
func (m *Machine) orderMachine(now time.Time, h *machine, w *worker, o Order) {
	m.budget.spend()
	h.ordered, h.answered = now, time.Time{}
	if w != nil {
		w.leave()
	}
	m.orderAfter(o)
}

func (m *Machine) applyMove(now time.Time, rep MoveReport) {
	m.applyMachine(now, rep.Order.Machine, rep.Answer, "moved to "+rep.Order.Pool)
}

func (m *Machine) applyService(now time.Time, rep ServiceReport) {
	if rep.Answer == OK {
		m.noteServed(now, rep.Order.Wave, rep.Order.Machine)
	}
	m.applyMachine(now, rep.Order.Machine, rep.Answer, "down for maintenance")
}

func (m *Machine) applyMachine(now time.Time, id string, answer Answer, why string) {
	h, found := m.machines[id]
	if !found {
		return
	}
	switch answer {
	case OK:
		h.answered = now
		m.machinesNews = true
	case Unknown:
		m.decide(now, "machine-order-unanswered", "", id, why)
	case Fenced:
		m.fenced = true
	default:
		m.decide(now, "machine-order-refused", "", id, answer.String()+": "+why)
		h.refused = now.Add(refusedPause)
		delete(m.inService, id)
		h.reset()
		m.released(id)
	}
}
