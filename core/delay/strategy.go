package delay

import (
	"math"
	"time"
)

// Offer is a choice: to start a task now where it is slow, or to wait for a place where it is not. All times are from now.
type Offer struct {
	Near     time.Duration // run time of the task on a good place
	Factor   float64       // how many times as long it runs elsewhere
	Outlook  *Outlook      // of the good places, over (Factor-1)*Near; nil for none
	Ahead    int           // tasks that wait for the same places and go first
	Waited   time.Duration // for how long the task has waited already although it could have started elsewhere
	FarLater time.Duration // time until it could start elsewhere if it gives up waiting
	Crowd    float64       // tasks that wait for any room, for each place of the pool: each second that a place is held longer costs them that much
	Deadline time.Duration // until when the task should be done
	Useful   time.Duration // until when its result is of use
}

// Far returns the run time of the task where it is slow.
func (o Offer) Far() time.Duration { return time.Duration(o.Factor * float64(o.Near)) }

// Penalty returns how much longer the task runs where it is slow.
func (o Offer) Penalty() time.Duration { return o.Far() - o.Near }

// Strategy decides about offers.
type Strategy interface {
	// Limit returns for how long the task should wait from now, 0 to start it elsewhere at once. It is asked again whenever a
	// place may have become free.
	Limit(o Offer) time.Duration
}

// Never starts each task at once.
type Never struct{}

// Limit returns 0.
func (Never) Limit(Offer) time.Duration { return 0 }

// Fixed waits for a fixed time.
type Fixed struct {
	Delay time.Duration
}

// Limit returns what is left of the delay.
func (f Fixed) Limit(o Offer) time.Duration { return max(0, f.Delay-o.Waited) }

// Forever waits until there is room.
type Forever struct{}

// Limit returns the longest time.
func (Forever) Limit(Offer) time.Duration { return math.MaxInt64 }

const (
	// minGain is the part of the run time elsewhere that waiting must save. Less doesn't outweigh the errors of estimates.
	minGain = 0.05
	// minChance is the least probability of a place for which a task waits that is late elsewhere. A short job in time is worth 14
	// times a late one.
	minChance = 1.0 / 14
)

// Expected waits while that is expected to end the task, and those that wait for the place it would hold longer, sooner. A task waits in total at most for as long as it would lose elsewhere, so
// that it never takes more than that longer than without waiting, whatever the estimates. A wait doesn't make a task late that would be in
// time elsewhere, and doesn't outlast its use.
type Expected struct{}

// Limit returns the wait with the earliest expected end.
func (Expected) Limit(o Offer) time.Duration {
	longest := min(o.Penalty()-o.Waited, o.Useful-o.Far()-o.FarLater)
	savesDeadline := false
	switch {
	case o.Far() <= o.Deadline:
		longest = min(longest, o.Deadline-o.Far()-o.FarLater)
	case o.Near <= o.Deadline:
		longest = min(longest, o.Deadline-o.Near)
		savesDeadline = true
	}
	if longest <= 0 || o.Outlook == nil {
		return 0
	}
	far := o.Far().Seconds() + o.Crowd*o.Penalty().Seconds()
	best, limit := (1-minGain)*far, time.Duration(0)
	waiting := 0.0 // expected wait in seconds up to the point of the grid
	last := 1.0    // probability that no place is free by then
	for i := 1; i <= gridPoints && o.Outlook.at(i) <= longest; i++ {
		none := 1 - o.Outlook.chance(i, o.Ahead+1)
		waiting += (last + none) / 2 * (o.Outlook.at(i) - o.Outlook.at(i-1)).Seconds()
		last = none
		end := waiting + (1-none)*o.Near.Seconds() + none*(o.FarLater.Seconds()+far)
		if end < best || savesDeadline && 1-none >= minChance {
			best, limit = min(best, end), o.Outlook.at(i)
		}
	}
	return limit
}

// chance returns the probability that at least the number of places is free at the point of the grid, by the normal approximation.
func (o *Outlook) chance(point, places int) float64 {
	distance := o.mean[point] - float64(places) + 0.5
	if o.variance[point] < 1e-9 {
		if distance >= 0 {
			return 1
		}
		return 0
	}
	return 0.5 * math.Erfc(-distance/math.Sqrt(2*o.variance[point]))
}
