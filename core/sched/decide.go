package sched

import (
	"slices"
	"time"
)

const (
	// Waiting tasks are looked at again after this time though nothing was heard.
	periodicCheckInterval = 200 * time.Millisecond
	// All workers and open jobs are gone through no more often than this, however many events come;
	minScanInterval = 10 * time.Millisecond
	// nor more often than after so long for each worker.
	scanIntervalPerWorker = 15 * time.Microsecond
	// Idle workers are looked at one after the other with at least this between two.
	idlePollIntervalPerWorker = 2 * time.Millisecond
)

// Decision is something the machine concluded, for the log.
type Decision struct {
	At     time.Time
	Event  string
	Task   string
	Worker string
	Detail string
}

func (sc *Scheduler) logDecision(now time.Time, what, task, worker, why string) {
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
	scans := sc.fullPassDue || now.Sub(sc.lastFullPass) >= max(minScanInterval, time.Duration(len(sc.workersByID))*scanIntervalPerWorker)
	if scans {
		sc.lastFullPass, sc.fullPassDue = now, false
		sc.expireLeases(now)
		sc.beginDueRounds(now)
		sc.resendStops(now)
		sc.planMachines(now)
		sc.runPeriodicChecks(now)
		sc.strain.expire(now)
	}
	for _, p := range sc.poolOrder {
		sc.placeWaiting(now, p)
	}
	if scans {
		sc.pollWorkers(now)
		sc.forgetFinishedJobs(now)
	}
}

// replan looks at all waiting tasks again once in a while: pauses of workers end without a report.
func (sc *Scheduler) runPeriodicChecks(now time.Time) {
	if now.Sub(sc.lastReplan) >= periodicCheckInterval {
		sc.lastReplan = now
		sc.markAllPoolsDirty()
		sc.restartStalled(now)
		sc.quarantineSlowWorkers(now)
		sc.stopTasksOnDrainingWorkers(now)
		sc.preempt(now)
		sc.startSpeculativeCopies(now)
	}
}

// lapse ends the attempts on workers that were silent until all leases there surely ran out.
func (sc *Scheduler) expireLeases(now time.Time) {
	var expired []*worker
	for _, w := range sc.workersByID {
		if w.unanswered == 0 && w.verified && w.listed || now.Before(w.leasesExpireAt) || w.renewalsInFlight > 0 {
			continue
		}
		expired = append(expired, w)
	}
	for _, w := range expired {
		if len(w.runs) > 0 && (w.unanswered > 0 || !w.verified) {
			sc.logDecision(now, "leases-lapsed", "", w.id, "")
			for _, r := range slices.Clone(w.runList) {
				sc.endRun(now, r, AttemptLeaseExpired, "")
			}
		}
		sc.removeWorkerIfUnused(w)
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

func (sc *Scheduler) resendStops(now time.Time) {
	for _, w := range sc.workersByID {
		if w.unanswered > 0 {
			continue
		}
		for _, r := range w.runList {
			if r.stopping && !r.stopAcked && now.Sub(r.lastStopSent) >= stopRetryInterval {
				sc.stopRun(now, r)
			}
		}
	}
}

// idleLook returns the time between two looks at an idle worker: in a large fleet longer, so that its looks stay bounded.
func (sc *Scheduler) idlePollInterval() time.Duration {
	return max(sc.options.IdlePollInterval, time.Duration(len(sc.workersByID))*idlePollIntervalPerWorker)
}

// look asks the workers whose turn it is what they run, and renews it.
func (sc *Scheduler) pollWorkers(now time.Time) {
	for _, w := range sc.workersByID {
		if w.pollInFlight || now.Before(w.nextPollAt) || !w.listed && len(w.runs) == 0 {
			continue
		}
		order := PollWorker{Worker: w.id, AckedThrough: w.lastEndStored}
		switch {
		case !w.verified || w.unanswered > 0:
		case len(w.runs) == 0:
			if now.Sub(w.lastAnswerAt) < sc.idlePollInterval() && w.lastEndSeen == w.lastEndStored {
				continue
			}
		default:
			order.Lease, order.MaxWait = sc.options.Lease, sc.options.RenewalInterval
			if now.Before(w.recheckAt) {
				order.MaxWait = min(order.MaxWait, w.recheckAt.Sub(now))
			}
		}
		if order.Lease > 0 {
			w.renewalsInFlight++
			sc.extendLeaseExpiry(w, now)
		}
		w.pollInFlight = true
		sc.orderImmediately(order)
	}
}
