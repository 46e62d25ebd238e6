package sched

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// heapBytes returns the memory of all objects that are in use.
func heapBytes() int {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}

// Guards against memory that grows with the tasks that jobs have: forty accepted jobs of 100,000 tasks each took the owner over its memory,
// and each later owner at its replay.
func TestTasksThatCannotStartYetTakeNoMemory(t *testing.T) {
	const (
		jobs     = 40
		tasks    = 100_000
		maxBytes = 4 << 20
	)
	b := newTestBench(t, 1)
	before := heapBytes()
	for n := range jobs {
		b.sc.AcceptFromInbox(b.now, JobSpec{ID: fmt.Sprintf("%016x", n), Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCoreStep(tasks)}})
	}
	b.decideAndStore()
	assert.Equal(t, len(b.answerStarts(AnswerOK)), 4)
	assert.Assert(t, heapBytes()-before < maxBytes, "%d bytes at acceptance", heapBytes()-before)
	next := b.newOwner()
	assert.Assert(t, heapBytes()-before < 2*maxBytes, "%d bytes at both owners", heapBytes()-before)
	runtime.KeepAlive(b)
	runtime.KeepAlive(next)
}

// Guards against memory that grows with the rounds that come due: one accepted job of 1,000 tasks, 5,000 times, 1 ms apart, took the owner
// over its memory within seconds, and each later owner at its replay (review/11).
func TestDueRoundsThatCannotStartYetTakeNoMemory(t *testing.T) {
	const maxBytes = 4 << 20
	scenarios := []struct {
		testName string
		rounds   int
		tasks    int
	}{
		{"many tasks", 500, 1000},
		{"many rounds", 100_000, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, 1)
			before := heapBytes()
			b.sc.AcceptFromInbox(b.now, JobSpec{
				ID: "5c0e7a21d94b36f8", Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCoreStep(s.tasks)}, MaxAttempts: 2,
				StartMs: b.now.UnixMilli(), IntervalMs: 1, Repetitions: s.rounds,
			})
			b.decideAndStore()
			b.advance(time.Duration(s.rounds) * time.Millisecond)
			b.answerPolls()
			assert.Equal(t, len(b.answerStarts(AnswerOK)), 4)
			assert.Assert(t, heapBytes()-before < maxBytes, "%d bytes at the first owner", heapBytes()-before)
			next := b.newOwner()
			next.decideAndStore()
			assert.Assert(t, heapBytes()-before < 2*maxBytes, "%d bytes at both owners", heapBytes()-before)
			runtime.KeepAlive(b)
			runtime.KeepAlive(next)
		})
	}
}

// Guards against memory, and against snapshots, that grow with the rounds that are over. It also checks that a new owner runs each of the rest
// once, whether it replays the journal or a snapshot.
func TestRoundsThatAreOverTakeNoMemory(t *testing.T) {
	const (
		rounds           = 3000
		over             = 2000
		maxSnapshotBytes = 32 << 10
	)
	b := newTestBench(t, 1)
	_, _ = b.sc.Submit(b.now, JobSpec{
		ID: "5c0e7a21d94b36f8", Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCoreStep(1)}, MaxAttempts: 2,
		StartMs: b.now.UnixMilli(), IntervalMs: 1, Repetitions: rounds,
	})
	b.decideAndStore()
	b.advance(rounds * time.Millisecond)
	b.answerPolls()
	runAll := func(b *testBench, most int) (ran int) {
		for ran < most {
			starts := b.answerStarts(AnswerOK)
			if len(starts) == 0 {
				break
			}
			for _, o := range starts {
				b.endAttempt(o, AttemptDone)
			}
			ran += len(starts)
			b.advance(minFullPassInterval)
		}
		return ran
	}
	done := runAll(b, over)
	b.answerStarts(AnswerOK)
	assert.Assert(t, len(b.sc.jobs["5c0e7a21d94b36f8"].rounds) < rounds-over)
	snapshot, size := b.sc.Snapshot(), 0
	for _, r := range snapshot {
		raw, err := Encode(r)
		assert.NilError(t, err)
		size += len(raw)
	}
	assert.Assert(t, size < maxSnapshotBytes, "a snapshot of %d bytes", size)
	for _, records := range [][]Record{b.records, snapshot} {
		b.records = records
		next := b.newOwner()
		running := 0
		for _, r := range next.sc.workers["w1"].runList {
			next.sc.confirmStart(next.now, r)
			running++
		}
		next.answerPolls()
		for _, r := range slices.Clone(next.sc.workers["w1"].runList) {
			next.endAttempt(StartTask{Worker: "w1", Task: r.task.id(), Attempt: r.number}, AttemptDone)
		}
		next.advance(minFullPassInterval)
		assert.Equal(t, done+running+runAll(next, rounds), rounds)
		assert.Equal(t, next.state("5c0e7a21d94b36f8"), "completed")
	}
}

// Guards against memory, and against snapshots, that grow with cancellations of jobs that nobody has submitted, and against jobs that run
// although they were cancelled shortly before they arrived.
func TestCancellationsOfUnknownJobsAreForgotten(t *testing.T) {
	const cancels = 10_000
	b := newTestBench(t, 1)
	for n := range cancels {
		b.sc.CancelFromInbox(b.now, fmt.Sprintf("%016x", n))
	}
	b.decideAndStore()
	next := b.newOwner()
	for _, owner := range []*testBench{b, next} {
		assert.Equal(t, len(owner.sc.earlyCancels), cancels)
		owner.advance(defaultRetention - time.Second)
		owner.sc.AcceptFromInbox(owner.now, JobSpec{ID: fmt.Sprintf("%016x", 1), Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCoreStep(1)}})
		owner.decideAndStore()
		assert.Equal(t, owner.state(fmt.Sprintf("%016x", 1)), "cancelled")
		owner.sc.KeepEndedSince(owner.now.Add(-defaultRetention))
		owner.advance(2 * time.Second)
		assert.Equal(t, len(owner.sc.earlyCancels), cancels-1, "a partition of the inbox has not been read since")
		owner.sc.KeepEndedSince(time.Time{})
		owner.advance(time.Second)
		assert.Equal(t, len(owner.sc.earlyCancels), 0)
		assert.Assert(t, len(owner.sc.Snapshot()) < 10)
	}
}

// Guards against a run that a new owner doesn't know: the other runs of a gang whose end has come are still on their workers when a
// snapshot is written.
func TestRunsOfAGangThatIsDoneSurviveASnapshot(t *testing.T) {
	b := newTestBench(t, 2)
	step := oneCoreStep(3)
	step.Gang = true
	b.submit("a", step, StepSpec{Count: 1, CPU: 1000, DependsOn: []int{0}})
	starts := b.answerStarts(AnswerOK)
	assert.Equal(t, len(starts), 3)
	b.endAttempt(starts[0], AttemptDone)
	next := New(Options{})
	for _, r := range b.sc.Snapshot() {
		assert.NilError(t, next.Replay(r))
	}
	gang, restored := b.sc.jobs["a"].rounds[0].steps[0], next.jobs["a"].rounds[0].steps[0]
	assert.Equal(t, gang.runCount, 2)
	assert.Equal(t, restored.runCount, 2)
	assert.Assert(t, restored.isDone())
	assert.Equal(t, restored.waitingTasks, 0)
	assert.Assert(t, next.jobs["a"].rounds[0].steps[1].ready)
}

// Guards against memory that grows with the jobs that have ended: their states are kept for minutes, but nothing starts their tasks any more.
func TestEndedJobsKeepNeitherPayloadNorTasks(t *testing.T) {
	const (
		jobs     = 2000
		maxBytes = jobs * 2048
	)
	b := newTestBench(t, 3)
	before := heapBytes()
	for n := range jobs {
		id := fmt.Sprintf("%016x", n)
		b.sc.AcceptFromInbox(b.now, JobSpec{ID: id, Queue: "plans", Pool: "pots", Payload: strings.Repeat("p", 4000), Steps: []StepSpec{oneCoreStep(12)}})
		b.advance(minFullPassInterval)
		starts := b.answerStarts(AnswerOK)
		assert.Equal(t, len(starts), 12)
		for _, o := range starts {
			b.endAttempt(o, AttemptDone)
		}
		assert.Equal(t, b.state(id), "completed")
		b.answerPolls()
		b.records, b.orders = nil, nil
		b.sc.Decisions()
	}
	b.advance(maxCallDelay)
	assert.Assert(t, heapBytes()-before < maxBytes, "%d bytes for a job", (heapBytes()-before)/jobs)
	runtime.KeepAlive(b)
}
