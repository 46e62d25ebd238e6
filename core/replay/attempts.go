package replay

import (
	"strconv"
	"time"

	"mangowing/core/codes"
	"mangowing/core/route"
)

const (
	hedgeAfterRunTimes = 4 // in median run times: how long an attempt runs before a second one starts
	badFromSixth       = 3 // bad workers fail everything from the start of this sixth of the turn
	badUntilSixth      = 5
	outageFromSixth    = 3 // all workers fail everything from the start of this sixth of the turn
	outageUntilSixth   = 4
	turnSixths         = 6
	firstBadWorker     = 1
	badWorkerStep      = 3 // equals dataCentres, so that all bad workers are in one data centre, as if they shared a rack
	failedRunDivisor   = 2 // a request that always fails does so after half of its run time
)

// startWaiting starts waiting requests of the dispatcher while there are free slots.
func (s *simulation) startWaiting(d *dispatcher) {
	for d.scheduler.Waiting() > 0 && !d.wasRefused {
		if s.policy.workerChoice == leastLoaded && d.balancer.FreeSlots(s.wallClock()) == 0 {
			return
		}
		item, ok := d.scheduler.Next(s.wallClock(), nil)
		if !ok {
			return
		}
		r := item.Payload().(*request)
		s.meter.waiting[r.demand.teamIndex]--
		if !s.startAttempt(d, r, item.ID()) {
			d.scheduler.Finish(item.ID(), 0, s.wallClock())
			s.enqueue(r)
			return
		}
	}
}

// startAttempt starts the request on a worker of the dispatcher and reports whether a worker accepted it. After a refusal
// the dispatcher starts nothing until the next heartbeat.
func (s *simulation) startAttempt(d *dispatcher, r *request, id string) bool {
	w, ok := s.pickWorker(d, r)
	if !ok {
		return false
	}
	d.balancer.RecordStart(w.name)
	if w.running >= slotsPerWorker {
		d.balancer.RecordResult(w.name, route.Refused, 0, s.wallClock())
		d.wasRefused = true
		return false
	}
	s.beginAttempt(&attempt{request: r, dispatcher: d, worker: w, id: id, startedAt: s.now, isHedge: id != r.id})
	return true
}

func (s *simulation) pickWorker(d *dispatcher, r *request) (*worker, bool) {
	if s.policy.workerChoice == twoRandom {
		return s.pickOfTwoRandom(d)
	}
	target, ok := d.balancer.Pick(s.wallClock(), func(name string) bool { return s.failures.HasFailedOn(r.id, name) })
	if !ok {
		target, ok = d.balancer.Pick(s.wallClock(), nil)
	}
	return s.workersByName[target.Name()], ok
}

// pickOfTwoRandom returns the less loaded of two random workers.
func (s *simulation) pickOfTwoRandom(d *dispatcher) (*worker, bool) {
	a := d.workers[s.rng.IntN(len(d.workers))].name
	b := d.workers[s.rng.IntN(len(d.workers))].name
	target, ok := d.balancer.Pick(s.wallClock(), func(name string) bool { return name != a && name != b })
	return s.workersByName[target.Name()], ok
}

func (s *simulation) beginAttempt(a *attempt) {
	r := a.request
	a.willFail = r.demand.alwaysFails || s.isBroken(a.worker)
	runTime := s.attemptRunTime(a)
	a.worker.running++
	r.attemptCount++
	r.running++
	r.attempts = append(r.attempts, a)
	s.meter.recordStart(r, s.now, s.faults.outage && s.isInTurnSixths(outageFromSixth, outageUntilSixth))
	s.events.push(s.now+runTime, completion{a})
	if s.policy.hedges && r.stream.isIdempotent && !r.stream.isJob() && !a.isHedge {
		s.events.push(s.now+hedgeAfterRunTimes*r.stream.medianRunTime, hedgeDue{a})
	}
}

func (s *simulation) attemptRunTime(a *attempt) time.Duration {
	d := a.request.demand
	runTime := d.runTime
	if a.request.attemptCount == 0 {
		runTime = d.firstRunTime
	}
	slowdown := 1 + fullWorkerSlowdown*float64(a.worker.running)/slotsPerWorker
	runTime = time.Duration(slowdown * float64(runTime))
	switch {
	case s.isBroken(a.worker):
		return brokenRunTime
	case d.alwaysFails:
		return runTime / failedRunDivisor
	default:
		return runTime
	}
}

// isBroken reports whether the worker currently fails everything that it starts.
func (s *simulation) isBroken(w *worker) bool {
	if s.faults.outage && s.isInTurnSixths(outageFromSixth, outageUntilSixth) {
		return true
	}
	for i := range s.faults.badWorkers {
		if s.workers[(firstBadWorker+i*badWorkerStep)%len(s.workers)] == w {
			return s.isInTurnSixths(badFromSixth, badUntilSixth)
		}
	}
	return false
}

// isInTurnSixths reports whether the current time lies between two sixths of the turn.
func (s *simulation) isInTurnSixths(fromSixth, untilSixth time.Duration) bool {
	turn := s.trace.turnEnd - s.trace.turnStart
	sinceTurnStart := s.now - s.trace.turnStart
	return sinceTurnStart >= fromSixth*turn/turnSixths && sinceTurnStart < untilSixth*turn/turnSixths
}

func (s *simulation) completeAttempt(a *attempt) {
	if a.isEnded {
		return
	}
	s.stopAttempt(a, attemptResult(a))
	r := a.request
	switch {
	case r.isEnded:
	case !a.willFail:
		s.endRequest(r, codes.OK)
		s.stopOtherAttempts(r)
	case r.running == 0:
		s.handleFailure(a)
	}
	s.startWaiting(a.dispatcher)
}

// stopOtherAttempts stops the attempts that are still running after another attempt of the request has succeeded.
func (s *simulation) stopOtherAttempts(r *request) {
	for _, a := range r.attempts {
		if !a.isEnded {
			s.stopAttempt(a, route.Inconclusive)
			s.startWaiting(a.dispatcher)
		}
	}
}

func attemptResult(a *attempt) route.Result {
	switch {
	case a.request.isEnded && a.request.code != codes.OK:
		return route.Inconclusive
	case a.willFail:
		return route.Failed
	default:
		return route.Succeeded
	}
}

// stopAttempt ends the attempt, frees its slot and records the result.
func (s *simulation) stopAttempt(a *attempt, result route.Result) {
	a.isEnded = true
	a.endedAt = s.now
	ran := s.now - a.startedAt
	a.worker.running--
	a.request.running--
	a.dispatcher.balancer.RecordResult(a.worker.name, result, ran, s.wallClock())
	a.dispatcher.scheduler.Finish(a.id, ran, s.wallClock())
	s.meter.recordStop(a, ran)
}

// handleFailure retries the request, sets it aside or ends it. Jobs are retried until they succeed or are set aside.
func (s *simulation) handleFailure(a *attempt) {
	r := a.request
	shouldSetAside := s.failures.RecordFailure(r.id, a.worker.name, func(name string) bool { return a.dispatcher.balancer.IsHealthy(name) })
	switch {
	case s.policy.setAsideAfter > 0 && shouldSetAside:
		s.endRequest(r, codes.JobSetAside)
	case r.stream.isJob():
		s.events.push(s.now+route.JobRetryDelay(r.attemptCount), retryDue{r})
	case r.stream.isIdempotent && s.allowRetry(r):
		s.enqueue(r)
	default:
		s.endRequest(r, codes.UpstreamBroke)
	}
}

// allowRetry reports whether a failed request is retried. With a retry budget it withdraws one retry from it.
func (s *simulation) allowRetry(r *request) bool {
	switch s.policy.retryRule {
	case retryThreeTimes:
		return r.attemptCount < maxAttempts
	case retryWithBudget:
		return r.dispatcher.budget.TryWithdraw()
	default:
		return false
	}
}

// retryJob queues a failed job again. If the retry budget is empty, it tries again after the job's retry delay.
func (s *simulation) retryJob(r *request) {
	if r.isEnded {
		return
	}
	if s.policy.retryRule == retryWithBudget && !r.dispatcher.budget.TryWithdraw() {
		s.events.push(s.now+route.JobRetryDelay(r.attemptCount), retryDue{r})
		return
	}
	s.enqueue(r)
	s.startWaiting(r.dispatcher)
}

// startHedge starts a second attempt of a request that runs unusually long, if a slot is free, no request waits and the
// retry budget permits it.
func (s *simulation) startHedge(a *attempt) {
	d := a.dispatcher
	if a.isEnded || a.request.isEnded || d.scheduler.Waiting() > 0 || d.balancer.FreeSlots(s.wallClock()) == 0 {
		return
	}
	if !d.budget.TryWithdraw() {
		return
	}
	r := a.request
	id := r.id + "-hedge" + strconv.Itoa(r.attemptCount)
	item := s.newHedgeItem(r, id)
	d.scheduler.Adopt(item, s.wallClock(), s.wallClock())
	if !s.startAttempt(d, r, id) {
		d.scheduler.Finish(id, 0, s.wallClock())
	}
}
