package sched

import (
	"fmt"
	"time"
)

// A call without an answer may be carried out this much later.
const maxCallDelay = 12 * time.Second

// countRenewal records that the leases of all runs on the worker may have been renewed at that time, until an end that was computed by
// the clock of the given incarnation. If that is not the present one, the worker grants its longest lease.
func (sc *Scheduler) countRenewal(now time.Time, w *worker, grantedAt time.Time, clockIncarnation int64) {
	w.extendLeaseExpiry(grantedAt.Add(sc.options.leaseExpiryBound()))
	if clockIncarnation != 0 && clockIncarnation != w.incarnation {
		w.extendLeaseExpiry(now.Add(sc.options.maxLeaseExpiryBound()))
	}
}

// allowForLateRenewals extends the time for which the leases of a worker that has restarted count: calls that were sent to its former
// incarnation may renew them yet, for as long as the worker grants, until it has answered a call of the present generation.
func (sc *Scheduler) allowForLateRenewals(now time.Time, w *worker) {
	w.lateRenewalsBefore = w.generation
	w.extendLeaseExpiry(now.Add(maxCallDelay + sc.options.maxLeaseExpiryBound()))
}

// endLateRenewals shortens that time once the worker has answered a call of the generation.
func (sc *Scheduler) endLateRenewals(now time.Time, w *worker, generation int64) {
	if w.lateRenewalsBefore == 0 || generation < w.lateRenewalsBefore {
		return
	}
	w.lateRenewalsBefore = 0
	w.leasesExpireAt = now.Add(sc.options.maxLeaseExpiryBound())
}

// keepFormerLeases remembers that calls which were sent to a worker before its removal may have renewed leases, or may do so yet. The worker
// may come back under its ID, in the same incarnation or in another one.
func (sc *Scheduler) keepFormerLeases(now time.Time, w *worker) {
	if w.renewalsInFlight > 0 {
		w.extendLeaseExpiry(now)
	}
	if !w.leasesExpireAt.IsZero() {
		sc.formerLeases[w.id] = w.leasesExpireAt.Add(maxCallDelay + sc.options.maxLeaseExpiryBound())
	}
}

// restoreFormerLeases allows for such renewals when the worker is listed again.
func (sc *Scheduler) restoreFormerLeases(now time.Time, w *worker) {
	if until, found := sc.formerLeases[w.id]; found && now.Before(until) {
		sc.allowForLateRenewals(now, w)
	}
	delete(sc.formerLeases, w.id)
}

// dropFormerLeases forgets the removed workers whose leases, and the calls that may renew them, are over.
func (sc *Scheduler) dropFormerLeases(now time.Time) {
	for id, until := range sc.formerLeases {
		if !now.Before(until) {
			delete(sc.formerLeases, id)
		}
	}
}

// allowForFormerIncarnation extends the time for which the worker's leases count if its incarnation is so young that the previous owner
// may have set them by the clock of the one before, or may do so until the worker has answered this one.
func (sc *Scheduler) allowForFormerIncarnation(now time.Time, w *worker, incarnation int64) {
	isSettled := !now.Before(sc.predecessorRenewsUntil.Add(maxCallDelay + sc.options.maxLeaseExpiryBound()))
	if isSettled || !sc.startedRecently(now, incarnation) {
		return
	}
	sc.raiseGeneration(w)
	w.lateRenewalsBefore = w.generation
	w.extendLeaseExpiry(sc.predecessorRenewsUntil.Add(sc.options.maxLeaseExpiryBound()))
}

// startedRecently reports whether an incarnation, given by its start in Unix milliseconds, is so young that calls meant for the one
// before it may have set its leases.
func (sc *Scheduler) startedRecently(now time.Time, incarnation int64) bool {
	return incarnation != 0 && now.Sub(time.UnixMilli(incarnation)) < maxCallDelay+sc.options.maxLeaseExpiryBound()
}

// expireLeases ends the runs on workers that have not answered for so long that all leases there have expired. It waits
// while a call that may renew them is in flight. Workers that are no longer listed and have no runs are removed.
func (sc *Scheduler) expireLeases(now time.Time) {
	sc.dropFormerLeases(now)
	var expired []*worker
	for _, w := range sc.workersByID {
		if w.answers() || now.Before(w.leasesExpireAt) || w.renewalsInFlight > 0 {
			continue
		}
		expired = append(expired, w)
	}
	for _, w := range expired {
		if w.unanswered > 0 || !w.verified {
			sc.endExpiredRuns(now, w)
		}
		sc.removeWorkerIfUnused(now, w)
	}
}

// endExpiredRuns ends the runs on a worker whose leases have expired.
func (sc *Scheduler) endExpiredRuns(now time.Time, w *worker) {
	var expired []*run
	for _, r := range w.runList {
		if sc.hasLeaseExpired(now, r) {
			expired = append(expired, r)
		}
	}
	if len(expired) == 0 {
		return
	}
	sc.logDecision(now, "leases-lapsed", "", w.id, fmt.Sprintf("incarnation %d, last answer %s ago", w.incarnation, now.Sub(w.lastAnswerAt).Round(time.Millisecond)))
	w.markPossibleCrash()
	for _, r := range expired {
		sc.endRun(now, r, AttemptLeaseExpired, "")
	}
}

// hasLeaseExpired reports whether a run can't hold a lease any more, given that those of all confirmed runs on its worker have expired. A
// start order without an answer may have been carried out by an incarnation that the scheduler doesn't know yet.
func (sc *Scheduler) hasLeaseExpired(now time.Time, r *run) bool {
	return r.starts.unansweredAt.IsZero() || !now.Before(r.starts.unansweredAt.Add(sc.options.maxLeaseExpiryBound()))
}
