package sched

import "time"

const (
	// A serving task near its target slows what fills beside it: share of the target from which on.
	paceDownAt = 0.9
	// Share of the target below which what fills is let go faster again.
	paceUpAt = 0.6
	// Percent by which a filling task is let go faster with each look.
	paceStep = 15
	// Factor by which a filling task is slowed with each look.
	paceFactor = 0.4
	// Percent below which a filling task stands still.
	paceFloor = 10
)

// watch notes what a worker says of a running attempt.
func (sc *Scheduler) watch(now time.Time, r *run, a ActiveRun) {
	r.speedPercent, r.load = a.SpeedPercent, a.Load
	if !r.spec().IsServing() || a.Load < 0 {
		return
	}
	switch over := int64(a.Load) >= r.spec().TargetMs; {
	case !over:
		r.overTargetSince = time.Time{}
	case r.overTargetSince.IsZero():
		r.overTargetSince = now
	}
}

// setPaces slows the worker's tasks that fill beside serving tasks near their target, and lets them go again.
func (sc *Scheduler) setPaces(w *worker) {
	worst, serving := 0.0, false
	for _, r := range w.order {
		if spec := r.spec(); spec.IsServing() && r.load >= 0 {
			serving = true
			worst = max(worst, float64(r.load)/float64(spec.TargetMs))
		}
	}
	for _, r := range w.order {
		if !r.spec().BestEffort || r.phase != runConfirmed || r.stopping || r.throttlePending {
			continue
		}
		if percent := nextPace(r.requestedSpeed, serving, worst); percent != r.requestedSpeed {
			r.requestedSpeed, r.throttlePending = percent, true
			sc.orderImmediately(ThrottleTask{Worker: w.id, Task: r.task.id(), Attempt: r.attempt, SpeedPercent: percent})
		}
	}
}

// nextPace returns the percent for a filling task beside serving ones whose worst latency is the given part of the target.
func nextPace(paced int, serving bool, worst float64) int {
	switch {
	case !serving:
		return fullSpeed
	case worst >= 1:
		return 0
	case worst >= paceDownAt:
		if next := int(float64(paced) * paceFactor); next >= paceFloor {
			return next
		}
		return 0
	case worst < paceUpAt:
		return min(fullSpeed, paced+paceStep)
	default:
		return paced
	}
}

func (sc *Scheduler) applyPace(rep ThrottleResult) {
	if rep.Answer == AnswerFenced {
		sc.fenced = true
		return
	}
	r := sc.runOf(rep.Order.Worker, rep.Order.Task, rep.Order.Attempt)
	if r == nil {
		return
	}
	r.throttlePending = false
	if rep.Answer != AnswerOK {
		r.requestedSpeed = unknownPace
	}
}

// unknownPace is none that a worker is asked for, so that the next look asks again.
const unknownPace = -1
