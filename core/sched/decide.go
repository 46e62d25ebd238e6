package sched

import "time"

const (
	// Checks that no result or list triggers, such as the end of a quarantine, are made this often.
	periodicCheckInterval = 200 * time.Millisecond
	// A full pass over all workers and open jobs takes place at most this often, however many results arrive.
	minFullPassInterval = 10 * time.Millisecond
	// In a large fleet a full pass takes longer; the interval is at least this much for each worker.
	fullPassIntervalPerWorker = 15 * time.Microsecond
	// Bounds the polls of idle workers in a large fleet: on average at most one per this interval.
	idlePollIntervalPerWorker = 2 * time.Millisecond
)

// Decision is a scheduling decision to be logged. Event is its kebab-case log message; Task, Worker and Detail are empty
// where they don't apply.
type Decision struct {
	At     time.Time
	Event  string
	Task   string
	Worker string
	Detail string
}

func (sc *Scheduler) logDecision(now time.Time, event, task, worker, detail string) {
	sc.decisions = append(sc.decisions, Decision{now, event, task, worker, detail})
}

// Decisions returns the decisions made since the last call.
func (sc *Scheduler) Decisions() []Decision {
	d := sc.decisions
	sc.decisions = nil
	return d
}

// Decide does everything that is due at now: it ends runs whose leases have expired, begins due rounds, plans machines,
// places waiting tasks and polls workers. Call it after each batch of results and at regular intervals.
func (sc *Scheduler) Decide(now time.Time) {
	fullPass := sc.fullPassDue || now.Sub(sc.lastFullPass) >= max(minFullPassInterval, time.Duration(len(sc.workersByID))*fullPassIntervalPerWorker)
	if fullPass {
		sc.lastFullPass, sc.fullPassDue = now, false
		sc.endSupersededWorkers(now)
		sc.expireLeases(now)
		sc.endLateStarts(now)
		sc.beginDueRounds(now)
		sc.resendStops(now)
		sc.planMachines(now)
		sc.runPeriodicChecks(now)
		sc.callLatency.expire(now)
	}
	for _, p := range sc.poolOrder {
		sc.placeWaiting(now, p)
	}
	if fullPass {
		sc.pollWorkers(now)
		sc.releaseEndedJobs(now)
		sc.forgetEndedJobs(now)
	}
}

// runPeriodicChecks does what becomes due by time alone: a worker's backoff or quarantine, for instance, ends without
// any event, so all waiting tasks are tried again.
func (sc *Scheduler) runPeriodicChecks(now time.Time) {
	if now.Sub(sc.lastPeriodicCheck) >= periodicCheckInterval {
		sc.lastPeriodicCheck = now
		sc.markAllPoolsDirty()
		sc.forgetEarlyCancels(now)
		sc.quarantineStalledWorkers(now)
		sc.quarantineSlowWorkers(now)
		sc.stopTasksOnDrainingWorkers(now)
		sc.stopTasksInEvacuation(now)
		sc.reserveForSuspects(now)
		sc.preempt(now)
		sc.startSpeculativeCopies(now)
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

// idlePollInterval returns the time between two polls of an idle worker. It grows with the fleet, so that the polls per
// second stay bounded.
func (sc *Scheduler) idlePollInterval() time.Duration {
	return max(sc.options.IdlePollInterval, time.Duration(len(sc.workersByID))*idlePollIntervalPerWorker)
}

// pollWorkers asks the workers that are due for their runs, and renews the leases of these runs.
func (sc *Scheduler) pollWorkers(now time.Time) {
	for _, w := range sc.workersByID {
		if w.isPolled() || now.Before(w.nextPollAt) || !w.listed && len(w.runs) == 0 {
			continue
		}
		order := PollWorker{Worker: w.id, AckedThrough: w.endsToAck(), Generation: w.generation}
		switch {
		case !w.verified || w.unanswered > 0:
			// Nothing is renewed until the worker has answered.
		case len(w.runs) == 0 && len(w.zombies) > 0:
			// It is polled until the zombies have ended, and their leases aren't renewed.
		case len(w.runs) == 0:
			if now.Sub(w.lastAnswerAt) < sc.idlePollInterval() && w.lastEndSeen == w.lastEndStored && !w.ackFailed {
				continue
			}
		default:
			order.Lease, order.MaxWait = sc.options.Lease, sc.pollWait(now, w)
		}
		if order.Lease > 0 {
			w.renewalsInFlight++
			sc.countRenewal(now, w, now, w.incarnation)
		}
		w.pollInFlight, w.polledGeneration = true, w.generation
		sc.orderImmediately(order)
	}
}

// pollWait returns how long a busy worker may wait for an end before it answers a poll.
func (sc *Scheduler) pollWait(now time.Time, w *worker) time.Duration {
	switch {
	case w.lateRenewalsBefore != 0:
		// The answer shows that it refuses late renewals.
		return 0
	case now.Before(w.recheckAt):
		return min(sc.options.RenewalInterval, w.recheckAt.Sub(now))
	default:
		return sc.options.RenewalInterval
	}
}
