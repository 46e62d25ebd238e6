package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// listMachinesExcept lists all workers' machines: the named ones as in maintenance, the others as up.
func (b *testBench) listMachinesExcept(inMaintenance ...string) {
	var entries []MachineEntry
	for id, e := range b.entries {
		m := MachineEntry{ID: e.Machine, Pool: e.Pool, Worker: id, Capacity: e.Capacity}
		for _, machineID := range inMaintenance {
			if machineID == e.Machine {
				m.State, m.Worker = MachineInMaintenance, ""
			}
		}
		entries = append(entries, m)
	}
	b.sc.UpdateMachines(b.now, b.now, entries)
	b.decideAndStore()
}

// runFor advances the clock while all workers answer their polls and the machines are listed.
func (b *testBench) runFor(d time.Duration, inMaintenance ...string) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.advance(100 * time.Millisecond)
		b.answerPolls()
		b.listMachinesExcept(inMaintenance...)
	}
}

func (b *testBench) declareWave(maxDown int, machines ...string) {
	b.sc.AddWave(b.now, Wave{Number: 1, Machines: machines, Duration: 30 * time.Second, MaxDown: maxDown})
}

func longRunningStep(count, maxPerWorker int) StepSpec {
	s := oneCoreStep(count)
	s.LongRunning, s.MaxUnavailable, s.MaxPerWorker, s.EstimateMs = true, 1, maxPerWorker, 0
	return s
}

func TestWaveRespectsMaxDown(t *testing.T) {
	b := newTestBench(t, 6)
	b.listMachinesExcept()
	var names []string
	for i := range 6 {
		names = append(names, fmt.Sprintf("m-w%d", i+1))
	}
	b.declareWave(2, names...)
	b.runFor(time.Second)
	taken := takeOrders[MaintainMachine](b)
	assert.Equal(t, len(taken), 2)
	for _, o := range taken {
		b.sc.ApplyResult(b.now, MaintenanceResult{Order: o})
	}
	down := []string{taken[0].Machine, taken[1].Machine}
	// Longer than MaintenanceDuration: a machine counts as down until the list shows it as up.
	b.runFor(3*time.Second, down...)
	assert.Equal(t, len(takeOrders[MaintainMachine](b)), 0)
	b.runFor(time.Second, down[0])
	assert.Equal(t, len(takeOrders[MaintainMachine](b)), 1)
}

func TestUnansweredOrderCountsAsDownAndIsRepeated(t *testing.T) {
	b := newTestBench(t, 3)
	b.listMachinesExcept()
	b.declareWave(1, "m-w1", "m-w2", "m-w3")
	b.runFor(time.Second)
	first := takeOrders[MaintainMachine](b)
	assert.Equal(t, len(first), 1)
	b.sc.ApplyResult(b.now, MaintenanceResult{Order: first[0], Answer: AnswerUnknown})
	b.runFor(3 * time.Second)
	assert.Equal(t, len(takeOrders[MaintainMachine](b)), 0)
	b.runFor(2 * time.Second)
	assert.DeepEqual(t, takeOrders[MaintainMachine](b), first)
}

// A maintenance order also gets OK if the machine was maintained for the wave under an earlier owner. Its runs go on then.
func TestEarlierMaintenanceDoesNotEndRuns(t *testing.T) {
	b := newTestBench(t, 3)
	b.submit("a", longRunningStep(1, 1))
	start := b.answerStarts(AnswerOK)[0]
	b.listMachinesExcept()
	b.declareWave(1, "m-"+start.Worker)
	b.runFor(2 * time.Second)
	order := takeOrders[MaintainMachine](b)[0]
	b.sc.ApplyResult(b.now, MaintenanceResult{Order: order})
	b.runFor(time.Second)
	assert.Equal(t, len(takeOrders[StartTask](b)), 0, "the task still runs")
	assert.Equal(t, b.sc.workers[start.Worker].cordoned, false)
}

func TestMaintenanceRespectsMaxUnavailable(t *testing.T) {
	b := newTestBench(t, 5)
	b.submit("a", longRunningStep(2, 1))
	starts := b.answerStarts(AnswerOK)
	assert.Equal(t, len(starts), 2)
	b.listMachinesExcept()
	b.runFor(time.Second)
	b.declareWave(3, "m-"+starts[0].Worker, "m-"+starts[1].Worker)
	b.runFor(2 * time.Second)
	taken := takeOrders[MaintainMachine](b)
	assert.Equal(t, len(taken), 1, "MaxUnavailable is 1")
	b.sc.ApplyResult(b.now, MaintenanceResult{Order: taken[0]})
	b.runFor(time.Second, taken[0].Machine)
	assert.Equal(t, len(b.answerStarts(AnswerOK)), 1, "the evicted task restarts elsewhere")
	b.runFor(time.Second, taken[0].Machine)
	assert.Equal(t, len(takeOrders[MaintainMachine](b)), 1)
}

func TestWaveIsCompletedOnceAllItsMachinesAreDone(t *testing.T) {
	b := newTestBench(t, 4)
	b.listMachinesExcept()
	b.declareWave(2, "m-w1", "m-w2", "m-removed")
	b.runFor(time.Second)
	assert.DeepEqual(t, takeOrders[ReportWave](b), []ReportWave{{Wave: 1}})
	taken := takeOrders[MaintainMachine](b)
	assert.Equal(t, len(taken), 2)
	for _, o := range taken {
		b.sc.ApplyResult(b.now, MaintenanceResult{Order: o})
	}
	b.runFor(time.Second, "m-w1", "m-w2")
	assert.Equal(t, len(takeOrders[ReportWave](b)), 0)
	b.runFor(3 * time.Second)
	assert.DeepEqual(t, takeOrders[ReportWave](b), []ReportWave{{Wave: 1, Completed: true}})
}

// The previous owner may have ordered machines down without receiving the answers.
func TestNewOwnerCountsMachinesTakenDownByPredecessor(t *testing.T) {
	predecessor := newTestBench(t, 6)
	predecessor.listMachinesExcept()
	var names []string
	for i := range 6 {
		names = append(names, fmt.Sprintf("m-w%d", i+1))
	}
	predecessor.declareWave(2, names...)
	predecessor.runFor(time.Second)
	ordered := takeOrders[MaintainMachine](predecessor)
	assert.Equal(t, len(ordered), 2)
	b := &testBench{t: t, sc: New(Options{}), now: predecessor.now, entries: predecessor.entries, lastEnd: map[string]int64{}}
	for _, r := range predecessor.records {
		assert.NilError(t, b.sc.Replay(r))
	}
	b.sc.TakeOwnership(b.now, 0)
	b.sc.Configure(b.now, testConfig())
	b.listWorkers()
	b.answerPolls()
	b.declareWave(2, names...)
	b.listMachinesExcept(ordered[0].Machine)
	b.runFor(2*time.Second, ordered[0].Machine)
	for _, o := range takeOrders[MaintainMachine](b) {
		assert.Assert(t, o.Machine == ordered[0].Machine || o.Machine == ordered[1].Machine, "no third machine may be down")
	}
}

// Guards against ending more tasks of a step than may be away: the machine of one of them had been ordered down by the previous owner,
// whose order may take effect at any time (issue 32).
func TestNewOwnerCountsTasksOnMachinesOrderedDownAsUnavailable(t *testing.T) {
	predecessor := newTestBench(t, 5)
	predecessor.submit("a", longRunningStep(2, 1))
	starts := predecessor.answerStarts(AnswerOK)
	assert.Equal(t, len(starts), 2)
	ordered, other := "m-"+starts[0].Worker, "m-"+starts[1].Worker
	records := append(predecessor.records, MaintenanceOrdered{Wave: 1, Machine: ordered})

	b := &testBench{t: t, sc: New(Options{}), now: predecessor.now, entries: predecessor.entries, lastEnd: map[string]int64{}}
	for _, r := range records {
		assert.NilError(t, b.sc.Replay(r))
	}
	b.sc.TakeOwnership(b.now, 0)
	b.sc.Configure(b.now, testConfig())
	b.listWorkers()
	answer := func() {
		for _, o := range takeOrders[PollWorker](b) {
			res := PollResult{Order: o, SentAt: b.now, GrantedAt: b.now, Incarnation: 1}
			for _, start := range starts {
				if start.Worker == o.Worker {
					res.Active = []ActiveRun{{Task: start.Task, Attempt: start.Attempt, SpeedPercent: fullSpeed, Load: -1}}
				}
			}
			b.sc.ApplyResult(b.now, res)
		}
		b.listMachinesExcept()
	}
	b.declareWave(2, ordered, other)
	for passed := time.Duration(0); passed < machineOrderTimeout; passed += 100 * time.Millisecond {
		answer()
		assert.Equal(t, len(takeOrders[MaintainMachine](b)), 0, "after %v", passed)
		assert.Equal(t, len(takeOrders[StopTask](b)), 0, "after %v", passed)
		b.advance(100 * time.Millisecond)
	}
	for range 10 {
		answer()
		b.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(takeOrders[MaintainMachine](b)), 1, "the order is repeated, or the other machine goes first")
}

// Guards against more machines down than a wave allows: an order without an answer took effect late, and when it had timed out, the machine
// counted as up until the next list, though the last list had shown it in maintenance.
func TestMachineThatIsListedInMaintenanceCountsAsDown(t *testing.T) {
	b := newTestBench(t, 4)
	b.listMachinesExcept()
	b.declareWave(1, "m-w1", "m-w2")
	b.runFor(time.Second)
	taken := takeOrders[MaintainMachine](b)
	assert.Equal(t, len(taken), 1)
	orderedAt := b.sc.machines[taken[0].Machine].orderedAt
	b.sc.ApplyResult(b.now, MaintenanceResult{Order: taken[0], Answer: AnswerUnknown})
	for b.now.Before(orderedAt.Add(machineOrderTimeout - time.Second)) {
		b.runFor(100 * time.Millisecond)
	}
	for b.now.Before(orderedAt.Add(machineOrderTimeout + 800*time.Millisecond)) {
		b.advance(100 * time.Millisecond)
		b.answerPolls(taken[0].Machine[len("m-"):])
		if b.now.Before(orderedAt.Add(machineOrderTimeout - 100*time.Millisecond)) {
			b.listMachinesExcept(taken[0].Machine)
		}
		for _, o := range takeOrders[MaintainMachine](b) {
			assert.Equal(t, o.Machine, taken[0].Machine, "no second machine may be down")
		}
	}
}

// An unanswered order is subject to the same conditions when it is repeated as when it was first sent.
func TestUnansweredOrderIsRepeatedOnlyWithinMaxUnavailable(t *testing.T) {
	b := newTestBench(t, 4)
	b.submit("a", longRunningStep(6, 0))
	b.answerStarts(AnswerOK)
	for range 10 {
		b.advance(100 * time.Millisecond)
		b.answerPolls()
	}
	runningWorker := b.sc.jobs["a"].rounds[0].steps[0].task(0).runs[0].worker
	assert.Assert(t, len(runningWorker.runs) > 1)
	assert.NilError(t, b.sc.Replay(MaintenanceOrdered{Wave: 1, Machine: runningWorker.entry.Machine}))
	b.declareWave(1, runningWorker.entry.Machine)
	b.listMachinesExcept()
	b.runFor(4100 * time.Millisecond)
	for range 20 {
		if len(takeOrders[MaintainMachine](b)) > 0 {
			assert.Assert(t, len(runningWorker.runs) <= 1, "MaxUnavailable is 1")
			return
		}
		stops := map[TaskID]StopTask{}
		for _, o := range takeOrders[StopTask](b) {
			stops[o.Task] = o
		}
		assert.Assert(t, len(stops) <= 1, "MaxUnavailable is 1")
		for _, o := range stops {
			b.sc.ApplyResult(b.now, StopResult{Order: o})
			b.endAttempt(StartTask{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt}, AttemptStopped)
		}
		b.answerStarts(AnswerOK)
		b.runFor(200 * time.Millisecond)
	}
	t.Fatal("the order was never repeated")
}

// Another task of the step may fail between the decision to send an order and the storage of its record.
func TestOrderIsWithdrawnWhenAnotherTaskBecameUnavailable(t *testing.T) {
	b := newTestBench(t, 5)
	b.submit("a", longRunningStep(2, 1))
	starts := b.answerStarts(AnswerOK)
	b.listMachinesExcept()
	b.runFor(time.Second)
	b.declareWave(1, "m-"+starts[0].Worker)
	b.runFor(time.Second)
	order := takeOrders[MaintainMachine](b)[0]
	assert.Assert(t, b.sc.CanStillMaintain(order))
	b.endAttempt(starts[1], AttemptFailed)
	assert.Assert(t, !b.sc.CanStillMaintain(order))
	b.sc.ApplyResult(b.now, MaintenanceResult{Order: order, Answer: AnswerWithdrawn})
	assert.Assert(t, !b.sc.workers[starts[0].Worker].cordoned)
}

// A worker's list entry may expire for a moment while the worker keeps running.
func TestMachineOfUnlistedWorkerIsNotTakenDown(t *testing.T) {
	b := newTestBench(t, 4)
	b.submit("a", longRunningStep(6, 0))
	b.answerStarts(AnswerOK)
	b.listMachinesExcept()
	b.runFor(time.Second)
	runningWorker := b.sc.jobs["a"].rounds[0].steps[0].task(0).runs[0].worker
	assert.Assert(t, len(runningWorker.runs) > 1)
	entry := b.entries[runningWorker.id]
	delete(b.entries, runningWorker.id)
	b.listWorkers()
	b.entries[runningWorker.id] = entry
	b.declareWave(1, entry.Machine)
	b.listMachinesExcept()
	b.advance(200 * time.Millisecond)
	assert.Equal(t, len(takeOrders[MaintainMachine](b)), 0)
}
