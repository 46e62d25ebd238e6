package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Pattern: a worker drains under tasks that would end with it.
func TestTasksLeaveADrainingWorker(t *testing.T) {
	saving, lasting := oneCoreStep(1), oneCoreStep(1)
	saving.Checkpoints, saving.EstimateMs = true, 10_000
	lasting.LongRunning, lasting.EstimateMs, lasting.MaxUnavailable = true, 0, 1
	scenarios := []struct {
		testName string
		step     StepSpec
		room     bool
		at       time.Duration // when it is stopped, 0 for never
	}{
		{"a lasting task goes on elsewhere at once", lasting, true, 200 * time.Millisecond},
		{"a lasting task stays while there is no room", lasting, false, 0},
		{"progress is saved at the end", saving, true, 1400 * time.Millisecond},
		{"what can't be saved may still end", oneCoreStep(1), true, 0},
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
			drained := b.now
			stopped := time.Duration(0)
			for range 38 {
				b.answerPolls()
				if stops := takeOrders[StopTask](b); len(stops) > 0 && stopped == 0 {
					stopped = b.now.Sub(drained)
				}
				b.advance(50 * time.Millisecond)
			}
			const late = 250 * time.Millisecond // waiting tasks are looked at each 200 ms
			assert.Assert(t, (stopped > 0) == (s.at > 0) && stopped <= s.at+late && stopped >= s.at-late, "%v", stopped)
		})
	}
}
