package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newLateStopBench returns a bench with two tasks on one worker, of which the first is to be stopped; the stop has had no answer. Another worker has
// room for both.
func newLateStopBench(t *testing.T) (b *testBench, stopped, other StartTask) {
	b = newTestBench(t, 1)
	b.submit("a", oneCoreStep(1))
	stopped = b.answerStarts(AnswerOK)[0]
	b.submit("b", oneCoreStep(1))
	other = b.answerStarts(AnswerOK)[0]
	b.addWorker("w2", "pots")
	b.listWorkers()
	b.answerPolls()
	b.sc.stopRun(b.now, b.sc.findRun(stopped.Worker, stopped.Task, stopped.Attempt))
	b.decideAndStore()
	return b, stopped, other
}

// holdPoll sends the worker's next poll, and returns it with the time at which it was sent. The poll stays without an answer for as long as it may wait.
func (b *testBench) holdPoll(worker string) (o PollWorker, sentAt time.Time) {
	b.t.Helper()
	o = b.nextPoll(worker)
	sentAt = b.now
	b.advance(o.MaxWait)
	return o, sentAt
}

// Guards against a second run of a task that is still being stopped (the class of review/6): a poll was sent long before the worker carried out
// a late stop, and its answer lists the run neither as active nor as ended.
func TestStopThatIsCarriedOutDuringAPollIsWaitedFor(t *testing.T) {
	b, stopped, other := newLateStopBench(t)
	o, sentAt := b.holdPoll(stopped.Worker)
	assert.Assert(t, o.MaxWait > b.sc.options.stopBound(), "the poll doesn't wait for long")
	stopBegins := b.now
	answer := func(o PollWorker, sentAt time.Time) {
		b.sc.ApplyResult(b.now, PollResult{
			Order: o, SentAt: sentAt, GrantedAt: sentAt, Incarnation: 1,
			Active: []ActiveRun{{Task: other.Task, Attempt: other.Attempt, SpeedPercent: fullSpeed, Load: -1}},
		})
		b.decideAndStore()
	}
	answer(o, sentAt)
	var next []StartTask
	for len(next) == 0 && b.now.Sub(stopBegins) < 5*time.Second {
		o = b.nextPoll(stopped.Worker)
		sentAt = b.now
		b.advance(10 * time.Millisecond)
		answer(o, sentAt)
		next = takeOrders[StartTask](b)
	}
	assert.Equal(t, len(next), 1, "the task is never started again")
	assert.Check(t, b.now.Sub(stopBegins) > b.sc.options.StopTimeout, "it is started again %v after the stop has begun", b.now.Sub(stopBegins))
}

// Guards against a worker that is filled beyond its capacity: it carries out the stop of a run that the scheduler has given up late, and an answer
// to a poll that was sent before lists that run neither as active nor as ended.
func TestRoomOfAGivenUpRunIsFreeOnceItsStopIsComplete(t *testing.T) {
	b := newTestBench(t, 1)
	b.submit("a", oneCoreStep(1))
	start := b.answerStarts(AnswerOK)[0]
	givenUp := StartTask{Worker: "w1", Task: TaskID{Job: "unknown"}, Attempt: 1}
	w := b.sc.workers["w1"]
	b.answerPoll(b.nextPoll("w1"), start, givenUp)
	o, sentAt := b.holdPoll("w1")
	assert.Assert(t, len(w.zombies) == 1 && o.MaxWait > b.sc.options.stopBound())
	stopBegins := b.now
	b.sc.ApplyResult(b.now, PollResult{Order: o, SentAt: sentAt, GrantedAt: sentAt, Incarnation: 1, Active: b.activeExcept(givenUp)})
	b.decideAndStore()
	for len(w.zombies) > 0 && b.now.Sub(stopBegins) < 5*time.Second {
		b.answerPoll(b.nextPoll("w1"), start)
		b.advance(10 * time.Millisecond)
	}
	waited := b.now.Sub(stopBegins)
	assert.Check(t, waited > b.sc.options.StopTimeout && waited < 5*time.Second, "its room is free after %v", waited)
}
