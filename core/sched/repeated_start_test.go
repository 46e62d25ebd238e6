package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newRepeatedStartBench returns a bench with a task whose start order had no answer and was repeated. The worker runs it, and the next poll, of the
// repeated order's generation, is on its way.
func newRepeatedStartBench(t *testing.T) (b *testBench, repeated StartTask, poll PollWorker, sentAt time.Time) {
	b = newTestBench(t, 2)
	b.submit("a", oneCoreStep(1))
	first := takeOrders[StartTask](b)[0]
	b.sc.ApplyResult(b.now, StartResult{Order: first, Answer: AnswerUnknown, GrantedAt: b.now})
	b.decideAndStore()
	repeated = takeOrders[StartTask](b)[0]
	b.answerPoll(b.nextPoll(first.Worker), first)
	assert.Equal(t, b.sc.findRun(first.Worker, first.Task, 1).phase, runConfirmed)
	poll = b.nextPoll(first.Worker)
	assert.Equal(t, poll.Generation, repeated.Generation)
	sentAt = b.now
	b.advance(100 * time.Millisecond)
	return b, repeated, poll, sentAt
}

// Guards against two runs of a task: a start order was repeated, the repeated one gets no answer either, and a new life of the worker carries it out
// after its list has shown that the attempt is gone.
func TestRepeatedStartWithoutAnswerIsBarredBeforeTheTaskStartsElsewhere(t *testing.T) {
	scenarios := []struct {
		testName    string
		failsByThen bool // the repeated order has failed when the new life gives its first list
		failsAfter  time.Duration
	}{
		{"it has failed before the new life's list", true, 0},
		{"it fails after the new life's list", false, 300 * time.Millisecond},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b, repeated, poll, sentAt := newRepeatedStartBench(t)
			fail := func() {
				b.sc.ApplyResult(b.now, StartResult{Order: repeated, Answer: AnswerUnknown, GrantedAt: b.now, Latency: callTimeout})
				b.decideAndStore()
			}
			if s.failsByThen {
				fail()
			}
			b.restartWorker(repeated.Worker)
			b.sc.ApplyResult(b.now, PollResult{Order: poll, SentAt: sentAt, GrantedAt: sentAt, Incarnation: b.entries[repeated.Worker].Incarnation})
			b.decideAndStore()
			assert.Equal(t, len(takeOrders[StartTask](b)), 0, "the new life may still carry out the repeated order")
			if !s.failsByThen {
				b.advance(s.failsAfter)
				fail()
			}
			b.assertBarredBeforeNextStart(repeated)
		})
	}
}

// Guards against two runs of a task whose worker has ended, as the list of machines shows: the start order was repeated, and the worker may be back
// under its id and carry out the repeated one.
func TestRepeatedStartIsWaitedForAfterItsWorkerHasEnded(t *testing.T) {
	for _, hasFailed := range []bool{true, false} {
		b, repeated, _, _ := newRepeatedStartBench(t)
		if hasFailed {
			b.sc.ApplyResult(b.now, StartResult{Order: repeated, Answer: AnswerUnknown, GrantedAt: b.now, Latency: callTimeout})
			b.decideAndStore()
		}
		b.sc.endIncarnation(b.now, b.sc.workers[repeated.Worker], "test")
		b.decideAndStore()
		assert.Equal(t, len(takeOrders[StartTask](b)), 0, "failed: %v", hasFailed)
		if !hasFailed {
			b.sc.ApplyResult(b.now, StartResult{Order: repeated, Answer: AnswerUnknown, GrantedAt: b.now, Latency: callTimeout})
			b.decideAndStore()
		}
		ended := b.now
		var next []StartTask
		for len(next) == 0 && b.now.Sub(ended) < 2*lateStartWait {
			b.advance(50 * time.Millisecond)
			b.answerPolls(repeated.Worker)
			next = takeOrders[StartTask](b)
		}
		assert.Equal(t, len(next), 1)
		assert.Assert(t, b.now.Sub(ended) >= lateStartWait, "started again after %v", b.now.Sub(ended))
	}
}
