package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func speculativeStep(count int) StepSpec {
	s := oneCoreStep(count)
	s.Speculative = true
	return s
}

// A worker with speculative tasks, which may run twice at the same time, stops answering.
func TestSpeculativeTaskOnASilentWorkerIsCopiedBeforeItsLeaseExpires(t *testing.T) {
	scenarios := []struct {
		testName string
		step     StepSpec
		copies   int
	}{
		{"may run twice", speculativeStep(1), 1},
		{"runs once", oneCoreStep(1), 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, 2)
			b.submit("a", s.step)
			first := b.answerStarts(AnswerOK)[0]
			for range 36 {
				b.advance(50 * time.Millisecond)
				b.answerPolls(first.Worker)
			}
			starts := takeOrders[StartTask](b)
			assert.Equal(t, len(starts), s.copies)
			if s.copies > 0 {
				assert.Assert(t, starts[0].Worker != first.Worker)
				assert.Equal(t, starts[0].Attempt, 2)
			}
		})
	}
}

// A speculative task is a straggler while other workers are idle.
func TestFirstFinishedCopyWins(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", speculativeStep(1))
	first := b.answerStarts(AnswerOK)[0]
	advance := func(d time.Duration) {
		for range int(d / (50 * time.Millisecond)) {
			b.advance(50 * time.Millisecond)
			b.answerPolls()
		}
	}
	advance(2200 * time.Millisecond)
	assert.Equal(t, len(takeOrders[StartTask](b)), 0, "it is not overdue")
	advance(500 * time.Millisecond)
	second := b.answerStarts(AnswerOK)
	assert.Equal(t, len(second), 1)
	assert.Assert(t, second[0].Worker != first.Worker)
	advance(400 * time.Millisecond)
	assert.Equal(t, len(takeOrders[StartTask](b)), 0, "two copies are enough")
	b.endAttempt(second[0], AttemptDone)
	assert.Equal(t, b.state("a"), "completed")
	stops := takeOrders[StopTask](b)
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Worker, first.Worker)
	assert.Equal(t, stops[0].Attempt, 1)
}

func TestNoCopyStartsWhileOtherWorkWaits(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", speculativeStep(8))
	b.answerStarts(AnswerOK)
	b.submit("b", oneCoreStep(1))
	for range 60 {
		b.advance(50 * time.Millisecond)
		b.answerPolls()
	}
	assert.Equal(t, len(takeOrders[StartTask](b)), 0)
}
