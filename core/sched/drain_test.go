package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A worker drains while it runs tasks that would be cut off.
func TestTasksAreStoppedOnDrainingWorker(t *testing.T) {
	checkpointing, longRunning := oneCoreStep(1), oneCoreStep(1)
	checkpointing.Checkpoints, checkpointing.EstimateMs = true, 10_000
	longRunning.LongRunning, longRunning.EstimateMs, longRunning.MaxUnavailable = true, 0, 1
	scenarios := []struct {
		testName string
		step     StepSpec
		room     bool
		at       time.Duration // when the task is stopped, 0 for never
	}{
		{"a long-running task moves to another worker at once", longRunning, true, 200 * time.Millisecond},
		{"a long-running task stays while no other worker has room", longRunning, false, 0},
		{"a checkpointing task is stopped as late as possible", checkpointing, true, 1400 * time.Millisecond},
		{"a task without checkpoints may still finish", oneCoreStep(1), true, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, 1)
			b.submit("a", s.step)
			b.answerStarts(AnswerOK)
			if s.room {
				b.addWorker("w2", "pots")
			}
			e := b.entries["w1"]
			e.Draining, e.Remaining = true, 2*time.Second
			b.entries["w1"] = e
			b.listWorkers()
			drainStart := b.now
			stoppedAfter := time.Duration(0)
			for range 38 {
				b.answerPolls()
				if stops := takeOrders[StopTask](b); len(stops) > 0 && stoppedAfter == 0 {
					stoppedAfter = b.now.Sub(drainStart)
				}
				b.advance(50 * time.Millisecond)
			}
			const tolerance = 250 * time.Millisecond // waiting tasks are replanned every 200 ms
			assert.Assert(t, (stoppedAfter > 0) == (s.at > 0) && stoppedAfter <= s.at+tolerance && stoppedAfter >= s.at-tolerance, "%v", stoppedAfter)
		})
	}
}
