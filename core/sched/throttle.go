package sched

import "time"

const (
	// A serving task slows the best-effort tasks beside it when its latency reaches this share of its target.
	throttleAbove = 0.9
	// Below this share of the target, best-effort tasks are sped up again.
	speedUpBelow = 0.6
	// Percentage points by which a best-effort task is sped up with each poll.
	speedUpStep = 15
	// Factor by which a best-effort task is slowed with each poll.
	throttleFactor = 0.4
	// Percentage below which a best-effort task is halted.
	minSpeed = 10
)

// recordProgress records the speed and load that a worker reports for a run, and since when a serving run has been over its
// target.
func (sc *Scheduler) recordProgress(now time.Time, r *run, a ActiveRun) {
	r.speedPercent, r.reportedLoad = a.SpeedPercent, a.Load
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

// adjustThrottling slows the worker's best-effort tasks while a serving task beside them is near its latency target, and
// speeds them up again afterwards.
func (sc *Scheduler) adjustThrottling(w *worker) {
	worstLoad, serving := 0.0, false
	for _, r := range w.runList {
		if spec := r.spec(); spec.IsServing() && r.reportedLoad >= 0 {
			serving = true
			worstLoad = max(worstLoad, float64(r.reportedLoad)/float64(spec.TargetMs))
		}
	}
	for _, r := range w.runList {
		if !r.spec().BestEffort || r.phase != runConfirmed || r.stopping || r.throttlePending {
			continue
		}
		if percent := nextSpeed(r.requestedSpeed, serving, worstLoad); percent != r.requestedSpeed {
			r.requestedSpeed, r.throttlePending = percent, true
			sc.orderImmediately(ThrottleTask{Worker: w.id, Task: r.task.id(), Attempt: r.number, SpeedPercent: percent, Generation: w.generation})
		}
	}
}

// nextSpeed returns the next speed, in percent, of a best-effort task that has the given speed now. worstLoad is the highest
// latency of the serving tasks beside it, as a share of the target.
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

func (sc *Scheduler) applyThrottleResult(res ThrottleResult) {
	if res.Answer == AnswerFenced {
		sc.applyFence(res.Order.Worker, res.Order.Generation)
	}
	if sc.fenced {
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

// unknownSpeed differs from every speed that is ordered, so that the next poll orders a speed again.
const unknownSpeed = -1
