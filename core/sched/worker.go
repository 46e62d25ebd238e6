package sched

import (
	"cmp"
	"slices"
	"time"

	"mangowing/core/setup"
)

// worker is the scheduler's view of one worker, from the worker list and from the worker's answers.
type worker struct {
	id                 string
	entry              WorkerEntry
	incarnation        int64
	incarnationSince   time.Time // when the incarnation became known
	generation         int64     // generation of the calls that are sent now, see FencingToken
	addressSince       time.Time // when its entry first had the present address
	answeredAddress    string    // address at which it last answered, empty if it has not answered this owner yet
	listed             bool
	listedAt           time.Time
	verified           bool      // it has answered a call that carries the current owner's fencing token
	unanswered         int       // consecutive calls without an answer
	lastAliveAt        time.Time // when it last answered a poll or confirmed a start
	silentSince        time.Time // when it fell silent, as far as known; valid while unanswered is not 0
	brokeOff           bool      // it fell silent by calls that failed at once, as those to a process that has ended do
	lastAnswerAt       time.Time // when it last answered a poll
	endedAt            time.Time // when its incarnation was found to have ended, zero if it may be up
	lateRenewalsBefore int64     // calls of earlier generations may still renew leases, 0 if none may; see allowForLateRenewals
	leasesExpireAt     time.Time // by then every run on the worker has ended unless its lease was renewed
	pollInFlight       bool
	polledGeneration   int64 // generation of the poll in flight
	renewalsInFlight   int   // unanswered calls (polls and starts) that may renew the leases of its runs
	nextPollAt         time.Time
	recheckAt          time.Time // a poll sent later than this decides whether a missing run is gone, see isProvenAbsent
	lastEndSeen        int64     // number of the last ended run that was applied
	lastEndStored      int64     // number of the last ended run whose record is on the journal
	lastEndAcked       int64     // number of the last ended run that the worker has forgotten
	ackFailed          bool      // a poll that was to make it forget more had no answer
	runs               map[runKey]*run
	runList            []*run // the same runs, in the order in which they were added
	used               setup.Resources
	zombies            map[runKey]zombie
	zombieRoom         setup.Resources // room that zombies hold
	fullUntil          time.Time       // the worker refused a start for lack of room; no new tasks until then
	quarantinedUntil   time.Time       // failing, stalled or slow; no new tasks until then
	faults             int             // failed attempts since the last successful one
	lastFaultAt        time.Time
	lastSuccessAt      time.Time
	staysUntil         time.Time // a draining worker stays at least until then
	cordoned           bool      // no new tasks: its machine is about to be maintained or moved
	surplus            bool      // no new tasks: its pool has more machines than it needs
	reserved           bool      // no new tasks but suspects of crashes
	evacuated          bool      // no new tasks: its data centre is evacuated
	held               bool      // no new tasks but long-running ones, which move here from an evacuated data centre
	suspect            *run      // the last run of a suspect of crashes that was started here
}

// runKey identifies a run on a worker.
type runKey struct {
	task    TaskID
	attempt int
}

func (r *run) key() runKey { return runKey{r.task.id(), r.number} }

const (
	// A worker that leaves this many calls in a row unanswered counts as silent: its speculative tasks get a copy elsewhere.
	silentThreshold = 2
	// A worker is quarantined after this many failed attempts in a row.
	faultsToQuarantine = 2
	quarantineTime     = 3 * time.Second
	// After this time a failed attempt no longer counts against its worker.
	faultWindow = 6 * time.Second
	// A failure of a long-running task that had run for at least this long is blamed on the task, not on the worker.
	minLongRunningUptime = 2 * time.Second
)

// answers reports whether the worker is listed and has answered the last call, to the current owner.
func (w *worker) answers() bool { return w.listed && w.verified && w.unanswered == 0 }

// isSchedulable reports whether new tasks may be placed on the worker.
func (w *worker) isSchedulable(now time.Time) bool {
	return w.answers() && !w.entry.Draining && !w.cordoned && !w.surplus && !w.evacuated && !w.isIsolating(now) &&
		!now.Before(w.fullUntil) && !now.Before(w.quarantinedUntil)
}

// markUnanswered records since when the worker is silent, before unanswered is raised. A call that fails before its timeout shows the
// time; after a timeout the worker may have been silent since its last answer.
func (w *worker) markUnanswered(now time.Time, timedOut bool) {
	switch {
	case w.unanswered > 0:
	case timedOut:
		w.silentSince, w.brokeOff = w.lastAliveAt, false
	default:
		w.silentSince, w.brokeOff = now, true
	}
}

// hasRecentFaults reports whether attempts failed on the worker recently and none has succeeded since.
func (w *worker) hasRecentFaults(now time.Time) bool {
	return w.faults > 0 && now.Sub(w.lastFaultAt) < faultWindow
}

// endsToAck returns up to which of its ends the worker may be told to forget, 0 if none. A worker that may have restarted since it
// listed them is told nothing: the number would name ends of its new incarnation.
func (w *worker) endsToAck() int64 {
	if !w.verified || w.unanswered > 0 || w.lastEndStored <= w.lastEndAcked {
		return 0
	}
	return w.lastEndStored
}

// extendLeaseExpiry records that leases on the worker may last until the given time.
func (w *worker) extendLeaseExpiry(until time.Time) {
	if until.After(w.leasesExpireAt) {
		w.leasesExpireAt = until
	}
}

func (w *worker) free() setup.Resources { return w.entry.Capacity.Sub(w.used).Sub(w.zombieRoom) }

// hasLabel reports whether the worker has the label. The empty label matches every worker.
func (w *worker) hasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.entry.Labels {
		if l == label {
			return true
		}
	}
	return false
}

func (w *worker) addRun(r *run) {
	w.runs[r.key()] = r
	w.runList = append(w.runList, r)
	w.used = w.used.Add(r.spec().Reservation())
}

func (w *worker) removeRun(r *run) {
	if _, found := w.runs[r.key()]; !found {
		return
	}
	if w.suspect == r {
		w.suspect = nil
	}
	delete(w.runs, r.key())
	w.runList = slices.DeleteFunc(w.runList, func(other *run) bool { return other == r })
	w.used = w.used.Sub(r.spec().Reservation())
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
	return w.answers() && !w.entry.Draining && !w.cordoned && !w.evacuated
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

// batchCores returns how many cores are held by runs on the worker that end by themselves.
func (w *worker) batchCores() float64 {
	sum := 0.0
	for _, r := range w.runList {
		if !r.spec().LongRunning {
			sum += r.spec().Reservation().Cores()
		}
	}
	return sum
}

// isFreeBy reports whether all runs on the worker are expected to have ended by then.
func (w *worker) isFreeBy(now, deadline time.Time) bool {
	for _, r := range w.runList {
		if r.spec().LongRunning || r.expectedEnd(now).After(deadline) {
			return false
		}
	}
	return true
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
