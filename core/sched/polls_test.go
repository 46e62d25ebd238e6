package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSilentWorkersTasksWaitUntilTheirLeasesLapsed(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", oneCoreStep(1))
	first := b.answerStarts(AnswerOK)[0]
	for range 60 {
		b.advance(50 * time.Millisecond)
		b.answerPolls(first.Worker)
	}
	assert.Equal(t, len(takeOrders[StartTask](b)), 0, "the lease may still run")
	for range 60 {
		b.advance(50 * time.Millisecond)
		b.answerPolls(first.Worker)
	}
	again := takeOrders[StartTask](b)
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Worker != first.Worker)
}

func TestRebornWorkerHoldsNothing(t *testing.T) {
	b := newTestBench(t, 1)
	b.submit("a", oneCoreStep(1))
	b.answerStarts(AnswerOK)
	b.advance(100 * time.Millisecond)
	e := b.entries["w1"]
	e.Incarnation = 2
	b.entries["w1"] = e
	b.listWorkers()
	for range 2 {
		for _, o := range takeOrders[PollWorker](b) {
			b.m.ApplyResult(b.now, PollResult{Order: o, SentAt: b.now, GrantedAt: b.now, Incarnation: 2})
		}
		b.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(takeOrders[StartTask](b)), 1)
}

// A worker that is stopping a task lists it neither as active nor as ended for a while.
func TestStoppedTaskRunsUntilItsEndIsListed(t *testing.T) {
	b := newTestBench(t, 2)
	lasting := oneCoreStep(1)
	lasting.LongRunning = true
	b.submit("a", lasting)
	first := b.answerStarts(AnswerOK)[0]
	r := b.m.findRun(first.Worker, first.Task, first.Attempt)
	b.m.stopRun(b.now, r)
	b.decideAndStore()
	stop := takeOrders[StopTask](b)[0]
	b.m.ApplyResult(b.now, StopResult{Order: stop})
	b.advance(20 * time.Millisecond)
	b.m.ApplyResult(b.now, PollResult{Order: PollWorker{Worker: first.Worker}, SentAt: b.now, Incarnation: 1})
	b.decideAndStore()
	assert.Equal(t, len(takeOrders[StartTask](b)), 0)
	b.advance(200 * time.Millisecond)
	b.endAttempt(first, AttemptStopped)
	assert.Equal(t, len(takeOrders[StartTask](b)), 1)
}

// The list of workers may still name a life of before, which answers no more.
func TestEarlierLifeOfAMachineIsGone(t *testing.T) {
	b := newTestBench(t, 1)
	b.submit("a", oneCoreStep(1))
	b.answerStarts(AnswerOK)
	later := b.entries["w1"]
	later.ID, later.Incarnation = "w9", 7
	b.entries["w9"] = later
	b.listWorkers()
	b.answerPolls()
	assert.Equal(t, takeOrders[StartTask](b)[0].Worker, "w9")
}

// A starved owner learns late of what its calls have renewed: nothing lapses while one may still be on its way.
func TestNothingLapsesWhileARenewalMayBeOnItsWay(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", oneCoreStep(1))
	first := b.answerStarts(AnswerOK)[0]
	b.advance(time.Second)
	var renewal PollWorker
	for _, o := range takeOrders[PollWorker](b) {
		if o.Worker == first.Worker {
			renewal = o
		}
	}
	assert.Assert(t, renewal.Lease > 0)
	b.m.workers[first.Worker].unanswered = 1
	for range 120 {
		b.advance(50 * time.Millisecond)
		b.answerPolls()
	}
	assert.Equal(t, len(takeOrders[StartTask](b)), 0, "the call has no report yet")
	b.m.ApplyResult(b.now, PollResult{Order: renewal, Answer: AnswerUnknown, SentAt: b.now.Add(-time.Second), GrantedAt: b.now.Add(-time.Second)})
	b.advance(3 * time.Second)
	assert.Equal(t, len(takeOrders[StartTask](b)), 0, "it was sent a second ago")
	b.advance(2 * time.Second)
	assert.Equal(t, len(takeOrders[StartTask](b)), 1)
}

// Pattern: an owner without processor time, whose calls leave long after they were begun.
func TestNothingLapsesBeforeALateGrantIsOver(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", oneCoreStep(1))
	first := b.answerStarts(AnswerOK)[0]
	b.advance(time.Second)
	begun := b.now
	b.m.workers[first.Worker].unanswered = silentThreshold
	for _, o := range takeOrders[PollWorker](b) {
		rep := PollResult{Order: o, SentAt: begun, GrantedAt: begun, Incarnation: 1}
		if o.Worker == first.Worker {
			rep.Answer, rep.GrantedAt = AnswerUnknown, begun.Add(2*time.Second)
		}
		b.m.ApplyResult(begun, rep)
	}
	pass := func(until time.Time) {
		for b.now.Before(until) {
			b.advance(50 * time.Millisecond)
			b.answerPolls(first.Worker)
		}
	}
	pass(begun.Add(2*time.Second + defaultLease))
	assert.Equal(t, len(takeOrders[StartTask](b)), 0, "the worker may have been renewed two seconds after the call was begun")
	pass(begun.Add(2*time.Second + b.m.options.leaseExpiryBound() + time.Second))
	assert.Equal(t, len(takeOrders[StartTask](b)), 1)
}

// A list with a row that can't be read says nothing of what it doesn't name.
func TestUnreadableRowEndsNothing(t *testing.T) {
	for _, s := range []struct {
		testName string
		partial  bool
		expected int
	}{{"whole list", false, 1}, {"unreadable row", true, 0}} {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, 1)
			b.submit("a", oneCoreStep(1))
			o := b.answerStarts(AnswerOK)[0]
			b.advance(time.Second)
			b.m.ApplyResult(b.now, PollResult{Order: PollWorker{Worker: o.Worker}, SentAt: b.now, Incarnation: 1, Partial: s.partial})
			b.decideAndStore()
			assert.Equal(t, len(takeOrders[StartTask](b)), s.expected)
		})
	}
}
