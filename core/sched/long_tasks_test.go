package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// submitLongTasks runs the given number of one-core tasks of 34 seconds in the pool "pots" of a fleet of 20 workers, whose machines may move.
func submitLongTasks(t *testing.T, tasks int) *testBench {
	b := newTestBench(t, 20)
	b.addWorker("d1", "desks")
	b.listWorkers()
	b.answerPolls()
	b.listMachinesExcept()
	b.submit("long", StepSpec{Count: tasks, CPU: 1000, MemMB: 100, EstimateMs: 34_000})
	b.answerStarts(AnswerOK)
	b.sc.options.AllowPoolMoves = true
	return b
}

// Some tasks take twenty times as long as the others. Guards against a pool that keeps the machines for more cores than its tasks
// can use while the other pools lack machines (RECOVER, seed 338 of the day long-then-wipe).
func TestLongTasksNeedNoMoreMachinesThanTheyOccupy(t *testing.T) {
	b := submitLongTasks(t, 16)
	b.runFor(time.Second)
	const occupied = 4 // workers of 4 cores
	needed := b.sc.demand["pots"].needed
	assert.Assert(t, needed >= occupied && needed <= occupied+2, "%d machines needed", needed)
	b.submitQuotes(0, 12)
	b.runFor(600 * time.Millisecond)
	moves := takeOrders[MoveMachine](b)
	assert.Assert(t, len(moves) >= 5, "%v", moves)
	for _, o := range moves {
		assert.Equal(t, o.Pool, "desks")
	}
}

// A chain of long steps waits in a pool. Guards against machines for tasks that can't start before an earlier step is done.
func TestStepsThatStartMuchLaterNeedNoMachinesYet(t *testing.T) {
	b := newTestBench(t, 20)
	long := StepSpec{Count: 8, CPU: 1000, MemMB: 100, EstimateMs: 34_000}
	next := long
	next.DependsOn = []int{0}
	b.submit("chain", long, next)
	b.answerStarts(AnswerOK)
	b.runFor(time.Second)
	needed := b.sc.demand["pots"].needed
	assert.Assert(t, needed <= 4, "%d machines needed for 8 cores", needed)
}

// Long tasks hold two fifths of a pool's cores. Guards against short jobs that are refused although most of the pool is idle.
func TestLongTasksDelayNoShortJob(t *testing.T) {
	b := submitLongTasks(t, 32)
	b.runFor(time.Second)
	result, r := b.sc.Submit(b.now, JobSpec{
		ID: "short", Queue: "plans", Pool: "pots", Team: "retail", Steps: []StepSpec{oneCoreStep(1)}, Slack: 1.6, TargetMs: 600,
		FirstReceivedMs: b.now.UnixMilli(),
	})
	assert.Equal(t, result, Accepted, "%s: %v core-seconds ahead, %v done in a second", r.Cause(), r.WorkAhead(), r.WorkRate())
}

// A team's long tasks hold half of its limit. Guards against its short jobs being refused although the other half is free.
func TestLongTasksDelayNoShortJobOfTheirTeam(t *testing.T) {
	b := newTestBench(t, 40)
	submit := func(id string, step StepSpec) SubmitResult {
		result, _ := b.sc.Submit(b.now, JobSpec{
			ID: id, Queue: "plans", Pool: "pots", Team: "retail", Steps: []StepSpec{step}, Slack: 1.6, TargetMs: 600,
			FirstReceivedMs: b.now.UnixMilli(),
		})
		return result
	}
	const limitCores = 64
	assert.Equal(t, submit("long", StepSpec{Count: limitCores / 2, CPU: 1000, MemMB: 100, EstimateMs: 34_000}), Accepted)
	b.decideAndStore()
	b.answerStarts(AnswerOK)
	b.runFor(time.Second)
	assert.Equal(t, submit("short", oneCoreStep(8)), Accepted)
}

// Long tasks fill one pool while the surge of another begins. Guards against jobs that are accepted for machines which only become
// free much later, and then wait until they are useless (hlt-sched, long tasks of hold-request, seed 13).
func TestMachinesBoundByLongTasksAreNotReachable(t *testing.T) {
	b := submitLongTasks(t, 80)
	accepted := 0
	for i := range 60 {
		accepted += 2 * b.submitQuotes(i, 1)
		b.runFor(100 * time.Millisecond)
	}
	const (
		cores         = 4
		seconds       = 6
		maxUsefulWait = 5.6
	)
	assert.Assert(t, float64(accepted) <= cores*(seconds+maxUsefulWait), "%d core-seconds accepted for %d cores", accepted, cores)
	assert.Assert(t, accepted >= cores*seconds/2, "%d core-seconds accepted for %d cores", accepted, cores)
}

// Tasks of two seconds wait in a pool. Guards against taking the cores that they hold for all that they need: they end and free their
// cores for the next ones within the planning horizon (hlt-sched-grown, scale-2).
func TestTasksWithinThePlanningHorizonNeedMachinesByTheirWork(t *testing.T) {
	const cores = 8
	scenarios := []struct {
		testName string
		estimate time.Duration
		expected float64
	}{
		{"as long as the time to drain", backlogDrainTime, cores},
		{"longer, within the horizon", 2 * backlogDrainTime, 2 * cores},
		{"longer than the horizon", 20 * backlogDrainTime, cores},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var l workload
			l.add(cores, 0, s.estimate)
			assert.Equal(t, l.neededCores(backlogDrainTime), s.expected)
		})
	}
}
