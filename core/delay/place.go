package delay

import "time"

// Place is room near a task's data that is not free yet.
type Place interface {
	// freeWithin returns the probability that the place is free within the time from now.
	freeWithin(t time.Duration) float64
}

const (
	// Most tasks take from spreadFrom to spreadTo times their estimate. The share tailShare takes up to tailTo times as long.
	spreadFrom = 0.7
	spreadTo   = 1.3
	tailShare  = 0.03
	tailTo     = 7.0
	// arrivalSpread is the share of a machine's expected time on its way by which it may come later.
	arrivalSpread = 0.5
	// minSilence keeps a worker that fell silent just now from counting as one that is back at once.
	minSilence = time.Second
)

// Held is room that a running task holds.
type Held struct {
	Elapsed  time.Duration // for which the task has run
	Estimate time.Duration // of its whole run time
}

// Arriving is room on a machine on its way, or on a worker that takes no tasks until then.
type Arriving struct {
	In time.Duration // expected time until it takes tasks
}

// Silent is room on a worker that doesn't answer.
type Silent struct {
	For time.Duration // since when
}

// freeWithin returns the probability that the task ends within t, given that it has run for Elapsed. A task past its estimate is not
// about to end, and one past all expectations is as likely to run on for as long again as not.
func (h Held) freeWithin(t time.Duration) float64 {
	now := h.endedBy(h.Elapsed)
	if now >= 1 {
		return t.Seconds() / max(t+h.Elapsed, time.Millisecond).Seconds()
	}
	return (h.endedBy(h.Elapsed+t) - now) / (1 - now)
}

// endedBy returns the share of tasks with the estimate that end within the run time.
func (h Held) endedBy(runTime time.Duration) float64 {
	x := runTime.Seconds() / max(h.Estimate, time.Millisecond).Seconds()
	switch {
	case x <= spreadFrom:
		return 0
	case x <= spreadTo:
		return (1 - tailShare) * (x - spreadFrom) / (spreadTo - spreadFrom)
	default:
		return min(1, 1-tailShare+tailShare*(x-spreadTo)/(tailTo-spreadTo))
	}
}

// freeWithin rises from In over arrivalSpread of it.
func (a Arriving) freeWithin(t time.Duration) float64 {
	if t < a.In {
		return 0
	}
	return min(1, (t-a.In).Seconds()/max(time.Duration(arrivalSpread*float64(a.In)), time.Millisecond).Seconds())
}

// freeWithin is one half for as long as the worker has been silent: what has been away for long is likely to stay away.
func (s Silent) freeWithin(t time.Duration) float64 {
	return t.Seconds() / (t + max(s.For, minSilence)).Seconds()
}

// Outlook is how many of a set of places are free by when.
type Outlook struct {
	horizon  time.Duration
	mean     [gridPoints + 1]float64 // number of free places at each point of the grid
	variance [gridPoints + 1]float64
}

// gridPoints is into how many parts the horizon is divided.
const gridPoints = 16

// NewOutlook returns the outlook over the time from now to the horizon. It takes time in proportion to the number of places.
func NewOutlook(horizon time.Duration, places []Place) *Outlook {
	o := &Outlook{horizon: horizon}
	for _, p := range places {
		for i := range o.mean {
			free := p.freeWithin(o.at(i))
			o.mean[i] += free
			o.variance[i] += free * (1 - free)
		}
	}
	return o
}

func (o *Outlook) at(point int) time.Duration {
	return o.horizon * time.Duration(point) / gridPoints
}
