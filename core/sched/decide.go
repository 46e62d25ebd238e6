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

func (sc *Scheduler) decide(now time.Time, what, task, worker, why string) {
	sc.decisions = append(sc.decisions, Decision{now, what, task, worker, why})
}

// Decisions returns what was concluded since the last call.
func (sc *Scheduler) Decisions() []Decision {
	d := sc.decisions
	sc.decisions = nil
	return d
}

// Decide does all that is due.
func (sc *Scheduler) Decide(now time.Time) {
	sweeps := sc.fullPassDue || now.Sub(sc.lastFullPass) >= max(sweepPeriod, time.Duration(len(sc.workersByID))*sweepPause)
	if sweeps {
		sc.lastFullPass, sc.fullPassDue = now, false
		sc.lapse(now)
		sc.beginDueRounds(now)
		sc.repeatStops(now)
		sc.planMachines(now)
		sc.replan(now)
		sc.strain.rest(now)
	}
	for _, p := range sc.poolOrder {
		sc.place(now, p)
	}
	if sweeps {
		sc.look(now)
		sc.forget(now)
	}
}

// replan looks at all waiting tasks again once in a while: pauses of workers end without a report.
func (sc *Scheduler) replan(now time.Time) {
	if now.Sub(sc.lastReplan) >= replanPause {
		sc.lastReplan = now
		sc.markAllPoolsDirty()
		sc.rescue(now)
		sc.findSlow(now)
		sc.leaveDraining(now)
		sc.preempt(now)
		sc.startCopies(now)
	}
}

// lapse ends the attempts on workers that were silent until all leases there surely ran out.
func (sc *Scheduler) lapse(now time.Time) {
	var over []*worker
	for _, w := range sc.workersByID {
		if w.silent == 0 && w.verified && w.listed || now.Before(w.lapse) || w.granting > 0 {
			continue
		}
		over = append(over, w)
	}
	for _, w := range over {
		if len(w.runs) > 0 && (w.silent > 0 || !w.verified) {
			sc.decide(now, "leases-lapsed", "", w.id, "")
			for _, r := range slices.Clone(w.order) {
				sc.endRun(now, r, AttemptLeaseExpired, "")
			}
		}
		sc.dropUnused(w)
	}
}

func (sc *Scheduler) beginDueRounds(now time.Time) {
	for j := range sc.openJobs {
		if !j.spec.IsTimed() {
			continue
		}
		for len(j.rounds) < j.spec.RoundCount() && !now.Before(j.spec.RoundDue(len(j.rounds))) {
			sc.beginRound(j)
		}
	}
}

func (sc *Scheduler) repeatStops(now time.Time) {
	for _, w := range sc.workersByID {
		if w.silent > 0 {
			continue
		}
		for _, r := range w.order {
			if r.stopping && !r.stopAcked && now.Sub(r.lastStopSent) >= stopRepeat {
				sc.stopRun(now, r)
			}
		}
	}
}

// idleLook returns the time between two looks at an idle worker: in a large fleet longer, so that its looks stay bounded.
func (sc *Scheduler) idleLook() time.Duration {
	return max(sc.options.IdlePollInterval, time.Duration(len(sc.workersByID))*idleLookEach)
}

// look asks the workers whose turn it is what they run, and renews it.
func (sc *Scheduler) look(now time.Time) {
	for _, w := range sc.workersByID {
		if w.holding || now.Before(w.nextHold) || !w.listed && len(w.runs) == 0 {
			continue
		}
		order := PollWorker{Worker: w.id, AckedThrough: w.stored}
		switch {
		case !w.verified || w.silent > 0:
		case len(w.runs) == 0:
			if now.Sub(w.heard) < sc.idleLook() && w.seen == w.stored {
				continue
			}
		default:
			order.Lease, order.MaxWait = sc.options.Lease, sc.options.RenewalInterval
			if now.Before(w.doubt) {
				order.MaxWait = min(order.MaxWait, w.doubt.Sub(now))
			}
		}
		if order.Lease > 0 {
			w.granting++
			sc.granted(w, now)
		}
		w.holding = true
		sc.orderImmediately(order)
	}
}
