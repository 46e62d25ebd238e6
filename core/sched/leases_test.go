package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// waitUntilStartedElsewhere lets the worker fall silent, and returns how long after the given time its task is started on another worker.
func (b *testBench) waitUntilStartedElsewhere(worker string, since time.Time) time.Duration {
	b.t.Helper()
	for range 600 {
		for _, o := range takeOrders[StartTask](b) {
			if o.Worker != worker {
				return b.now.Sub(since)
			}
			b.sc.ApplyResult(b.now, StartResult{Order: o, Answer: AnswerUnknown, GrantedAt: b.now, ClockIncarnation: 1, Latency: callTimeout})
		}
		b.advance(50 * time.Millisecond)
		b.answerPolls(worker)
	}
	b.t.Fatalf("the task of %s is never started elsewhere", worker)
	return 0
}

// assertLongestLease checks that a task was started elsewhere once the longest lease had expired, and not much later.
func assertLongestLease(t *testing.T, waited time.Duration) {
	t.Helper()
	longest := expiryBound(defaultMaxLease)
	assert.Check(t, waited >= longest && waited < longest+500*time.Millisecond, "started elsewhere after %v, the longest lease lasts %v", waited, longest)
}

// startOnFirstWorker starts a task on a bench's only worker, and adds another one.
func (b *testBench) startOnFirstWorker() StartTask {
	b.submit("a", oneCoreStep(1))
	start := b.answerStarts(AnswerOK)[0]
	b.addWorker("w2", "pots")
	b.listWorkers()
	b.answerPolls()
	return start
}

// Guards against a run that outlives the lease which the scheduler counts (review/8): the list of workers shows a restart, and before its first
// answer the new life takes a late renewal by the clock of the life before.
func TestLongestLeaseCountsFromTheFirstAnswerAfterAListedRestart(t *testing.T) {
	b := newTestBench(t, 1)
	b.restartWorker("w1")
	b.listWorkers()
	poll := b.nextPoll("w1")
	b.advance(time.Second)
	b.answerPoll(poll)
	answered := b.now
	b.startOnFirstWorker()
	assertLongestLease(t, b.waitUntilStartedElsewhere("w1", answered))
}

// Guards against tasks that wait for the longest delay of calls and the longest lease: a worker has answered after its restart became known, and is
// cut off while a poll waits there for an end.
func TestWorkerAnswersAtOnceWhileLateRenewalsCount(t *testing.T) {
	b := newTestBench(t, 1)
	b.startOnFirstWorker()
	b.restartWorker("w1")
	b.answerPoll(b.nextPoll("w1"))
	assert.Equal(t, b.nextPoll("w1").MaxWait, time.Duration(0))
}

// Guards against a run that outlives the lease which the scheduler counts: the answer to its start shows a restart by its clock, and another start
// of the same generation has had no answer shortly before.
func TestRestartThatAClockShowsCountsAlsoAfterACallWithoutAnswer(t *testing.T) {
	b := newTestBench(t, 1)
	b.submit("a", oneCoreStep(2))
	starts := takeOrders[StartTask](b)
	b.addWorker("w2", "pots")
	b.listWorkers()
	b.answerPolls()
	b.sc.ApplyResult(b.now, StartResult{Order: starts[0], Answer: AnswerUnknown, GrantedAt: b.now, ClockIncarnation: 1, Latency: callTimeout})
	b.sc.ApplyResult(b.now, StartResult{Order: starts[1], Answer: AnswerOK, GrantedAt: b.now, ClockIncarnation: 1, Restarted: true})
	b.decideAndStore()
	answered := b.now
	waited := b.waitUntilStartedElsewhere("w1", answered)
	assert.Check(t, waited >= expiryBound(defaultMaxLease), "started elsewhere after %v", waited)
}

// Guards against a run that outlives the lease which the scheduler counts: its worker had left the list, came back under its id, and took a late
// renewal by the clock of the life before.
func TestLongestLeaseCountsForAWorkerThatIsListedAgain(t *testing.T) {
	b := newTestBench(t, 1)
	b.startOnFirstWorker()
	b.advance(machineListLag + time.Second)
	b.answerPolls()
	b.sc.endIncarnation(b.now, b.sc.workers["w1"], "test")
	b.answerPolls("w1")
	b.answerStarts(AnswerOK)
	entry := b.entries["w1"]
	delete(b.entries, "w1")
	b.listWorkers()
	assert.Assert(t, !b.sc.HasWorker("w1"))

	entry.Incarnation++
	b.entries["w1"] = entry
	w2 := b.entries["w2"]
	w2.Draining = true
	b.entries["w2"] = w2
	b.listWorkers()
	poll := b.nextPoll("w1")
	b.advance(time.Second)
	b.answerPoll(poll)
	answered := b.now
	b.submit("b", oneCoreStep(1))
	assert.Equal(t, b.answerStarts(AnswerOK)[0].Worker, "w1")
	b.addWorker("w3", "pots")
	b.listWorkers()
	b.answerPolls()
	assertLongestLease(t, b.waitUntilStartedElsewhere("w1", answered))
}

// Guards against a run that outlives the lease which a new owner counts: a young worker takes a late renewal of the previous owner, by the clock
// of the life before, right before its first answer.
func TestLongestLeaseOfAYoungWorkerCountsFromItsFirstAnswerToANewOwner(t *testing.T) {
	b := newTestBench(t, 1)
	e := b.entries["w1"]
	e.Incarnation = b.now.Add(-2 * time.Second).UnixMilli()
	b.entries["w1"] = e
	b.listWorkers()
	b.answerPolls()
	start := b.startOnFirstWorker()
	successor := b.newOwner()
	successor.answerPolls("w1")
	const firstAnswerAfter = 3 * time.Second
	for successor.now.Sub(b.now) < firstAnswerAfter {
		successor.advance(50 * time.Millisecond)
		successor.answerPolls("w1")
	}
	successor.answerPoll(successor.nextPoll("w1"), start)
	assertLongestLease(t, successor.waitUntilStartedElsewhere("w1", successor.now))
}
