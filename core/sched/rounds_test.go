package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against rounds that wait for earlier ones although workers have room for them.
func TestRoundsThatOverlapBeginWhenTheyAreDue(t *testing.T) {
	long := StepSpec{Count: 1, CPU: 100, EstimateMs: 600_000}
	wide := StepSpec{Count: 1000, CPU: 100, EstimateMs: 1000, DependsOn: []int{0}}
	noWorker := StepSpec{Count: maxReadyTasks, CPU: 100, EstimateMs: 1000, Label: "none"}
	scenarios := []struct {
		testName string
		steps    []StepSpec
		rounds   int
	}{
		{"one long task", []StepSpec{long}, 100},
		{"many tasks after it", []StepSpec{long, wide}, 100},
		{"beside tasks for which there is no worker", []StepSpec{long, noWorker}, minOpenRounds},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, 3)
			_, _ = b.sc.Submit(b.now, JobSpec{
				ID: "a", Queue: "plans", Pool: "pots", Steps: s.steps, MaxAttempts: 2,
				StartMs: b.now.Add(time.Second).UnixMilli(), IntervalMs: 1000, Repetitions: s.rounds,
			})
			for n := range s.rounds {
				b.advance(time.Second)
				b.answerPolls()
				starts := b.answerStarts(AnswerOK)
				assert.Equal(t, len(starts), 1, "starts when round %d is due", n)
				assert.Equal(t, starts[0].Task.String(), fmt.Sprintf("a.%d.0.0", n))
			}
		})
	}
}

// Guards against occurrences that are lost because they were overdue when their job was accepted, after an outage for instance.
func TestOverdueRoundsAllRun(t *testing.T) {
	const rounds = 700
	b := newTestBench(t, 2)
	_, _ = b.sc.Submit(b.now, JobSpec{
		ID: "a", Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCoreStep(2)}, MaxAttempts: 2,
		StartMs: b.now.Add(-time.Hour).UnixMilli(), IntervalMs: 1000, Repetitions: rounds,
	})
	b.advance(minFullPassInterval)
	ran := map[TaskID]int{}
	for starts := b.answerStarts(AnswerOK); len(starts) > 0; starts = b.answerStarts(AnswerOK) {
		for _, o := range starts {
			ran[o.Task]++
			b.endAttempt(o, AttemptDone)
		}
		b.advance(minFullPassInterval)
	}
	assert.Equal(t, len(ran), 2*rounds)
	assert.Equal(t, b.state("a"), "completed")
}

// Guards against pools that get no machines for rounds that are due and wait: they are part of the demand although they have not begun.
func TestDelayedRoundsCountAsDemand(t *testing.T) {
	const rounds = 5000
	b := newTestBench(t, 1)
	_, _ = b.sc.Submit(b.now, JobSpec{
		ID: "a", Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCoreStep(3)}, MaxAttempts: 2,
		StartMs: b.now.UnixMilli(), IntervalMs: 1, Repetitions: rounds,
	})
	b.advance(rounds * time.Millisecond)
	b.advance(time.Second)
	demand := b.sc.measureDemand(b.now, nil)["pots"]
	work := demand.urgent.total() + demand.late.total()
	assert.Assert(t, work > 0.99*3*rounds && work <= 3*rounds, "%v core-seconds", work)
}

// Guards against numbers of machines that overflow: an accepted job may have billions of due rounds, and each counts as demand.
func TestDemandOfAnyScheduleStaysInRange(t *testing.T) {
	b := newTestBench(t, 2)
	step := StepSpec{Count: 100_000, CPU: 1 << 20, EstimateMs: 24 * 60 * 60 * 1000}
	lasting := step
	lasting.LongRunning = true
	for id, s := range map[string]StepSpec{"a": step, "b": lasting} {
		b.sc.AcceptFromInbox(b.now, JobSpec{ID: id, Queue: "plans", Pool: "pots", Steps: []StepSpec{s}, Repetitions: 1 << 40, IntervalMs: 1, MaxAttempts: 2})
	}
	b.advance(time.Second)
	demand := b.sc.measureDemand(b.now, nil)
	d := demand["pots"]
	assert.Assert(t, d.needed >= d.neededWithForecast && d.neededWithForecast >= d.neededNow && d.neededNow > 1000*d.machines, "%d, %d and %d machines are needed", d.needed, d.neededWithForecast, d.neededNow)
	for _, other := range demand {
		other.machines, other.neededAtLeast = 2, 0
		other.needed, other.neededNow, other.neededWithForecast = d.needed, d.neededNow, d.neededWithForecast
	}
	rationMachines(demand)
	for name, other := range demand {
		assert.Assert(t, other.needed >= 0 && other.needed <= 100, "pool %s needs %d machines", name, other.needed)
	}
}
