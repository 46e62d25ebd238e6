package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestJobRunsStepAfterStep(t *testing.T) {
	b := newBench(t, 1)
	second := oneCore(1)
	second.After = []int{0}
	b.submit("a", oneCore(2), second)
	assert.Equal(t, b.state("a"), "queued")
	starts := b.answerStarts(OK)
	assert.Equal(t, len(starts), 2)
	assert.Equal(t, b.state("a"), "in-progress")
	b.end(starts[0], Done)
	assert.Equal(t, len(take[StartTask](b)), 0)
	b.end(starts[1], Done)
	last := b.answerStarts(OK)
	assert.Equal(t, last[0].Task.String(), "a.0.1.0")
	b.end(last[0], Done)
	assert.Equal(t, b.state("a"), "completed")
}

func TestNothingIsStartedBeforeItsRecordIsStored(t *testing.T) {
	b := newBench(t, 1)
	_, _ = b.m.Submit(b.now, JobSpec{ID: "a", Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCore(1)}})
	b.m.Decide(b.now)
	for _, o := range b.m.Orders() {
		_, isStart := o.(StartTask)
		assert.Assert(t, !isStart)
	}
	assert.Equal(t, b.state("a"), "unknown")
	batch := b.m.Take()
	assert.Equal(t, len(batch.Records), 2)
	assert.Equal(t, len(batch.After), 1)
}

func TestWorkerWithoutRoomIsAskedAgainThoughNothingElseHappens(t *testing.T) {
	b := newBench(t, 1)
	b.submit("a", oneCore(1))
	b.answerStarts(NoRoom)
	assert.Equal(t, len(take[StartTask](b)), 0)
	for range 20 {
		b.pass(50 * time.Millisecond)
	}
	assert.Equal(t, len(take[StartTask](b)), 1)
}

func TestFailedTasksAreTriedElsewhereUntilTheirAttemptsAreSpent(t *testing.T) {
	b := newBench(t, 2)
	b.submit("a", oneCore(1))
	first := b.answerStarts(OK)[0]
	b.end(first, Faulted)
	second := b.answerStarts(OK)[0]
	assert.Assert(t, second.Worker != first.Worker)
	assert.Equal(t, second.Attempt, 2)
	b.end(second, Faulted)
	assert.Equal(t, b.state("a"), "failed")
	assert.Equal(t, len(b.answerStarts(OK)), 0)
}

func TestCancelStopsWhatRunsAndStartsNothing(t *testing.T) {
	b := newBench(t, 1)
	b.submit("a", oneCore(6))
	b.answerStarts(OK)
	assert.Assert(t, b.m.Cancel(b.now, "a"))
	b.settle()
	assert.Equal(t, b.state("a"), "cancelled")
	assert.Equal(t, len(take[StopTask](b)), 4)
	assert.Equal(t, len(take[StartTask](b)), 0)
	assert.Assert(t, !b.m.Cancel(b.now, "nobody"))
}

func TestStartWithoutAnswer(t *testing.T) {
	scenarios := []struct {
		testName string
		listed   bool // the worker runs it after all
		expected int  // attempts at the end
	}{
		{"the worker has it", true, 1},
		{"the worker never got it", false, 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newBench(t, 1)
			b.submit("a", oneCore(1))
			start := take[StartTask](b)[0]
			for range startRetries + 1 {
				b.m.Apply(b.now, StartReport{Order: start, Answer: Unknown, GrantedAt: b.now})
				b.settle()
			}
			stops := take[StopTask](b)
			assert.Equal(t, len(stops), 1, "the order may still arrive, so it is stopped")
			b.pass(time.Millisecond)
			b.m.Apply(b.now, StopReport{Order: stops[0]})
			b.pass(time.Second)
			rep := HoldReport{Order: HoldWorker{Worker: "w1"}, SentAt: b.now, Born: 1}
			if s.listed {
				rep.Ended = []EndedRun{{Number: 1, Task: start.Task, Attempt: 1, Ending: Done}}
			}
			b.m.Apply(b.now, rep)
			b.settle()
			assert.Equal(t, b.m.jobs["a"].rounds[0].steps[0].tasks[0].attempts, s.expected)
		})
	}
}

func TestSilentWorkersTasksWaitUntilTheirLeasesLapsed(t *testing.T) {
	b := newBench(t, 2)
	b.submit("a", oneCore(1))
	first := b.answerStarts(OK)[0]
	for range 60 {
		b.pass(50 * time.Millisecond)
		b.answerLooks(first.Worker)
	}
	assert.Equal(t, len(take[StartTask](b)), 0, "the lease may still run")
	for range 60 {
		b.pass(50 * time.Millisecond)
		b.answerLooks(first.Worker)
	}
	again := take[StartTask](b)
	assert.Equal(t, len(again), 1)
	assert.Assert(t, again[0].Worker != first.Worker)
}

func TestRebornWorkerHoldsNothing(t *testing.T) {
	b := newBench(t, 1)
	b.submit("a", oneCore(1))
	b.answerStarts(OK)
	b.pass(100 * time.Millisecond)
	e := b.entries["w1"]
	e.Born = 2
	b.entries["w1"] = e
	b.list()
	for range 2 {
		for _, o := range take[HoldWorker](b) {
			b.m.Apply(b.now, HoldReport{Order: o, SentAt: b.now, GrantedAt: b.now, Born: 2})
		}
		b.pass(100 * time.Millisecond)
	}
	assert.Equal(t, len(take[StartTask](b)), 1)
}

// A start carries no incarnation: it may be carried out, and answered, by a worker that has started anew meanwhile
// (random walk, seed 2405).
func TestStartThatARebornWorkerTookRunsOnce(t *testing.T) {
	b := newBench(t, 2)
	b.submit("a", oneCore(1))
	b.answerLooks()
	start := b.answerStarts(OK)[0]
	b.pass(time.Second)
	for _, o := range take[HoldWorker](b) {
		rep := HoldReport{Order: o, SentAt: b.now, GrantedAt: b.now, Born: 1}
		if o.Worker == start.Worker {
			rep.Born = 2
			rep.Active = []ActiveRun{{Task: start.Task, Attempt: start.Attempt, Percent: fullSpeed, Load: -1}}
		}
		b.m.Apply(b.now, rep)
	}
	b.pass(300 * time.Millisecond)
	assert.Equal(t, len(take[StartTask](b)), 0)
}

func TestLimitOfATeamHolds(t *testing.T) {
	b := newBench(t, 20)
	verdict, _ := b.m.Submit(b.now, JobSpec{ID: "a", Queue: "plans", Pool: "pots", Team: "retail", Steps: []StepSpec{oneCore(80)}})
	assert.Equal(t, verdict, Accepted)
	b.settle()
	assert.Equal(t, len(take[StartTask](b)), 64)
}

func TestGangStartsOnlyWhole(t *testing.T) {
	gang := oneCore(6)
	gang.Gang = true
	b := newBench(t, 1)
	b.submit("a", gang)
	assert.Equal(t, len(take[StartTask](b)), 0)
	b.addWorker("w2", "pots")
	b.list()
	b.answerLooks()
	starts := take[StartTask](b)
	assert.Equal(t, len(starts), 6)
	for _, s := range starts {
		assert.Equal(t, s.Attempt, 1)
	}
}

func TestAntiAffinityAndLabels(t *testing.T) {
	apart := oneCore(4)
	apart.MostPerWorker = 1
	labelled := oneCore(1)
	labelled.Label = "missing"
	b := newBench(t, 3)
	b.submit("a", apart)
	b.submit("b", labelled)
	assert.Equal(t, len(take[StartTask](b)), 3)
}

func TestTimedJobBeginsAtItsTimes(t *testing.T) {
	b := newBench(t, 1)
	_, _ = b.m.Submit(b.now, JobSpec{
		ID: "a", Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCore(1)},
		StartMs: b.now.Add(time.Second).UnixMilli(), IntervalMs: 2000, Repetitions: 2,
	})
	b.settle()
	b.pass(900 * time.Millisecond)
	assert.Equal(t, len(take[StartTask](b)), 0)
	b.pass(150 * time.Millisecond)
	b.answerLooks()
	assert.Equal(t, take[StartTask](b)[0].Task.String(), "a.0.0.0")
	b.pass(2 * time.Second)
	b.answerLooks()
	assert.Equal(t, take[StartTask](b)[0].Task.String(), "a.1.0.0")
}

func TestTakeoverReplaysToTheSameJobs(t *testing.T) {
	b := newBench(t, 2)
	second := oneCore(1)
	second.After = []int{0}
	b.submit("a", oneCore(2), second)
	starts := b.answerStarts(OK)
	b.end(starts[0], Done)
	b.submit("b", oneCore(1))
	b.answerStarts(OK)
	b.m.Cancel(b.now, "b")
	b.submit("c", oneCore(1))
	b.end(b.answerStarts(OK)[0], Done)
	b.m.CancelEarly(b.now, "d")
	b.settle()
	for _, records := range [][]Record{b.records, b.m.Snapshot()} {
		next := New(Options{})
		for _, r := range records {
			raw, err := Encode(r)
			assert.NilError(t, err)
			decoded, err := Decode(raw)
			assert.NilError(t, err)
			assert.NilError(t, next.Replay(decoded))
		}
		next.Begin(b.now, 0)
		a, _ := next.State("a")
		assert.Equal(t, a, InProgress)
		cancelled, _ := next.State("b")
		assert.Equal(t, cancelled, Cancelled)
		done, _ := next.State("c")
		assert.Equal(t, done, Completed)
		next.TakeOver(b.now, JobSpec{ID: "d", Steps: []StepSpec{oneCore(1)}})
		next.Stored(next.Take())
		early, _ := next.State("d")
		assert.Equal(t, early, Cancelled, "it was cancelled before it came")
		s := next.jobs["a"].rounds[0].steps[0]
		assert.Equal(t, s.undone, 1)
		assert.Equal(t, s.running, 1)
		assert.Equal(t, next.teamOf("floor").used, b.m.teamOf("floor").used)
	}
}

// Pattern: thousands of jobs that ended and can still be asked for.
func TestEndedJobsTakeLittleOfASnapshot(t *testing.T) {
	b := newBench(t, 1)
	size := func() int {
		n := 0
		for _, r := range b.m.Snapshot() {
			raw, err := Encode(r)
			assert.NilError(t, err)
			n += len(raw)
		}
		return n
	}
	empty := size()
	verdict, _ := b.m.Submit(b.now, JobSpec{
		ID: "5c0e7a21d94b36f8", Queue: "plans", Pool: "pots", Team: "floor", Payload: string(make([]byte, 4000)),
		Steps: []StepSpec{oneCore(4)}, MaxAttempts: 2, Slack: 1.6, TargetMs: 600,
	})
	assert.Equal(t, verdict, Accepted)
	b.settle()
	assert.Assert(t, size()-empty > 4000)
	for _, o := range b.answerStarts(OK) {
		b.end(o, Done)
	}
	assert.Equal(t, b.state("5c0e7a21d94b36f8"), "completed")
	assert.Assert(t, size()-empty < 150, "%d", size()-empty)
}

func TestNewOwnerAsksBeforeItOrders(t *testing.T) {
	scenarios := []struct {
		testName string
		answer   HoldReport
		starts   int
	}{
		{"still running", HoldReport{Active: []ActiveRun{{Task: TaskID{Job: "a"}, Attempt: 1, Percent: 100}}}, 0},
		{"ended meanwhile", HoldReport{Ended: []EndedRun{{Number: 1, Task: TaskID{Job: "a"}, Attempt: 1, Ending: Done}}}, 0},
		{"never arrived", HoldReport{}, 1},
		{"failed meanwhile", HoldReport{Ended: []EndedRun{{Number: 1, Task: TaskID{Job: "a"}, Attempt: 1, Ending: Faulted}}}, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			before := newBench(t, 2)
			before.submit("a", oneCore(1))
			b := &bench{t: t, m: New(Options{}), now: start, entries: before.entries, ends: map[string]int64{}}
			for _, r := range before.records {
				assert.NilError(t, b.m.Replay(r))
			}
			b.m.Begin(b.now, 0)
			b.m.Configure(b.now, testConfig())
			b.list()
			assert.Equal(t, len(take[StartTask](b)), 0)
			ran := before.records[1].(TaskStarted).Worker
			for _, o := range take[HoldWorker](b) {
				rep := HoldReport{Order: o, SentAt: b.now, GrantedAt: b.now, Born: 1}
				if o.Worker == ran {
					rep.Active, rep.Ended = s.answer.Active, s.answer.Ended
				}
				b.m.Apply(b.now, rep)
			}
			b.settle()
			assert.Equal(t, len(take[StartTask](b)), s.starts)
		})
	}
}

// A start whose answer was lost is repeated; the task may have run and ended in between.
func TestRefusedRepeatOfAStartProvesNothing(t *testing.T) {
	for _, refusal := range []Answer{Outrun, TooLate, NoRoom, Refused, Invalid} {
		t.Run(refusal.String(), func(t *testing.T) {
			b := newBench(t, 2)
			b.submit("a", oneCore(1))
			start := take[StartTask](b)[0]
			b.m.Apply(b.now, StartReport{Order: start, Answer: Unknown, GrantedAt: b.now})
			b.settle()
			assert.Equal(t, len(take[StartTask](b)), 1)
			b.m.Apply(b.now, StartReport{Order: start, Answer: refusal, GrantedAt: b.now})
			b.settle()
			assert.Equal(t, len(take[StartTask](b)), 0)
			for _, o := range take[StopTask](b) {
				b.m.Apply(b.now, StopReport{Order: o})
			}
			b.pass(time.Millisecond)
			b.end(start, Done)
			assert.Equal(t, b.state("a"), "completed")
			assert.Equal(t, len(take[StartTask](b)), 0)
		})
	}
}

// A worker that is stopping a task lists it neither as active nor as ended for a while.
func TestStoppedTaskRunsUntilItsEndIsListed(t *testing.T) {
	b := newBench(t, 2)
	lasting := oneCore(1)
	lasting.Lasting = true
	b.submit("a", lasting)
	first := b.answerStarts(OK)[0]
	r := b.m.runOf(first.Worker, first.Task, first.Attempt)
	b.m.stopRun(b.now, r)
	b.settle()
	stop := take[StopTask](b)[0]
	b.m.Apply(b.now, StopReport{Order: stop})
	b.pass(20 * time.Millisecond)
	b.m.Apply(b.now, HoldReport{Order: HoldWorker{Worker: first.Worker}, SentAt: b.now, Born: 1})
	b.settle()
	assert.Equal(t, len(take[StartTask](b)), 0)
	b.pass(200 * time.Millisecond)
	b.end(first, Stopped)
	assert.Equal(t, len(take[StartTask](b)), 1)
}

// The list of workers may still name a life of before, which answers no more.
func TestEarlierLifeOfAMachineIsGone(t *testing.T) {
	b := newBench(t, 1)
	b.submit("a", oneCore(1))
	b.answerStarts(OK)
	later := b.entries["w1"]
	later.ID, later.Born = "w9", 7
	b.entries["w9"] = later
	b.list()
	b.answerLooks()
	assert.Equal(t, take[StartTask](b)[0].Worker, "w9")
}

// A starved owner learns late of what its calls have renewed: nothing lapses while one may still be on its way.
func TestNothingLapsesWhileARenewalMayBeOnItsWay(t *testing.T) {
	b := newBench(t, 2)
	b.submit("a", oneCore(1))
	first := b.answerStarts(OK)[0]
	b.pass(time.Second)
	var renewal HoldWorker
	for _, o := range take[HoldWorker](b) {
		if o.Worker == first.Worker {
			renewal = o
		}
	}
	assert.Assert(t, renewal.Lease > 0)
	b.m.workers[first.Worker].silent = 1
	for range 120 {
		b.pass(50 * time.Millisecond)
		b.answerLooks()
	}
	assert.Equal(t, len(take[StartTask](b)), 0, "the call has no report yet")
	b.m.Apply(b.now, HoldReport{Order: renewal, Answer: Unknown, SentAt: b.now.Add(-time.Second), GrantedAt: b.now.Add(-time.Second)})
	b.pass(3 * time.Second)
	assert.Equal(t, len(take[StartTask](b)), 0, "it was sent a second ago")
	b.pass(2 * time.Second)
	assert.Equal(t, len(take[StartTask](b)), 1)
}

// Pattern: an owner without processor time, whose calls leave long after they were begun.
func TestNothingLapsesBeforeALateGrantIsOver(t *testing.T) {
	b := newBench(t, 2)
	b.submit("a", oneCore(1))
	first := b.answerStarts(OK)[0]
	b.pass(time.Second)
	begun := b.now
	b.m.workers[first.Worker].silent = silentCalls
	for _, o := range take[HoldWorker](b) {
		rep := HoldReport{Order: o, SentAt: begun, GrantedAt: begun, Born: 1}
		if o.Worker == first.Worker {
			rep.Answer, rep.GrantedAt = Unknown, begun.Add(2*time.Second)
		}
		b.m.Apply(begun, rep)
	}
	pass := func(until time.Time) {
		for b.now.Before(until) {
			b.pass(50 * time.Millisecond)
			b.answerLooks(first.Worker)
		}
	}
	pass(begun.Add(2*time.Second + defaultLease))
	assert.Equal(t, len(take[StartTask](b)), 0, "the worker may have been renewed two seconds after the call was begun")
	pass(begun.Add(2*time.Second + b.m.options.lapseAfter() + time.Second))
	assert.Equal(t, len(take[StartTask](b)), 1)
}

// A list with a row that can't be read says nothing of what it doesn't name.
func TestUnreadableRowEndsNothing(t *testing.T) {
	for _, s := range []struct {
		testName string
		partial  bool
		expected int
	}{{"whole list", false, 1}, {"unreadable row", true, 0}} {
		t.Run(s.testName, func(t *testing.T) {
			b := newBench(t, 1)
			b.submit("a", oneCore(1))
			o := b.answerStarts(OK)[0]
			b.pass(time.Second)
			b.m.Apply(b.now, HoldReport{Order: HoldWorker{Worker: o.Worker}, SentAt: b.now, Born: 1, Partial: s.partial})
			b.settle()
			assert.Equal(t, len(take[StartTask](b)), s.expected)
		})
	}
}
