package sched

import (
	"slices"
	"time"
)

const (
	// Waiting tasks are looked at again after this time though nothing was heard.
	replanPause = 200 * time.Millisecond
	// All workers and open jobs are gone through no more often than this, however many events come;
	sweepPeriod = 10 * time.Millisecond
	// nor more often than after so long for each worker.
	sweepPause = 15 * time.Microsecond
	// Idle workers are looked at one after the other with at least this between two.
	idleLookEach = 2 * time.Millisecond
)

// Decision is something the machine concluded, for the log.
type Decision struct {
	At     time.Time
	What   string
	Task   string
	Worker string
	Why    string
}

func (m *Machine) decide(now time.Time, what, task, worker, why string) {
	m.decisions = append(m.decisions, Decision{now, what, task, worker, why})
}

// Decisions returns what was concluded since the last call.
func (m *Machine) Decisions() []Decision {
	d := m.decisions
	m.decisions = nil
	return d
}

// Decide does all that is due.
func (m *Machine) Decide(now time.Time) {
	sweeps := m.hasten || now.Sub(m.swept) >= max(sweepPeriod, time.Duration(len(m.byID))*sweepPause)
	if sweeps {
		m.swept, m.hasten = now, false
		m.lapse(now)
		m.beginDueRounds(now)
		m.repeatStops(now)
		m.planMachines(now)
		m.replan(now)
		m.strain.rest(now)
	}
	for _, p := range m.poolOrder {
		m.place(now, p)
	}
	if sweeps {
		m.look(now)
		m.forget(now)
	}
}

// replan looks at all waiting tasks again once in a while: pauses of workers end without a report.
func (m *Machine) replan(now time.Time) {
	if now.Sub(m.replanned) >= replanPause {
		m.replanned = now
		m.wakeAll()
		m.rescue(now)
		m.findSlow(now)
		m.leaveDraining(now)
		m.preempt(now)
		m.startCopies(now)
	}
}

// lapse ends the attempts on workers that were silent until all leases there surely ran out.
func (m *Machine) lapse(now time.Time) {
	var over []*worker
	for _, w := range m.byID {
		if w.silent == 0 && w.verified && w.listed || now.Before(w.lapse) || w.granting > 0 {
			continue
		}
		over = append(over, w)
	}
	for _, w := range over {
		if len(w.runs) > 0 && (w.silent > 0 || !w.verified) {
			m.decide(now, "leases-lapsed", "", w.id, "")
			for _, r := range slices.Clone(w.order) {
				m.endRun(now, r, Lapsed, "")
			}
		}
		m.dropUnused(w)
	}
}

func (m *Machine) beginDueRounds(now time.Time) {
	for j := range m.open {
		if !j.spec.Timed() {
			continue
		}
		for len(j.rounds) < j.spec.Rounds() && !now.Before(j.spec.Due(len(j.rounds))) {
			m.beginRound(j)
		}
	}
}

func (m *Machine) repeatStops(now time.Time) {
	for _, w := range m.byID {
		if w.silent > 0 {
			continue
		}
		for _, r := range w.order {
			if r.stopping && !r.stopped && now.Sub(r.stopSent) >= stopRepeat {
				m.stopRun(now, r)
			}
		}
	}
}

// idleLook returns the time between two looks at an idle worker: in a large fleet longer, so that its looks stay bounded.
func (m *Machine) idleLook() time.Duration {
	return max(m.options.IdleLook, time.Duration(len(m.byID))*idleLookEach)
}

// look asks the workers whose turn it is what they run, and renews it.
func (m *Machine) look(now time.Time) {
	for _, w := range m.byID {
		if w.holding || now.Before(w.nextHold) || !w.listed && len(w.runs) == 0 {
			continue
		}
		order := HoldWorker{Worker: w.id, Seen: w.stored}
		switch {
		case !w.verified || w.silent > 0:
		case len(w.runs) == 0:
			if now.Sub(w.heard) < m.idleLook() && w.seen == w.stored {
				continue
			}
		default:
			order.Lease, order.Wait = m.options.Lease, m.options.Renewal
			if now.Before(w.doubt) {
				order.Wait = min(order.Wait, w.doubt.Sub(now))
			}
		}
		if order.Lease > 0 {
			w.granting++
			m.granted(w, now)
		}
		w.holding = true
		m.orderNow(order)
	}
}
