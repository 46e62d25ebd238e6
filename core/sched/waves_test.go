package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// listMachines lists the machines of all workers as up, but for those named.
func (b *testBench) listMachines(inService ...string) {
	var entries []MachineEntry
	for id, e := range b.entries {
		m := MachineEntry{ID: e.Machine, Pool: e.Pool, Worker: id, Capacity: e.Capacity}
		for _, away := range inService {
			if away == e.Machine {
				m.State, m.Worker = MachineInMaintenance, ""
			}
		}
		entries = append(entries, m)
	}
	b.m.UpdateMachines(b.now, b.now, entries)
	b.decideAndStore()
}

// wait lets time pass while all workers answer.
func (b *testBench) wait(d time.Duration, inService ...string) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.advance(100 * time.Millisecond)
		b.answerPolls()
		b.listMachines(inService...)
	}
}

func (b *testBench) declareWave(most int, machines ...string) {
	b.m.AddWave(b.now, Wave{Number: 1, Machines: machines, Duration: 30 * time.Second, MaxDown: most})
}

func lastingStep(count, most int) StepSpec {
	s := oneCoreStep(count)
	s.LongRunning, s.MaxUnavailable, s.MaxPerWorker, s.EstimateMs = true, 1, most, 0
	return s
}

func TestWaveTakesNoMoreMachinesThanMayBeDown(t *testing.T) {
	b := newTestBench(t, 6)
	b.listMachines()
	var names []string
	for i := range 6 {
		names = append(names, fmt.Sprintf("m-w%d", i+1))
	}
	b.declareWave(2, names...)
	b.wait(time.Second)
	taken := takeOrders[MaintainMachine](b)
	assert.Equal(t, len(taken), 2)
	for _, o := range taken {
		b.m.ApplyResult(b.now, MaintenanceResult{Order: o})
	}
	down := []string{taken[0].Machine, taken[1].Machine}
	// Longer than a machine is said to be away: only the list tells that it is back.
	b.wait(3*time.Second, down...)
	assert.Equal(t, len(takeOrders[MaintainMachine](b)), 0)
	b.wait(time.Second, down[0])
	assert.Equal(t, len(takeOrders[MaintainMachine](b)), 1)
}

func TestOrderWithoutAnswerCountsAsDownAndIsRepeated(t *testing.T) {
	b := newTestBench(t, 3)
	b.listMachines()
	b.declareWave(1, "m-w1", "m-w2", "m-w3")
	b.wait(time.Second)
	first := takeOrders[MaintainMachine](b)
	assert.Equal(t, len(first), 1)
	b.m.ApplyResult(b.now, MaintenanceResult{Order: first[0], Answer: AnswerUnknown})
	b.wait(3 * time.Second)
	assert.Equal(t, len(takeOrders[MaintainMachine](b)), 0)
	b.wait(2 * time.Second)
	assert.DeepEqual(t, takeOrders[MaintainMachine](b), first)
}

// The order is answered alike if the machine had its maintenance before, under another owner.
func TestMaintenanceDoneBeforeEndsNothing(t *testing.T) {
	b := newTestBench(t, 3)
	b.submit("a", lastingStep(1, 1))
	start := b.answerStarts(AnswerOK)[0]
	b.listMachines()
	b.declareWave(1, "m-"+start.Worker)
	b.wait(2 * time.Second)
	order := takeOrders[MaintainMachine](b)[0]
	b.m.ApplyResult(b.now, MaintenanceResult{Order: order})
	b.wait(time.Second)
	assert.Equal(t, len(takeOrders[StartTask](b)), 0, "the task still runs")
	assert.Equal(t, b.m.workers[start.Worker].cordoned, false)
}

func TestMaintenanceTakesLastingTasksOneAfterTheOther(t *testing.T) {
	b := newTestBench(t, 5)
	b.submit("a", lastingStep(2, 1))
	starts := b.answerStarts(AnswerOK)
	assert.Equal(t, len(starts), 2)
	b.listMachines()
	b.wait(time.Second)
	b.declareWave(3, "m-"+starts[0].Worker, "m-"+starts[1].Worker)
	b.wait(2 * time.Second)
	taken := takeOrders[MaintainMachine](b)
	assert.Equal(t, len(taken), 1, "one task may be away")
	b.m.ApplyResult(b.now, MaintenanceResult{Order: taken[0]})
	b.wait(time.Second, taken[0].Machine)
	assert.Equal(t, len(b.answerStarts(AnswerOK)), 1, "it goes on elsewhere")
	b.wait(time.Second, taken[0].Machine)
	assert.Equal(t, len(takeOrders[MaintainMachine](b)), 1)
}

func TestWaveIsCompletedOnceAllItsMachinesAreDone(t *testing.T) {
	b := newTestBench(t, 4)
	b.listMachines()
	b.declareWave(2, "m-w1", "m-w2", "m-removed")
	b.wait(time.Second)
	assert.DeepEqual(t, takeOrders[ReportWave](b), []ReportWave{{Wave: 1}})
	taken := takeOrders[MaintainMachine](b)
	assert.Equal(t, len(taken), 2)
	for _, o := range taken {
		b.m.ApplyResult(b.now, MaintenanceResult{Order: o})
	}
	b.wait(time.Second, "m-w1", "m-w2")
	assert.Equal(t, len(takeOrders[ReportWave](b)), 0)
	b.wait(3 * time.Second)
	assert.DeepEqual(t, takeOrders[ReportWave](b), []ReportWave{{Wave: 1, Completed: true}})
}

// The owner before may have taken machines down and lost the answers.
func TestNewOwnerCountsTheMachinesThatTheOneBeforeTookDown(t *testing.T) {
	before := newTestBench(t, 6)
	before.listMachines()
	var names []string
	for i := range 6 {
		names = append(names, fmt.Sprintf("m-w%d", i+1))
	}
	before.declareWave(2, names...)
	before.wait(time.Second)
	ordered := takeOrders[MaintainMachine](before)
	assert.Equal(t, len(ordered), 2)
	b := &testBench{t: t, m: New(Options{}), now: before.now, entries: before.entries, lastEnd: map[string]int64{}}
	for _, r := range before.records {
		assert.NilError(t, b.m.Replay(r))
	}
	b.m.TakeOwnership(b.now, 0)
	b.m.Configure(b.now, testConfig())
	b.listWorkers()
	b.answerPolls()
	b.declareWave(2, names...)
	b.listMachines(ordered[0].Machine)
	b.wait(2*time.Second, ordered[0].Machine)
	for _, o := range takeOrders[MaintainMachine](b) {
		assert.Assert(t, o.Machine == ordered[0].Machine || o.Machine == ordered[1].Machine, "no third one")
	}
}

// An order in doubt is repeated only when the machine can be taken, as at first.
func TestOrderInDoubtIsNotRepeatedOverLastingTasks(t *testing.T) {
	b := newTestBench(t, 4)
	b.submit("a", lastingStep(6, 0))
	b.answerStarts(AnswerOK)
	for range 10 {
		b.advance(100 * time.Millisecond)
		b.answerPolls()
	}
	busy := b.m.jobs["a"].rounds[0].steps[0].tasks[0].runs[0].worker
	assert.Assert(t, len(busy.runs) > 1)
	assert.NilError(t, b.m.Replay(MaintenanceOrdered{Wave: 1, Machine: busy.entry.Machine}))
	b.declareWave(1, busy.entry.Machine)
	b.listMachines()
	b.wait(4100 * time.Millisecond)
	for range 20 {
		if len(takeOrders[MaintainMachine](b)) > 0 {
			assert.Assert(t, len(busy.runs) <= 1, "one may be away")
			return
		}
		stops := map[TaskID]StopTask{}
		for _, o := range takeOrders[StopTask](b) {
			stops[o.Task] = o
		}
		assert.Assert(t, len(stops) <= 1, "one may be away")
		for _, o := range stops {
			b.m.ApplyResult(b.now, StopResult{Order: o})
			b.endAttempt(StartTask{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt}, AttemptStopped)
		}
		b.answerStarts(AnswerOK)
		b.wait(200 * time.Millisecond)
	}
	t.Fatal("the order was never repeated")
}

// Between an order's decision and its record another task of the step may have gone.
func TestOrderIsWithdrawnWhenAnotherTaskWentAwayMeanwhile(t *testing.T) {
	b := newTestBench(t, 5)
	b.submit("a", lastingStep(2, 1))
	starts := b.answerStarts(AnswerOK)
	b.listMachines()
	b.wait(time.Second)
	b.declareWave(1, "m-"+starts[0].Worker)
	b.wait(time.Second)
	order := takeOrders[MaintainMachine](b)[0]
	assert.Assert(t, b.m.CanStillMaintain(order))
	b.endAttempt(starts[1], AttemptFailed)
	assert.Assert(t, !b.m.CanStillMaintain(order))
	b.m.ApplyResult(b.now, MaintenanceResult{Order: order, Answer: AnswerWithdrawn})
	assert.Assert(t, !b.m.workers[starts[0].Worker].cordoned)
}

// A worker's entry may lapse for a moment while it runs on.
func TestUnlistedWorkersMachineIsNotTaken(t *testing.T) {
	b := newTestBench(t, 4)
	b.submit("a", lastingStep(6, 0))
	b.answerStarts(AnswerOK)
	b.listMachines()
	b.wait(time.Second)
	busy := b.m.jobs["a"].rounds[0].steps[0].tasks[0].runs[0].worker
	assert.Assert(t, len(busy.runs) > 1)
	entry := b.entries[busy.id]
	delete(b.entries, busy.id)
	b.listWorkers()
	b.entries[busy.id] = entry
	b.declareWave(1, entry.Machine)
	b.listMachines()
	b.advance(200 * time.Millisecond)
	assert.Equal(t, len(takeOrders[MaintainMachine](b)), 0)
}
