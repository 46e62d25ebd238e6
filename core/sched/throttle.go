package sched

import "time"

const (
	// A serving task near its target slows what fills beside it: share of the target from which on.
	throttleAbove = 0.9
	// Share of the target below which what fills is let go faster again.
	speedUpBelow = 0.6
	// Percent by which a filling task is let go faster with each look.
	speedUpStep = 15
	// Factor by which a filling task is slowed with each look.
	throttleFactor = 0.4
	// Percent below which a filling task stands still.
	minSpeed = 10
)

// watch notes what a worker says of a running attempt.
func (sc *Scheduler) recordProgress(now time.Time, r *run, a ActiveRun) {
	r.speedPercent, r.load = a.SpeedPercent, a.Load
	if !r.spec().IsServing() || a.Load < 0 {
		return
	}
	switch isOver := int64(a.Load) >= r.spec().TargetMs; {
	case !isOver:
		r.overTargetSince = time.Time{}
	case r.overTargetSince.IsZero():
		r.overTargetSince = now
	}
}

// setPaces slows the worker's tasks that fill beside serving tasks near their target, and lets them go again.
func (sc *Scheduler) adjustThrottling(w *worker) {
	worstLoad, serving := 0.0, false
	for _, r := range w.runList {
		if spec := r.spec(); spec.IsServing() && r.load >= 0 {
			serving = true
			worstLoad = max(worstLoad, float64(r.load)/float64(spec.TargetMs))
		}
	}
	for _, r := range w.runList {
		if !r.spec().BestEffort || r.phase != runConfirmed || r.stopping || r.throttlePending {
			continue
		}
		if percent := nextSpeed(r.requestedSpeed, serving, worstLoad); percent != r.requestedSpeed {
			r.requestedSpeed, r.throttlePending = percent, true
			sc.orderImmediately(ThrottleTask{Worker: w.id, Task: r.task.id(), Attempt: r.number, SpeedPercent: percent})
		}
	}
}

// nextPace returns the percent for a filling task beside serving ones whose worst latency is the given part of the target.
func nextSpeed(speed int, serving bool, worstLoad float64) int {
	switch {
	case !serving:
		return fullSpeed
	case worstLoad >= 1:
		return 0
	case worstLoad >= throttleAbove:
		if next := int(float64(speed) * throttleFactor); next >= minSpeed {
			return next
		}
		return 0
	case worstLoad < speedUpBelow:
		return min(fullSpeed, speed+speedUpStep)
	default:
		return speed
	}
}

func (sc *Scheduler) applyThrottle(res ThrottleResult) {
	if res.Answer == AnswerFenced {
		sc.fenced = true
		return
	}
	r := sc.findRun(res.Order.Worker, res.Order.Task, res.Order.Attempt)
	if r == nil {
		return
	}
	r.throttlePending = false
	if res.Answer != AnswerOK {
		r.requestedSpeed = unknownSpeed
	}
}

// unknownPace is none that a worker is asked for, so that the next look asks again.
const unknownSpeed = -1
