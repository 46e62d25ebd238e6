package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Urgent work arrives in a pool that is full of long-lasting, less urgent work.
func TestUrgentWorkPreemptsLessUrgentWork(t *testing.T) {
	long := oneCoreStep(8)
	long.EstimateMs = 20_000
	short := oneCoreStep(8)
	short.EstimateMs = 700
	scenarios := []struct {
		testName string
		running  StepSpec
		priority int
		targetMs int64
		expected int
	}{
		{"less urgent", long, 1, 5000, 2},
		{"as urgent", long, 0, 5000, 0},
		{"less urgent, but about to end", short, 1, 5000, 0},
		{"too late to meet its deadline", long, 1, -500, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, 2)
			submit := func(id string, step StepSpec, priority int, targetMs int64) {
				result, _ := b.sc.Submit(b.now, JobSpec{
					ID: id, Queue: "plans", Pool: "pots", Steps: []StepSpec{step}, Priority: priority, MaxAttempts: 2, Slack: 1.6,
					TargetMs: targetMs, FirstReceivedMs: b.now.UnixMilli(),
				})
				assert.Equal(t, result, Accepted)
				b.decideAndStore()
			}
			submit("long", s.running, s.priority, 60_000)
			assert.Equal(t, len(b.answerStarts(AnswerOK)), 8)
			submit("urgent", oneCoreStep(2), 0, s.targetMs)
			for range 8 {
				b.advance(50 * time.Millisecond)
				b.answerPolls()
			}
			stopped := map[TaskID]bool{}
			for _, o := range takeOrders[StopTask](b) {
				stopped[o.Task] = true
			}
			assert.Equal(t, len(stopped), s.expected)
			for id := range stopped {
				b.endAttempt(StartTask{Worker: b.sc.jobs["long"].taskByID(id).runs[0].worker.id, Task: id, Attempt: 1}, AttemptStopped)
			}
			for _, o := range takeOrders[StartTask](b) {
				assert.Equal(t, o.Task.Job, "urgent")
			}
		})
	}
}
