package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = time.Second

// twoSteps is a job of two steps of 10 cores for a second each, due in four seconds and of use for twelve.
func twoSteps() Job {
	return Job{
		Steps:    []Step{{Cores: 10, Estimate: second, Before: second}, {Cores: 10, Estimate: second, After: second}},
		Deadline: 4 * second, UsefulFor: 12 * second,
	}
}

// Guards against promises of capacity that is there too late, or that others were promised: surges, long tasks, work accepted before.
func TestOffer(t *testing.T) {
	scenarios := []struct {
		testName  string
		prepare   func(t *Timeline)
		overShare bool
		expected  Offer
	}{
		{"no capacity", func(*Timeline) {}, false, Refused},
		{"free cores", func(t *Timeline) { t.AddCores(10, 0) }, false, OfferedInTime},
		{"half of the cores, in twice the time", func(t *Timeline) { t.AddCores(5, 0) }, false, OfferedInTime},
		{"too few cores for the deadline", func(t *Timeline) { t.AddCores(4, 0) }, false, OfferedLate},
		{"machines arrive before the latest start", func(t *Timeline) { t.AddCores(10, 2*second) }, false, OfferedInTime},
		{"machines arrive after it, however many", func(t *Timeline) { t.AddCores(1000, 2500*time.Millisecond) }, false, OfferedLate},
		{"machines arrive when it is of no use", func(t *Timeline) { t.AddCores(10, 11*second) }, false, Refused},
		{"a long task holds the cores", func(t *Timeline) { t.AddCores(10, 0); t.AddRun(10, 1400*time.Millisecond, second) }, false, OfferedLate},
		{"a task that is about to end", func(t *Timeline) { t.AddCores(10, 0); t.AddRun(10, 900*time.Millisecond, second) }, false, OfferedInTime},
		{"a task without an estimate", func(t *Timeline) { t.AddCores(10, 0); t.AddRun(10, 100*time.Millisecond, 0) }, false, OfferedInTime},
		{"work in time is promised before", func(t *Timeline) { t.AddCores(10, 0); t.Promise(InTime, 25, 4*second) }, false, OfferedLate},
		{"work in time is due later", func(t *Timeline) { t.AddCores(10, 0); t.Promise(InTime, 50, 8*second) }, false, OfferedInTime},
		{"promised work would be late because of it", func(t *Timeline) { t.AddCores(10, 0); t.Promise(InTime, 70, 8*second) }, false, OfferedLate},
		{"late work ahead", func(t *Timeline) { t.AddCores(10, 0); t.Promise(Late, 110, 12*second) }, false, OfferedInTime},
		{"late work ahead, share used up", func(t *Timeline) { t.AddCores(10, 0); t.Promise(Late, 110, 12*second) }, true, Refused},
		{"share used up, free cores", func(t *Timeline) { t.AddCores(10, 0) }, true, OfferedLate},
		{"share used up, others need what arrives", func(t *Timeline) { t.AddCores(10, 0); t.Expect(8) }, true, Refused},
		{"late, and what arrives takes all", func(t *Timeline) { t.AddCores(4, 0); t.Expect(4) }, false, Refused},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			timeline := NewTimeline(1)
			s.prepare(timeline)
			job := twoSteps()
			job.OverShare = s.overShare
			assert.Equal(t, timeline.Offer(job).String(), s.expected.String())
		})
	}
}

// Guards against clients that come back too early, or are told to wait though machines arrive: a surge and its retries.
func TestExpectedInIsWhenTheJobFits(t *testing.T) {
	timeline := NewTimeline(1)
	timeline.AddCores(1000, 5*second)
	wait, found := timeline.ExpectedIn(twoSteps(), 10*second)
	assert.Assert(t, found)
	assert.Equal(t, wait, 3*second, "it must start at most 2 s after it comes")
	_, found = timeline.ExpectedIn(twoSteps(), 2*second)
	assert.Assert(t, !found)
}

// Guards against more promises than there is capacity: a burst of jobs at one time.
func TestAcceptedJobsUseUpCapacity(t *testing.T) {
	timeline := NewTimeline(1)
	timeline.AddCores(100, 0)
	var offers [OfferedLate + 1]int
	for range 100 {
		o := timeline.Offer(twoSteps())
		offers[o]++
		if o != Refused {
			timeline.Accept(twoSteps(), o)
		}
	}
	assert.Equal(t, offers, [OfferedLate + 1]int{45, 20, 35}, "100 cores do 20 jobs in 4 s, and 55 by the time at which the first step of a late one is due")
}

// Guards against errors at the borders of slots, also for jobs of hours.
func TestSlotsCoverAllTimes(t *testing.T) {
	for _, d := range []time.Duration{-second, 0, SlotTime, nearEnd - 1, nearEnd, nearEnd + second, time.Minute, time.Hour, 1000 * time.Hour} {
		slot, passed := slotAt(d)
		assert.Assert(t, slot >= 0 && slot < slotCount && passed >= 0 && passed < 1, "%v", d)
		assert.Assert(t, slot == slotCount-1 || d < slotEnd(slot), "%v", d)
		assert.Assert(t, d < 0 || slotEnd(slot)-slotLength(slot) <= d, "%v", d)
		due := slotDueBy(d)
		assert.Assert(t, due >= 0 && due < slotCount && (due == 0 || slotEnd(due) <= d+SlotTime/2), "%v", d)
	}
}
