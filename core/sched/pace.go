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
func (m *Machine) watch(now time.Time, r *run, a ActiveRun) {
	r.percent, r.load = a.Percent, a.Load
	if !r.needs().Serves() || a.Load < 0 {
		return
	}
	switch over := int64(a.Load) >= r.needs().TargetMs; {
	case !over:
		r.overSince = time.Time{}
	case r.overSince.IsZero():
		r.overSince = now
	}
}

// setPaces slows the worker's tasks that fill beside serving tasks near their target, and lets them go again.
func (m *Machine) setPaces(w *worker) {
	worst, serving := 0.0, false
	for _, r := range w.order {
		if spec := r.needs(); spec.Serves() && r.load >= 0 {
			serving = true
			worst = max(worst, float64(r.load)/float64(spec.TargetMs))
		}
	}
	for _, r := range w.order {
		if !r.needs().Fills || r.phase != runConfirmed || r.stopping || r.pacing {
			continue
		}
		if percent := nextPace(r.paced, serving, worst); percent != r.paced {
			r.paced, r.pacing = percent, true
			m.orderNow(PaceTask{Worker: w.id, Task: r.task.id(), Attempt: r.attempt, Percent: percent})
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

func (m *Machine) applyPace(rep PaceReport) {
	if rep.Answer == Fenced {
		m.fenced = true
		return
	}
	r := m.runOf(rep.Order.Worker, rep.Order.Task, rep.Order.Attempt)
	if r == nil {
		return
	}
	r.pacing = false
	if rep.Answer != OK {
		r.paced = unknownPace
	}
}

// unknownPace is none that a worker is asked for, so that the next look asks again.
const unknownPace = -1
