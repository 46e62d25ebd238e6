package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endRunsExceptOn ends the runs on all workers but the slow one after the given time, then lets the slow one's go on for the
// same time again.
func endRunsExceptOn(b *testBench, starts []StartTask, slow string, after time.Duration) {
	advance := func() {
		for range int(after / (50 * time.Millisecond)) {
			b.advance(50 * time.Millisecond)
			b.answerPolls()
		}
	}
	advance()
	for _, o := range starts {
		if o.Worker != slow {
			b.endAttempt(o, AttemptDone)
		}
	}
	advance()
}

// One worker becomes slow among healthy ones.
func TestSlowWorkerIsQuarantined(t *testing.T) {
	scenarios := []struct {
		testName string
		workers  int
		after    time.Duration
		wait     time.Duration
		expected bool // whether the worker is quarantined
	}{
		{"not twice as slow yet", 4, time.Second, 100 * time.Millisecond, false},
		{"slow", 4, time.Second, 400 * time.Millisecond, true},
		{"one of two, more than the share that may be quarantined", 2, time.Second, 400 * time.Millisecond, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, s.workers)
			step := oneCoreStep(4 * s.workers)
			step.EstimateMs = 2000
			b.submit("a", step)
			endRunsExceptOn(b, b.answerStarts(AnswerOK), "w1", s.after)
			b.advance(s.wait)
			b.answerPolls()
			b.submit("b", oneCoreStep(4*(s.workers-1)))
			for _, o := range b.answerStarts(AnswerOK) {
				assert.Assert(t, o.Worker != "w1", "it is full")
			}
			assert.Equal(t, b.now.Before(b.sc.workers["w1"].quarantinedUntil), s.expected)
		})
	}
}

// Some tasks have started on a worker just before it is found to be slow.
func TestRecentRunsOfASlowWorkerAreStopped(t *testing.T) {
	b := newTestBench(t, 4)
	wideStep := oneCoreStep(13)
	wideStep.EstimateMs = 3000
	b.submit("a", wideStep)
	starts := b.answerStarts(AnswerOK)
	slow := starts[len(starts)-1].Worker
	endRunsExceptOn(b, starts, slow, 1100*time.Millisecond)
	lateStep := oneCoreStep(3)
	lateStep.EstimateMs = 3000
	b.submit("b", lateStep)
	recent := b.answerStarts(AnswerOK)
	b.advance(300 * time.Millisecond)
	b.answerPolls()
	onSlow := 0
	for _, o := range recent {
		if o.Worker == slow {
			onSlow++
		}
	}
	assert.Assert(t, onSlow > 0, "the fullest worker is preferred, so some tasks are on the slow one")
	for range 6 {
		b.advance(50 * time.Millisecond)
		b.answerPolls()
	}
	stopped := map[TaskID]bool{}
	for _, o := range takeOrders[StopTask](b) {
		assert.Equal(t, o.Worker, slow)
		stopped[o.Task] = true
	}
	assert.Equal(t, len(stopped), onSlow)
}

// A step has a data rack, so that its tasks take longer on workers far from the data. That is no sign of a slow worker.
func TestTaskFarFromItsDataIsNotSlow(t *testing.T) {
	b := newTestBench(t, 4)
	step := oneCoreStep(16)
	step.DataRack, step.EstimateMs = "r1", 2000
	b.submit("a", step)
	endRunsExceptOn(b, b.answerStarts(AnswerOK), "w1", time.Second)
	b.advance(300 * time.Millisecond)
	assert.Assert(t, !b.now.Before(b.sc.workers["w1"].quarantinedUntil))
}
