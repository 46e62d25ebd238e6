package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStepsRunInDependencyOrder(t *testing.T) {
	b := newTestBench(t, 1)
	second := oneCoreStep(1)
	second.DependsOn = []int{0}
	b.submit("a", oneCoreStep(2), second)
	assert.Equal(t, b.state("a"), "queued")
	starts := b.answerStarts(AnswerOK)
	assert.Equal(t, len(starts), 2)
	assert.Equal(t, b.state("a"), "in-progress")
	b.endAttempt(starts[0], AttemptDone)
	assert.Equal(t, len(takeOrders[StartTask](b)), 0)
	b.endAttempt(starts[1], AttemptDone)
	last := b.answerStarts(AnswerOK)
	assert.Equal(t, last[0].Task.String(), "a.0.1.0")
	b.endAttempt(last[0], AttemptDone)
	assert.Equal(t, b.state("a"), "completed")
}

func TestFailedTaskIsRetriedOnAnotherWorkerUpToMaxAttempts(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", oneCoreStep(1))
	first := b.answerStarts(AnswerOK)[0]
	b.endAttempt(first, AttemptFailed)
	second := b.answerStarts(AnswerOK)[0]
	assert.Assert(t, second.Worker != first.Worker)
	assert.Equal(t, second.Attempt, 2)
	b.endAttempt(second, AttemptFailed)
	assert.Equal(t, b.state("a"), "failed")
	assert.Equal(t, len(b.answerStarts(AnswerOK)), 0)
}

func TestCancelStopsRunningTasks(t *testing.T) {
	b := newTestBench(t, 1)
	b.submit("a", oneCoreStep(6))
	b.answerStarts(AnswerOK)
	assert.Assert(t, b.sc.Cancel(b.now, "a"))
	b.decideAndStore()
	assert.Equal(t, b.state("a"), "cancelled")
	assert.Equal(t, len(takeOrders[StopTask](b)), 4)
	assert.Equal(t, len(takeOrders[StartTask](b)), 0)
	assert.Assert(t, !b.sc.Cancel(b.now, "nobody"))
}

func TestTimedJobStartsRoundsOnSchedule(t *testing.T) {
	b := newTestBench(t, 1)
	_, _ = b.sc.Submit(b.now, JobSpec{
		ID: "a", Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCoreStep(1)},
		StartMs: b.now.Add(time.Second).UnixMilli(), IntervalMs: 2000, Repetitions: 2,
	})
	b.decideAndStore()
	b.advance(900 * time.Millisecond)
	assert.Equal(t, len(takeOrders[StartTask](b)), 0)
	b.advance(150 * time.Millisecond)
	b.answerPolls()
	assert.Equal(t, takeOrders[StartTask](b)[0].Task.String(), "a.0.0.0")
	b.advance(2 * time.Second)
	b.answerPolls()
	assert.Equal(t, takeOrders[StartTask](b)[0].Task.String(), "a.1.0.0")
}
