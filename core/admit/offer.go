package admit

import "time"

// rounding is the error of sums of core-seconds that is not taken for a lack of capacity.
const rounding = 1e-6

// Step is a step of a job that asks for capacity.
type Step struct {
	Cores    float64       // of all its tasks together
	Estimate time.Duration // run time of a task
	After    time.Duration // earliest start, from the job's acceptance on
	Before   time.Duration // time that the steps after it take
}

// work returns the step's core-seconds.
func (s Step) work() float64 { return s.Cores * s.Estimate.Seconds() }

// Job asks for capacity.
type Job struct {
	Steps     []Step
	Deadline  time.Duration // by when it should be done, from its acceptance on
	UsefulFor time.Duration // until when it is of use
	OverShare bool          // its team is above its share: it gets what is left by all others until its deadline
}

// Offer is what a timeline can promise to a job.
type Offer uint8

// Offers.
const (
	Refused       Offer = iota
	OfferedInTime       // it is done by its deadline
	OfferedLate         // it is done while it is of use, after everything that is promised in time
)

// String returns the offer's name, such as "in-time".
func (o Offer) String() string { return [...]string{"refused", "in-time", "late"}[o] }

// Offer returns what the timeline can promise to the job. It promises nothing yet; see Accept.
func (t *Timeline) Offer(j Job) Offer {
	t.update()
	switch {
	case j.OverShare && t.fits(j, j.Deadline, &t.all, 0):
		return OfferedLate
	case j.OverShare:
		return Refused
	case t.fits(j, j.Deadline, &t.inTime, 0):
		return OfferedInTime
	case t.fits(j, j.UsefulFor, &t.all, 0):
		return OfferedLate
	default:
		return Refused
	}
}

// Accept promises the job what was offered.
func (t *Timeline) Accept(j Job, o Offer) {
	class, limit := InTime, j.Deadline
	if o != OfferedInTime {
		class, limit = Late, j.UsefulFor
	}
	for _, s := range j.Steps {
		t.Promise(class, s.work(), limit-s.Before)
	}
}

// ExpectedIn returns when the job would fit by its deadline if it came later, and no more work came before it. It returns false if it
// wouldn't within the given time.
func (t *Timeline) ExpectedIn(j Job, within time.Duration) (time.Duration, bool) {
	t.update()
	ahead := &t.inTime
	if j.OverShare {
		ahead = &t.all
	}
	for wait := SlotTime; wait <= within; wait += SlotTime {
		if t.fits(j, j.Deadline, ahead, wait) {
			return wait, true
		}
	}
	return 0, false
}

// fits reports whether a job that comes after the given wait can be done within the limit after that, beside the work ahead.
func (t *Timeline) fits(j Job, limit time.Duration, ahead *[slotCount]float64, wait time.Duration) bool {
	var due [slotCount]float64
	first := slotCount
	for _, s := range j.Steps {
		end := limit - s.Before
		if s.After+s.Estimate > end || t.doneBetween(s.Cores, wait+s.After, wait+end)+rounding < s.work() {
			return false
		}
		slot := slotDueBy(wait + end)
		due[slot] += s.work()
		first = min(first, slot)
	}
	sum := 0.0
	for i := first; i < slotCount; i++ {
		sum += due[i]
		if ahead[i]+sum > t.supply[i]+rounding {
			return false
		}
	}
	return true
}

// doneBetween returns the core-seconds that tasks of the given cores can do between two times if nothing else runs.
func (t *Timeline) doneBetween(cores float64, from, to time.Duration) float64 {
	sum := 0.0
	slot, _ := slotAt(from)
	for ; slot < slotCount && from < to; slot++ {
		end := min(to, slotEnd(slot))
		sum += min(cores, t.cores[slot]) * (end - from).Seconds()
		from = end
	}
	return sum
}
