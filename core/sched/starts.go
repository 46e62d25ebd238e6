package sched

import (
	"fmt"
	"strconv"
	"time"
)

// applyStartResult applies the answer to the order to start an attempt.
func (sc *Scheduler) applyStartResult(now time.Time, res StartResult) {
	if res.Answer == AnswerFenced {
		sc.applyFence(res.Order.Worker, res.Order.Generation)
	}
	if sc.fenced {
		return
	}
	w, found := sc.workers[res.Order.Worker]
	if !found {
		return
	}
	w.renewalsInFlight = max(0, w.renewalsInFlight-1)
	sc.countRenewal(now, w, res.GrantedAt, res.ClockIncarnation)
	if res.Restarted && res.ClockIncarnation == w.incarnation && res.Order.Generation >= w.lateRenewalsBefore {
		sc.logDecision(now, "worker-clock-back", "", w.id, "incarnation "+strconv.FormatInt(w.incarnation, 10))
		sc.distrust(now, w)
	}
	if res.Answer == AnswerUnknown {
		sc.barLateCalls(w, res.Order.Generation)
	}
	r := w.runs[runKey{res.Order.Task, res.Order.Attempt}]
	if r == nil {
		return
	}
	sc.recordStartAnswer(now, r, res)
	r.starts.repeatPending = false
	if r.phase == runConfirmed {
		if res.Answer == AnswerUnknown && r.starts.repeats > 0 {
			// Another copy of the order has started the run, so that this one may still be carried out.
			r.starts.markUnanswered(now, res.Order.Generation)
		}
		return
	}
	switch res.Answer {
	case AnswerOK:
		sc.confirmStart(now, r)
	case AnswerNotSent:
		w.markUnanswered(now, false)
		w.unanswered++
		sc.pollSoon(now, w)
		sc.applyRefusedStart(now, r, res.Answer)
	case AnswerUnknown:
		sc.retryStart(now, r, res.Order, res.Latency)
	case AnswerSuperseded, AnswerLeaseExpired, AnswerNoRoom, AnswerNoTicket, AnswerRefused, AnswerInvalid, AnswerWrongIncarnation, AnswerWithdrawn, AnswerBusy, AnswerFenced:
		sc.applyRefusedStart(now, r, res.Answer)
	}
}

// applyRefusedStart ends an attempt that the worker refused to start. If an earlier order for it had no answer, or the
// worker answers that the attempt is over, it may have run all the same: then it is stopped, and the worker's next lists of
// active and ended runs decide.
func (sc *Scheduler) applyRefusedStart(now time.Time, r *run, answer OrderAnswer) {
	w := r.worker
	if r.phase == runUnknown || answer == AnswerSuperseded {
		r.phase = runUnknown
		if !r.stopping {
			sc.stopRun(now, r)
		}
		return
	}
	switch answer {
	case AnswerNoRoom:
		w.fullUntil = now.Add(noRoomBackoff)
	case AnswerNoTicket:
		delete(r.task.step.tickets, w.id)
	case AnswerRefused, AnswerInvalid, AnswerWrongIncarnation:
		w.quarantinedUntil = now.Add(refusalBackoff)
	default:
	}
	sc.endUnstarted(now, r, answer)
}

// confirmStart records that the worker has started the run.
func (sc *Scheduler) confirmStart(now time.Time, r *run) {
	r.inherited = r.phase == runInherited
	r.phase, r.startedAt = runConfirmed, now
	if now.After(r.absenceValidAfter) {
		r.absenceValidAfter = now
	}
	r.worker.lastAliveAt, r.worker.endedAt = now, time.Time{}
	j := r.task.job()
	if !j.started {
		j.started = true
		sc.markChanged(j)
	}
}

// endUnstarted ends an attempt that never ran. Its outcome is AttemptLost.
func (sc *Scheduler) endUnstarted(now time.Time, r *run, answer OrderAnswer) {
	sc.counters.refusedStarts++
	sc.logDecision(now, "start-refused", r.task.id().String(), r.worker.id, answer.String())
	sc.endRun(now, r, AttemptLost, "")
}

// retryStart repeats an order that had no answer; the order is idempotent. After maxStartRetries repeats the run is stopped,
// so that a delayed order can't start it later.
func (sc *Scheduler) retryStart(now time.Time, r *run, o StartTask, latency time.Duration) {
	r.phase = runUnknown
	r.starts.markUnanswered(now, o.Generation)
	sc.logDecision(now, "start-unanswered", r.task.id().String(), r.worker.id, fmt.Sprintf("attempt %d, incarnation %d", r.number, r.worker.incarnation))
	if r.worker.unanswered == 0 {
		r.worker.markUnanswered(now, latency >= callTimeout)
		r.worker.unanswered = 1
	}
	if r.stopping {
		return
	}
	if r.starts.repeats++; r.starts.repeats <= maxStartRetries && !r.worker.evacuated {
		r.worker.renewalsInFlight++
		o.Generation = r.worker.generation
		r.starts.repeat(o.Generation)
		sc.orderImmediately(o)
		return
	}
	sc.logDecision(now, "start-given-up", r.task.id().String(), r.worker.id, "no answer")
	sc.stopRun(now, r)
}

// IsStartWanted reports whether a start should still be sent after the wait for its record to be stored. Its worker's capacity may
// have shrunk meanwhile, its data centre be evacuated, or the worker have restarted or fallen silent.
func (sc *Scheduler) IsStartWanted(o StartTask) bool {
	r := sc.findRun(o.Worker, o.Task, o.Attempt)
	return r != nil && !r.stopping && r.task.job().isOpen() && r.worker.fits() && !r.worker.evacuated && o.Generation == r.worker.generation
}
