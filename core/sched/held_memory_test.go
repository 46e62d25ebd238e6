package sched

import (
	"fmt"
	"runtime"
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
	const (
		rounds   = 500
		tasks    = 1000
		maxBytes = 4 << 20
	)
	b := newTestBench(t, 1)
	before := heapBytes()
	b.sc.AcceptFromInbox(b.now, JobSpec{
		ID: "5c0e7a21d94b36f8", Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCoreStep(tasks)}, MaxAttempts: 2,
		StartMs: b.now.UnixMilli(), IntervalMs: 1, Repetitions: rounds,
	})
	b.decideAndStore()
	b.advance(time.Second)
	b.answerPolls()
	assert.Equal(t, len(b.answerStarts(AnswerOK)), 4)
	assert.Assert(t, heapBytes()-before < maxBytes, "%d bytes at the first owner", heapBytes()-before)
	next := b.newOwner()
	next.decideAndStore()
	assert.Assert(t, heapBytes()-before < 2*maxBytes, "%d bytes at both owners", heapBytes()-before)
	runtime.KeepAlive(b)
	runtime.KeepAlive(next)
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
