package replay

import (
	"strconv"
	"time"

	"mangowing/core/codes"
	"mangowing/core/route"
)

const (
	hedgeAfter   = 4 // median run times after which a second attempt starts
	badFrom      = 3 // parts of a turn, in sixths: workers fail everything from here
	badTill      = 5
	outageFrom   = 3
	outageTill   = 4
	turnSixths   = 6
	firstBad     = 1
	badStep      = 3 // bad workers are of one data centre, like those of one rack
	failedRunDiv = 2 // a request that can never run fails after half of its run time
)

// fill starts waiting requests while there are free slots.
func (w *world) fill(d *dispatcher) {
	for d.scheduler.Waiting() > 0 && !d.refused {
		if w.policy.choice == leastLoaded && d.balancer.FreeSlots(w.clock()) == 0 {
			return
		}
		item, ok := d.scheduler.Next(w.clock(), nil)
		if !ok {
			return
		}
		r := item.Payload().(*request)
		w.meter.waiting[r.demand.team]--
		if !w.startOn(d, r, item.ID()) {
			d.scheduler.Finish(item.ID(), 0, w.clock())
			w.enqueue(r)
			return
		}
	}
}

// startOn starts the request on a worker of the dispatcher; it tells whether one took it.
func (w *world) startOn(d *dispatcher, r *request, id string) bool {
	k, ok := w.choose(d, r)
	if !ok {
		return false
	}
	d.balancer.RecordStart(k.name)
	if k.running >= slotsPerWorker {
		d.balancer.RecordResult(k.name, route.Refused, 0, w.clock())
		d.refused = true
		return false
	}
	w.begin(&attempt{request: r, dispatcher: d, worker: k, id: id, since: w.now, hedge: id != r.id})
	return true
}

func (w *world) choose(d *dispatcher, r *request) (*worker, bool) {
	if w.policy.choice == twoRandom {
		return w.chooseOfTwo(d)
	}
	target, ok := d.balancer.Pick(w.clock(), func(name string) bool { return w.blame.HasFailedOn(r.id, name) })
	if !ok {
		target, ok = d.balancer.Pick(w.clock(), nil)
	}
	return w.byName[target.Name()], ok
}

// chooseOfTwo draws two workers and takes the less loaded one.
func (w *world) chooseOfTwo(d *dispatcher) (*worker, bool) {
	a := d.workers[w.rng.IntN(len(d.workers))].name
	b := d.workers[w.rng.IntN(len(d.workers))].name
	target, ok := d.balancer.Pick(w.clock(), func(name string) bool { return name != a && name != b })
	return w.byName[target.Name()], ok
}

func (w *world) begin(a *attempt) {
	r := a.request
	a.fails = r.demand.poison || w.broken(a.worker)
	took := w.runTime(a)
	a.worker.running++
	r.tries++
	r.live++
	r.attempts = append(r.attempts, a)
	w.meter.started(r, w.now, w.faults.outage && w.within(outageFrom, outageTill))
	w.events.push(w.now+took, finish{a})
	if w.policy.hedging && r.stream.idempotent && !r.stream.job() && !a.hedge {
		w.events.push(w.now+hedgeAfter*r.stream.run, hedging{a})
	}
}

func (w *world) runTime(a *attempt) time.Duration {
	d := a.request.demand
	took := d.run
	if a.request.tries == 0 {
		took = d.straggles
	}
	slower := 1 + contention*float64(a.worker.running)/slotsPerWorker
	took = time.Duration(slower * float64(took))
	switch {
	case w.broken(a.worker):
		return brokenRun
	case d.poison:
		return took / failedRunDiv
	default:
		return took
	}
}

// broken tells whether the worker fails everything now.
func (w *world) broken(k *worker) bool {
	if w.faults.outage && w.within(outageFrom, outageTill) {
		return true
	}
	for i := range w.faults.badWorkers {
		if w.workers[(firstBad+i*badStep)%len(w.workers)] == k {
			return w.within(badFrom, badTill)
		}
	}
	return false
}

func (w *world) within(from, till time.Duration) bool {
	turn := w.trace.turnEnd - w.trace.turnStart
	at := w.now - w.trace.turnStart
	return at >= from*turn/turnSixths && at < till*turn/turnSixths
}

func (w *world) finish(a *attempt) {
	if a.ended {
		return
	}
	w.stop(a, resultOf(a))
	r := a.request
	switch {
	case r.ended:
	case !a.fails:
		w.end(r, codes.OK)
		w.stopOthers(r)
	case r.live == 0:
		w.afterFailure(a)
	}
	w.fill(a.dispatcher)
}

// stopOthers ends the attempts that a hedge or its first attempt made useless.
func (w *world) stopOthers(r *request) {
	for _, a := range r.attempts {
		if !a.ended {
			w.stop(a, route.Inconclusive)
			w.fill(a.dispatcher)
		}
	}
}

func resultOf(a *attempt) route.Result {
	switch {
	case a.request.ended && a.request.code != codes.OK:
		return route.Inconclusive
	case a.fails:
		return route.Failed
	default:
		return route.Succeeded
	}
}

// stop frees the attempt's slot.
func (w *world) stop(a *attempt, result route.Result) {
	a.ended = true
	a.till = w.now
	ran := w.now - a.since
	a.worker.running--
	a.request.live--
	a.dispatcher.balancer.RecordResult(a.worker.name, result, ran, w.clock())
	a.dispatcher.scheduler.Finish(a.id, ran, w.clock())
	w.meter.stopped(a, ran)
}

// afterFailure tries the request again, sets it aside or ends it.
func (w *world) afterFailure(a *attempt) {
	r := a.request
	blamed := w.blame.RecordFailure(r.id, a.worker.name, func(name string) bool { return a.dispatcher.balancer.IsHealthy(name) })
	switch {
	case w.policy.setAside > 0 && blamed:
		w.end(r, codes.JobSetAside)
	case r.stream.job():
		w.events.push(w.now+route.JobRetryDelay(r.tries), retry{r})
	case r.stream.idempotent && w.mayRetry(r):
		w.enqueue(r)
	default:
		w.end(r, codes.UpstreamBroke)
	}
}

func (w *world) mayRetry(r *request) bool {
	switch w.policy.retrying {
	case threeTimes:
		return r.tries < mostTries
	case withBudget:
		return r.dispatcher.budget.TryWithdraw()
	default:
		return false
	}
}

// retryJob lets a job wait for a slot again, once the budget has a retry for it.
func (w *world) retryJob(r *request) {
	if r.ended {
		return
	}
	if w.policy.retrying == withBudget && !r.dispatcher.budget.TryWithdraw() {
		w.events.push(w.now+route.JobRetryDelay(r.tries), retry{r})
		return
	}
	w.enqueue(r)
	w.fill(r.dispatcher)
}

// hedge starts a second attempt of a request that runs unusually long, if a slot is free and nobody waits.
func (w *world) hedge(a *attempt) {
	d := a.dispatcher
	if a.ended || a.request.ended || d.scheduler.Waiting() > 0 || d.balancer.FreeSlots(w.clock()) == 0 {
		return
	}
	if !d.budget.TryWithdraw() {
		return
	}
	r := a.request
	id := r.id + "-hedge" + strconv.Itoa(r.tries)
	spec := w.hedgeItem(r, id)
	d.scheduler.Adopt(spec, w.clock(), w.clock())
	if !w.startOn(d, r, id) {
		d.scheduler.Finish(id, 0, w.clock())
	}
}
