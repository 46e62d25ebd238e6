package sched

import (
	"slices"
	"time"

	"mangowing/core/setup"
)

// worker is one worker as the machine believes it to be.
type worker struct {
	id               string
	entry            WorkerEntry
	incarnation      int64
	listed           bool
	listedAt         time.Time
	verified         bool // it has answered under the owner's fencing token
	unanswered       int  // calls without an answer since the last one
	lastAnswerAt     time.Time
	leasesExpireAt   time.Time // what runs there has surely ended by then
	pollInFlight     bool      // a look is on the way
	renewalsInFlight int       // calls on the way that may renew what runs
	nextPollAt       time.Time
	recheckAt        time.Time // a look sent after it tells what one before left open
	lastEndSeen      int64     // number of the last end taken over
	lastEndStored    int64     // number of the last end on the journal
	runs             map[runKey]*run
	runList          []*run // the same in the order in which they were noted
	used             setup.Resources
	fullUntil        time.Time // it had no room; not asked again before
	quarantinedUntil time.Time // it fails what it starts; not used before
	faults           int       // failed attempts since the last good one
	lastFaultAt      time.Time // when the last attempt failed
	lastSuccessAt    time.Time // when the last attempt ended well
	staysUntil       time.Time // a draining worker stays until then at least
	cordoned         bool      // no new tasks: the machine is about to be taken away
	surplus          bool      // no new tasks: its pool has more machines than it needs
}

type runKey struct {
	task    TaskID
	attempt int
}

func (r *run) key() runKey { return runKey{r.task.id(), r.number} }

const (
	// A worker is no longer renewed after this many calls without an answer.
	maxUnanswered = 2
	// Failed attempts in a row after which a worker rests.
	faultsToQuarantine = 2
	quarantineTime     = 3 * time.Second
	// A failed attempt says nothing of its worker after this time.
	faultWindow = 6 * time.Second
	// A lasting task that was at work for this long failed through its own fault.
	minLongRunningUptime = 2 * time.Second
)

// usable tells whether new tasks may be placed on the worker.
func (w *worker) isSchedulable(now time.Time) bool {
	return w.listed && w.verified && w.unanswered == 0 && !w.entry.Draining && !w.cordoned && !w.surplus &&
		!now.Before(w.fullUntil) && !now.Before(w.quarantinedUntil)
}

// suspect tells whether attempts failed on the worker lately and none has ended well since.
func (w *worker) hasRecentFaults(now time.Time) bool {
	return w.faults > 0 && now.Sub(w.lastFaultAt) < faultWindow
}

func (w *worker) free() setup.Resources { return w.entry.Capacity.Sub(w.used) }

// hasLabel tells whether the worker has the label; every worker has the empty one.
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
	delete(w.runs, r.key())
	w.runList = slices.DeleteFunc(w.runList, func(other *run) bool { return other == r })
	w.used = w.used.Sub(r.spec().Reservation())
}
