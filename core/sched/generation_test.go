package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// assertBarredBeforeNextStart answers the polls of the start's worker, which lists nothing, until the task is started again. Before, the worker must have
// received a call of a later generation, which makes it refuse the start.
func (b *testBench) assertBarredBeforeNextStart(start StartTask) {
	b.t.Helper()
	refuses := false
	var next []StartTask
	for range 20 {
		next = takeOrders[StartTask](b)
		if len(next) > 0 {
			break
		}
		o := b.nextPoll(start.Worker)
		b.answerPoll(o)
		refuses = refuses || o.Generation > start.Generation
	}
	assert.Equal(b.t, len(next), 1, "the task is never started again")
	assert.Assert(b.t, refuses, "the new life has received no call that makes it refuse the late start")
}

// Guards against a late start of an attempt that has a successor: one copy of its start order had no answer, a later one was answered, and
// the copy is carried out on a new life of the worker, which knows nothing of the attempt.
func TestAttemptWithAnUnansweredStartIsReplacedOnlyOnceANewLifeRefusesTheStart(t *testing.T) {
	scenarios := []struct {
		testName string
		confirm  func(b *testBench, o StartTask)
	}{
		{"the repeated order was answered", func(b *testBench, _ StartTask) { b.answerStarts(AnswerOK) }},
		{"a poll listed the run", func(b *testBench, o StartTask) {
			takeOrders[StartTask](b)
			b.answerPoll(b.nextPoll(o.Worker), o)
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, 2)
			b.submit("a", oneCoreStep(1))
			start := takeOrders[StartTask](b)[0]
			earlierPoll := b.nextPoll(start.Worker)
			b.sc.ApplyResult(b.now, StartResult{Order: start, Answer: AnswerUnknown, GrantedAt: b.now})
			b.decideAndStore()
			s.confirm(b, start)
			assert.Equal(t, b.sc.findRun(start.Worker, start.Task, 1).phase, runConfirmed)
			b.advance(100 * time.Millisecond)
			b.restartWorker(start.Worker)
			b.answerPoll(earlierPoll)
			b.assertBarredBeforeNextStart(start)
		})
	}
}

// Guards against calls without an answer that a new life of the worker carries out late: a start of a task that has ended meanwhile, a
// deadline of the clock of the life before, an acknowledgement of ends that it numbers anew.
func TestCallsAfterOneWithoutAnAnswerAreOfALaterGeneration(t *testing.T) {
	scenarios := []struct {
		testName string
		fail     func(b *testBench, start StartTask) (generation int64)
	}{
		{"start", func(b *testBench, start StartTask) int64 {
			b.sc.ApplyResult(b.now, StartResult{Order: start, Answer: AnswerUnknown, GrantedAt: b.now})
			return start.Generation
		}},
		{"poll that renews the leases", func(b *testBench, start StartTask) int64 {
			b.sc.ApplyResult(b.now, StartResult{Order: start, Answer: AnswerOK, GrantedAt: b.now})
			b.answerPoll(b.nextPoll(start.Worker), start)
			o := b.nextPoll(start.Worker)
			assert.Assert(b.t, o.Lease > 0)
			b.sc.ApplyResult(b.now, PollResult{Order: o, Answer: AnswerUnknown, SentAt: b.now, GrantedAt: b.now})
			return o.Generation
		}},
		{"poll that acknowledges ends", func(b *testBench, start StartTask) int64 {
			b.sc.ApplyResult(b.now, StartResult{Order: start, Answer: AnswerOK, GrantedAt: b.now})
			b.nextPoll(start.Worker)
			b.endAttempt(start, AttemptDone)
			o := b.nextPoll(start.Worker)
			assert.Assert(b.t, o.AckedThrough > 0)
			b.sc.ApplyResult(b.now, PollResult{Order: o, Answer: AnswerUnknown, SentAt: b.now, GrantedAt: b.now})
			return o.Generation
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, 1)
			b.submit("a", oneCoreStep(1))
			generation := s.fail(b, takeOrders[StartTask](b)[0])
			b.decideAndStore()
			for _, o := range takeOrders[StartTask](b) {
				assert.Check(t, o.Generation > generation, "repeated start")
				b.sc.ApplyResult(b.now, StartResult{Order: o, Answer: AnswerOK, GrantedAt: b.now})
			}
			poll := b.nextPoll("w1")
			assert.Check(t, poll.Generation > generation, "poll")
			b.answerPoll(poll)
			b.submit("b", oneCoreStep(1))
			start := takeOrders[StartTask](b)[0]
			assert.Check(t, start.Generation > generation, "next start")
			b.sc.stopRun(b.now, b.sc.findRun("w1", start.Task, start.Attempt))
			for _, o := range takeOrders[StopTask](b) {
				assert.Check(t, o.Generation > generation, "stop")
			}
		})
	}
}

// Guards against calls for the former life of a worker that are carried out after its restart has become known.
func TestCallsAfterARestartAreOfALaterGeneration(t *testing.T) {
	for _, listed := range []bool{true, false} {
		b := newTestBench(t, 1)
		before := b.nextPoll("w1")
		b.restartWorker("w1")
		if listed {
			b.listWorkers()
		} else {
			b.answerPoll(before)
		}
		assert.Check(t, b.nextPoll("w1").Generation > before.Generation, "listed: %v", listed)
	}
}

// Guards against an owner that ends since a worker has refused one of its own earlier calls.
func TestRefusalOfAnEarlierGenerationDoesNotShowAnotherOwner(t *testing.T) {
	for _, isLate := range []bool{true, false} {
		b := newTestBench(t, 1)
		b.submit("a", oneCoreStep(1))
		start := takeOrders[StartTask](b)[0]
		b.sc.ApplyResult(b.now, StartResult{Order: start, Answer: AnswerUnknown, GrantedAt: b.now})
		b.decideAndStore()
		if !isLate {
			start = takeOrders[StartTask](b)[0]
		}
		b.sc.ApplyResult(b.now, StartResult{Order: start, Answer: AnswerFenced, GrantedAt: b.now})
		assert.Equal(t, b.sc.IsFenced(), !isLate)
	}
}

// Guards against a start that was decided for a worker's former life, and is sent after its restart has become known.
func TestStartForAFormerLifeIsWithdrawn(t *testing.T) {
	b := newTestBench(t, 1)
	b.submit("a", oneCoreStep(1))
	start := takeOrders[StartTask](b)[0]
	assert.Assert(t, b.sc.IsStartWanted(start))
	b.restartWorker("w1")
	b.listWorkers()
	assert.Assert(t, !b.sc.IsStartWanted(start))
}

// Guards against an owner that takes itself for replaced because a worker refuses one of its own earlier calls.
func TestOnlyCallsOfThePresentGenerationShowAnotherOwner(t *testing.T) {
	scenarios := []struct {
		name   string
		result func(w string, generation int64, b *testBench) OrderResult
	}{
		{"poll", func(w string, generation int64, b *testBench) OrderResult {
			return PollResult{Order: PollWorker{Worker: w, Generation: generation}, SentAt: b.now, Answer: AnswerFenced}
		}},
		{"start", func(w string, generation int64, _ *testBench) OrderResult {
			return StartResult{Order: StartTask{Worker: w, Generation: generation}, Answer: AnswerFenced}
		}},
		{"stop", func(w string, generation int64, _ *testBench) OrderResult {
			return StopResult{Order: StopTask{Worker: w, Generation: generation}, Answer: AnswerFenced}
		}},
		{"throttle", func(w string, generation int64, _ *testBench) OrderResult {
			return ThrottleResult{Order: ThrottleTask{Worker: w, Generation: generation}, Answer: AnswerFenced}
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			b := newTestBench(t, 1)
			b.restartWorker("w1")
			b.listWorkers()
			present := b.sc.workers["w1"].generation
			b.sc.ApplyResult(b.now, s.result("w1", present-1, b))
			assert.Assert(t, !b.sc.IsFenced())
			b.sc.ApplyResult(b.now, s.result("w1", present, b))
			assert.Assert(t, b.sc.IsFenced())
		})
	}
}

// Guards against a worker that refuses all calls after it was removed and listed again, since they begin at the first generation.
func TestWorkerThatIsListedAgainGetsNoEarlierGeneration(t *testing.T) {
	b := newTestBench(t, 1)
	b.restartWorker("w1")
	b.listWorkers()
	b.answerPolls()
	entry, before := b.entries["w1"], b.sc.workers["w1"].generation
	delete(b.entries, "w1")
	b.listWorkers()
	assert.Assert(t, !b.sc.HasWorker("w1"))
	b.entries["w1"] = entry
	b.listWorkers()
	assert.Assert(t, before > 0 && b.sc.workers["w1"].generation >= before)
}

// Guards against a lease that the previous owner has set by the clock of a former life (issue 47): a new owner knows only the records.
func TestNewOwnerAllowsForTheLongestLeaseOfAYoungLife(t *testing.T) {
	longest := expiryBound(defaultMaxLease)
	scenarios := []struct {
		name     string
		age      time.Duration // of the worker's life
		expected time.Duration // until its task starts elsewhere
	}{
		{"the worker has just started", 2 * time.Second, longest},
		{"the worker has been up for long", time.Minute, expiryBound(defaultLease)},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			b := newTestBench(t, 2)
			for _, id := range []string{"w1", "w2"} {
				e := b.entries[id]
				e.Incarnation = b.now.Add(-s.age).UnixMilli()
				b.entries[id] = e
			}
			b.listWorkers()
			b.answerPolls()
			b.submit("a", oneCoreStep(1))
			start := b.answerStarts(AnswerOK)[0]

			successor := b.newOwner()
			var next []StartTask
			for len(next) == 0 && successor.now.Sub(b.now) < 2*longest {
				successor.advance(50 * time.Millisecond)
				successor.answerPolls(start.Worker)
				next = takeOrders[StartTask](successor)
			}
			assert.Equal(t, len(next), 1)
			waited := successor.now.Sub(b.now)
			assert.Assert(t, waited >= s.expected && waited < s.expected+200*time.Millisecond, "started elsewhere after %v", waited)
		})
	}
}

func TestFencingTokensRiseWithEpochAndGeneration(t *testing.T) {
	assert.Assert(t, FencingToken(7, 1) > FencingToken(7, 0))
	assert.Assert(t, FencingToken(8, 0) > FencingToken(7, maxGeneration))
}

// Guards against an owner that goes on with numbers of its successor.
func TestOwnerWithoutFurtherGenerationsStops(t *testing.T) {
	b := newTestBench(t, 1)
	b.sc.generation = maxGeneration
	b.restartWorker("w1")
	b.listWorkers()
	assert.Assert(t, b.sc.IsFenced())
}

// Guards against a run that is never stopped: the life before had acknowledged the stop, and the present one carries out the late start.
func TestStopIsRepeatedAfterARestart(t *testing.T) {
	b := newTestBench(t, 1)
	b.submit("a", oneCoreStep(1))
	start := takeOrders[StartTask](b)[0]
	b.sc.ApplyResult(b.now, StartResult{Order: start, Answer: AnswerUnknown, GrantedAt: b.now})
	b.decideAndStore()
	b.sc.stopRun(b.now, b.sc.findRun("w1", start.Task, start.Attempt))
	b.decideAndStore()
	b.sc.ApplyResult(b.now, StopResult{Order: takeOrders[StopTask](b)[0]})
	b.decideAndStore()
	b.restartWorker("w1")
	b.answerPoll(b.nextPoll("w1"), start)
	assert.Equal(t, len(takeOrders[StopTask](b)), 1)
}

// Guards against a late start on a worker that was removed and listed again: it must refuse the calls sent before.
func TestWorkerThatIsListedAgainRefusesEarlierCalls(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", oneCoreStep(1))
	start := takeOrders[StartTask](b)[0]
	b.sc.ApplyResult(b.now, PollResult{Order: b.nextPoll(start.Worker), SentAt: b.now, GrantedAt: b.now, Answer: AnswerWrongIncarnation})
	b.decideAndStore()
	assert.Assert(t, !b.sc.HasWorker(start.Worker))
	b.sc.ApplyResult(b.now, StartResult{Order: start, Answer: AnswerUnknown, GrantedAt: b.now})
	b.restartWorker(start.Worker)
	b.listWorkers()
	assert.Assert(t, b.nextPoll(start.Worker).Generation > start.Generation)
}

// Guards against a repeated start that arrives late although its run has ended well.
func TestRepeatWithoutAnswerIsBarredAfterTheEndOfItsRun(t *testing.T) {
	b := newTestBench(t, 1)
	b.submit("a", oneCoreStep(1), StepSpec{Count: 1, CPU: 1000, MemMB: 100, EstimateMs: 1000, DependsOn: []int{0}})
	first := takeOrders[StartTask](b)[0]
	b.sc.ApplyResult(b.now, StartResult{Order: first, Answer: AnswerUnknown, GrantedAt: b.now})
	b.decideAndStore()
	again := takeOrders[StartTask](b)[0]
	b.endAttempt(first, AttemptDone)
	b.sc.ApplyResult(b.now, StartResult{Order: again, Answer: AnswerUnknown, GrantedAt: b.now})
	assert.Assert(t, b.sc.workers["w1"].generation > again.Generation)
}

// Guards against a worker that gets new tasks although its entry shows another life; its wall clock was set back meanwhile.
func TestEntryWithAnEarlierStartHasTheWorkerPolled(t *testing.T) {
	b := newTestBench(t, 1)
	for _, incarnation := range []int64{5000, 4000} {
		e := b.entries["w1"]
		e.Incarnation = incarnation
		b.entries["w1"] = e
		b.advance(time.Second)
		b.listWorkers()
		assert.Assert(t, !b.sc.workers["w1"].isSchedulable(b.now))
		b.answerPolls()
		assert.Assert(t, b.sc.workers["w1"].isSchedulable(b.now))
	}
}

// Guards against a poll for each of several answers that show the same restart.
func TestAnswersThatShowOneRestartCauseOnePoll(t *testing.T) {
	b := newTestBench(t, 1)
	b.submit("a", oneCoreStep(4))
	starts := takeOrders[StartTask](b)
	takeOrders[PollWorker](b)
	polls := 0
	for _, o := range starts {
		b.sc.ApplyResult(b.now, StartResult{Order: o, Answer: AnswerOK, GrantedAt: b.now, ClockIncarnation: 1, Restarted: true})
		b.advance(minFullPassInterval)
		polls += len(takeOrders[PollWorker](b))
	}
	assert.Equal(t, polls, 1)
}

// Guards against a lease of a new life that the scheduler takes for lapsed: a renewal that was sent to the former life arrives late, and no
// later call has reached the worker.
func TestLateRenewalsCountUntilALaterCallIsAnswered(t *testing.T) {
	scenarios := []struct {
		name     string
		answers  int // of the new life
		expected time.Duration
	}{
		{"no later call is answered", 1, maxCallDelay + expiryBound(defaultMaxLease)},
		{"a later call is answered", 2, expiryBound(defaultMaxLease)},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			b := newTestBench(t, 1)
			b.submit("a", oneCoreStep(1))
			b.answerStarts(AnswerOK)
			b.restartWorker("w1")
			for range s.answers {
				b.answerPoll(b.nextPoll("w1"))
			}
			assert.Equal(t, b.sc.workers["w1"].leasesExpireAt.Sub(b.now), s.expected)
		})
	}
}

// Guards against an acknowledgement that comes too late: its first poll had no answer, and the next one waits for the idle interval.
func TestFailedAcknowledgementIsRepeatedSoon(t *testing.T) {
	b := newTestBench(t, 1)
	b.submit("a", oneCoreStep(1))
	start := b.answerStarts(AnswerOK)[0]
	ended := EndedRun{Number: 1, Task: start.Task, Attempt: start.Attempt, Outcome: AttemptDone}
	answer := func(o PollWorker, a OrderAnswer, ends ...EndedRun) {
		b.sc.ApplyResult(b.now, PollResult{Order: o, SentAt: b.now, GrantedAt: b.now, Answer: a, Incarnation: 1, Ended: ends})
		b.decideAndStore()
	}
	answer(b.nextPoll("w1"), AnswerOK, ended)
	answer(b.nextPoll("w1"), AnswerUnknown)
	failed := b.now
	answer(b.nextPoll("w1"), AnswerOK, ended)
	assert.Equal(t, b.nextPoll("w1").AckedThrough, int64(1))
	assert.Assert(t, b.now.Sub(failed) < time.Second)
}

// Guards against a worker that gets no tasks because its entry lacks a start, which says nothing of a restart.
func TestEntryWithoutAStartShowsNoRestart(t *testing.T) {
	b := newTestBench(t, 1)
	e := b.entries["w1"]
	e.Incarnation = 0
	b.entries["w1"] = e
	b.advance(time.Second)
	b.listWorkers()
	assert.Assert(t, b.sc.workers["w1"].isSchedulable(b.now))
}
