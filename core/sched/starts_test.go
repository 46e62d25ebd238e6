package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestStartIsSentAfterItsRecordIsStored(t *testing.T) {
	b := newTestBench(t, 1)
	_, _ = b.sc.Submit(b.now, JobSpec{ID: "a", Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCoreStep(1)}})
	b.sc.Decide(b.now)
	for _, o := range b.sc.TakeImmediateOrders() {
		_, isStart := o.(StartTask)
		assert.Assert(t, !isStart)
	}
	assert.Equal(t, b.state("a"), "unknown")
	batch := b.sc.TakeBatch()
	assert.Equal(t, len(batch.Records), 2)
	assert.Equal(t, len(batch.DeferredOrders), 1)
}

// A worker's backoff ends without an event, so without a periodic check the task would wait forever.
func TestWorkerWithoutRoomIsRetriedWithoutAnEvent(t *testing.T) {
	b := newTestBench(t, 1)
	b.submit("a", oneCoreStep(1))
	b.answerStarts(AnswerNoRoom)
	assert.Equal(t, len(takeOrders[StartTask](b)), 0)
	for range 20 {
		b.advance(50 * time.Millisecond)
	}
	assert.Equal(t, len(takeOrders[StartTask](b)), 1)
}

func TestStartWithoutAnswer(t *testing.T) {
	scenarios := []struct {
		testName string
		listed   bool // the worker has run it after all
		expected int  // attempts at the end
	}{
		{"the worker has it", true, 1},
		{"the worker never got it", false, 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, 1)
			b.submit("a", oneCoreStep(1))
			start := takeOrders[StartTask](b)[0]
			for range maxStartRetries + 1 {
				b.sc.ApplyResult(b.now, StartResult{Order: start, Answer: AnswerUnknown, GrantedAt: b.now})
				b.decideAndStore()
			}
			stops := takeOrders[StopTask](b)
			assert.Equal(t, len(stops), 1, "the order may still arrive, so it is stopped")
			b.advance(time.Millisecond)
			b.sc.ApplyResult(b.now, StopResult{Order: stops[0]})
			b.advance(time.Second)
			res := PollResult{Order: b.pollOf("w1"), SentAt: b.now, Incarnation: 1}
			if s.listed {
				res.Ended = []EndedRun{{Number: 1, Task: start.Task, Attempt: 1, Outcome: AttemptDone}}
			}
			b.sc.ApplyResult(b.now, res)
			b.decideAndStore()
			assert.Equal(t, b.lastAttempt(start.Task), s.expected)
			assert.Equal(t, b.state("a") == "completed", s.listed)
		})
	}
}

// A start whose answer was lost is repeated. The task may have run and ended in between, so a refusal of the repeated start
// does not prove that it never ran.
func TestAttemptMayHaveRunThoughItsRepeatedStartIsRefused(t *testing.T) {
	for _, refusal := range []OrderAnswer{AnswerSuperseded, AnswerLeaseExpired, AnswerNoRoom, AnswerRefused, AnswerInvalid} {
		t.Run(refusal.String(), func(t *testing.T) {
			b := newTestBench(t, 2)
			b.submit("a", oneCoreStep(1))
			start := takeOrders[StartTask](b)[0]
			b.sc.ApplyResult(b.now, StartResult{Order: start, Answer: AnswerUnknown, GrantedAt: b.now})
			b.decideAndStore()
			assert.Equal(t, len(takeOrders[StartTask](b)), 1)
			b.sc.ApplyResult(b.now, StartResult{Order: start, Answer: refusal, GrantedAt: b.now})
			b.decideAndStore()
			assert.Equal(t, len(takeOrders[StartTask](b)), 0)
			for _, o := range takeOrders[StopTask](b) {
				b.sc.ApplyResult(b.now, StopResult{Order: o})
			}
			b.advance(time.Millisecond)
			b.endAttempt(start, AttemptDone)
			assert.Equal(t, b.state("a"), "completed")
			assert.Equal(t, len(takeOrders[StartTask](b)), 0)
		})
	}
}

// A start does not name the worker's incarnation, so a worker that has restarted in the meantime may accept it and run the
// task (found by the random walk, seed 2405).
func TestStartAcceptedByARestartedWorkerRunsOnce(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", oneCoreStep(1))
	b.answerPolls()
	start := b.answerStarts(AnswerOK)[0]
	b.advance(time.Second)
	for _, o := range takeOrders[PollWorker](b) {
		res := PollResult{Order: o, SentAt: b.now, GrantedAt: b.now, Incarnation: 1}
		if o.Worker == start.Worker {
			res.Incarnation = 2
			res.Active = []ActiveRun{{Task: start.Task, Attempt: start.Attempt, SpeedPercent: fullSpeed, Load: -1}}
		}
		b.sc.ApplyResult(b.now, res)
	}
	b.advance(300 * time.Millisecond)
	assert.Equal(t, len(takeOrders[StartTask](b)), 0)
}
