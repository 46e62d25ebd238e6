package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endStep lets the tasks on all workers but one end after the time given, and that one's go on for as long again.
func endStep(b *testBench, starts []StartTask, slow string, after time.Duration) {
	pass := func() {
		for range int(after / (50 * time.Millisecond)) {
			b.advance(50 * time.Millisecond)
			b.answerPolls()
		}
	}
	pass()
	for _, o := range starts {
		if o.Worker != slow {
			b.endAttempt(o, AttemptDone)
		}
	}
	pass()
}

// Pattern: a worker that turns slow among sound ones.
func TestNewTasksAreKeptOffASlowWorker(t *testing.T) {
	scenarios := []struct {
		testName string
		workers  int
		after    time.Duration
		wait     time.Duration
		rests    bool
	}{
		{"not twice as slow yet", 4, time.Second, 100 * time.Millisecond, false},
		{"slow", 4, time.Second, 400 * time.Millisecond, true},
		{"one of two, which can't be done without", 2, time.Second, 400 * time.Millisecond, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, s.workers)
			step := oneCoreStep(4 * s.workers)
			step.EstimateMs = 2000
			b.submit("a", step)
			endStep(b, b.answerStarts(AnswerOK), "w1", s.after)
			b.advance(s.wait)
			b.answerPolls()
			b.submit("b", oneCoreStep(4*(s.workers-1)))
			for _, o := range b.answerStarts(AnswerOK) {
				assert.Assert(t, o.Worker != "w1", "it is full")
			}
			assert.Equal(t, b.now.Before(b.m.workers["w1"].quarantinedUntil), s.rests)
		})
	}
}

// Pattern: tasks that were begun on a worker just before it was found to be slow.
func TestWhatASlowWorkerHasJustBegunRunsElsewhere(t *testing.T) {
	b := newTestBench(t, 4)
	wide := oneCoreStep(13)
	wide.EstimateMs = 3000
	b.submit("a", wide)
	starts := b.answerStarts(AnswerOK)
	slow := starts[len(starts)-1].Worker
	endStep(b, starts, slow, 1100*time.Millisecond)
	late := oneCoreStep(3)
	late.EstimateMs = 3000
	b.submit("b", late)
	begun := b.answerStarts(AnswerOK)
	b.advance(300 * time.Millisecond)
	b.answerPolls()
	onSlow := 0
	for _, o := range begun {
		if o.Worker == slow {
			onSlow++
		}
	}
	assert.Assert(t, onSlow > 0, "the fullest worker is filled first")
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

// Pattern: steps whose tasks are near their data on some workers and far on others.
func TestDistanceFromDataIsNoSlowness(t *testing.T) {
	b := newTestBench(t, 4)
	step := oneCoreStep(16)
	step.DataRack, step.EstimateMs = "r1", 2000
	b.submit("a", step)
	endStep(b, b.answerStarts(AnswerOK), "w1", time.Second)
	b.advance(300 * time.Millisecond)
	assert.Assert(t, !b.now.Before(b.m.workers["w1"].quarantinedUntil))
}
