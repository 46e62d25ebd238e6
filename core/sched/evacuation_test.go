package sched

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/setup"
)

// newEvacuationBench returns a bench that acts on evacuations, with a worker in the pool "pots" for each of the data centres: w1, w2 and so on.
func newEvacuationBench(t *testing.T, dataCentres ...string) *testBench {
	b := newTestBench(t, 0)
	b.sc.options.EvacuationBound = 5 * time.Second
	for i, name := range dataCentres {
		b.addWorkerIn(name, fmt.Sprintf("w%d", i+1), 4000, "k")
	}
	return b
}

func (b *testBench) addWorkerIn(dataCentre, id string, cpu int, label string) {
	b.addWorker(id, "pots")
	e := b.entries[id]
	e.DataCentre, e.Capacity.CPU, e.Labels = dataCentre, cpu, []string{label, "r1"}
	b.entries[id] = e
	b.listWorkers()
	b.answerPolls()
}

// evacuate replaces the set of evacuated data centres.
func (b *testBench) evacuate(offset int64, dataCentres ...string) {
	b.sc.SetEvacuations(b.now, dataCentres, offset)
	b.decideAndStore()
}

func TestNothingStartsInAnEvacuatedDataCentre(t *testing.T) {
	gang := oneCoreStep(8)
	gang.Gang = true
	scenarios := []struct {
		testName string
		step     StepSpec
		suspects bool
		evacuate []string
		starts   int
	}{
		{"placement", oneCoreStep(12), false, []string{"b"}, 4},
		{"several at once", oneCoreStep(12), false, []string{"a", "b"}, 0},
		{"a gang that needs both", gang, false, []string{"b"}, 0},
		{"a suspect", oneCoreStep(1), true, []string{"b"}, 1},
		{"a suspect without a worker", oneCoreStep(1), true, []string{"a", "b"}, 0},
		{"a data centre without workers", oneCoreStep(12), false, []string{"elsewhere"}, 12},
		{"withdrawn", oneCoreStep(12), false, nil, 12},
		{"may be copied", speculativeStep(1), false, []string{"b"}, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newEvacuationBench(t, "a", "b")
			b.evacuate(1, "b")
			b.evacuate(2, s.evacuate...)
			b.addWorkerIn("b", "w3", 4000, "k") // listed after the request
			// A job from the inbox is accepted in any case, and waits.
			b.sc.AcceptFromInbox(b.now, JobSpec{ID: "a", Queue: "plans", Pool: "pots", Steps: []StepSpec{s.step}})
			if s.suspects {
				b.sc.jobs["a"].rounds[0].steps[0].task(0).setCrashes(crashHistory{suspected: 1})
			}
			b.decideAndStore()
			starts := b.answerStarts(AnswerOK)
			assert.Equal(t, len(starts), s.starts)
			assert.Equal(t, b.sc.machinesForSuspects("pots"), 0)
			for range 40 {
				b.advance(50 * time.Millisecond)
				if s.step.Speculative {
					b.answerPolls(starts[0].Worker)
				}
			}
			for _, o := range append(starts, b.answerStarts(AnswerOK)...) {
				assert.Assert(t, !slices.Contains(s.evacuate, b.entries[o.Worker].DataCentre), "started on %s", o.Worker)
			}
		})
	}
}

// Guards against starts that were decided before the request: one whose record is being stored is withdrawn, one without an answer is not
// repeated and is stopped, since it may still arrive.
func TestStartsOnTheirWayWhenTheRequestArrives(t *testing.T) {
	b := newEvacuationBench(t, "a")
	b.submit("a", oneCoreStep(2))
	starts := takeOrders[StartTask](b)
	b.sc.ApplyResult(b.now, StartResult{Order: starts[0], Answer: AnswerUnknown, GrantedAt: b.now})
	b.evacuate(1, "a")
	assert.DeepEqual(t, takeOrders[StopTask](b), []StopTask{{Worker: "w1", Task: starts[0].Task, Attempt: 1, Generation: 1}})
	for _, o := range append(takeOrders[StartTask](b), starts[1]) {
		assert.Assert(t, !b.sc.IsStartWanted(o))
	}
	b.sc.ApplyResult(b.now, StartResult{Order: starts[1], Answer: AnswerUnknown, GrantedAt: b.now})
	b.decideAndStore()
	assert.Equal(t, len(takeOrders[StartTask](b)), 0)
	assert.Equal(t, takeOrders[StopTask](b)[0].Task, starts[1].Task)
}

// Guards against tasks that are stopped and can't go on elsewhere, room that is promised to two tasks, and progress that is lost.
func TestTasksLeaveWhereThereIsRoomWithinMaxUnavailable(t *testing.T) {
	labelled, unlimited, checkpointing, batchStep := longRunningStep(2, 0), longRunningStep(2, 0), oneCoreStep(2), oneCoreStep(2)
	labelled.Label, unlimited.MaxUnavailable = "k", 0
	checkpointing.Checkpoints, checkpointing.EstimateMs, batchStep.EstimateMs = true, 60_000, 60_000
	scenarios := []struct {
		testName string
		step     StepSpec
		cpu      int // of the worker elsewhere
		blocked  bool
		leave    int
	}{
		{"room elsewhere", longRunningStep(2, 0), 4000, false, 2},
		{"a label that no worker elsewhere has", labelled, 4000, false, 0},
		{"one on a worker", longRunningStep(2, 1), 4000, false, 1},
		{"room for one, no limit", unlimited, 1000, false, 1},
		{"batch work ends elsewhere while more of it waits", longRunningStep(2, 0), 4000, true, 2},
		{"saves its progress", checkpointing, 4000, false, 2},
		{"saves its progress, room for one", checkpointing, 1000, false, 1},
		{"saves its progress, others wait for the room", checkpointing, 4000, true, 0},
		{"runs to its end", batchStep, 4000, false, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newEvacuationBench(t, "a", "a")
			b.submit("a", s.step)
			assert.Equal(t, len(b.answerStarts(AnswerOK)), 2)
			b.answerPolls()
			b.addWorkerIn("b", "w3", s.cpu, "other")
			var batch []StartTask
			if s.blocked {
				b.submit("batch", oneCoreStep(60))
				batch = b.answerStarts(AnswerOK)
			}
			b.evacuate(1, "a")
			left := 0
			for n := range 20 {
				unavailable := b.sc.jobs["a"].rounds[0].steps[0].countUnavailable()
				assert.Assert(t, unavailable <= 1 || !s.step.LongRunning, "%d are unavailable", unavailable)
				// The ends are applied by a Decide in which the periodic checks are due.
				b.now = b.now.Add(periodicCheckInterval)
				for _, o := range takeOrders[StopTask](b) {
					left++
					b.sc.ApplyResult(b.now, StopResult{Order: o})
					b.endAttempt(StartTask{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt}, AttemptStopped)
				}
				for _, o := range b.answerStarts(AnswerOK) {
					if o.Task.Job == "batch" {
						batch = append(batch, o)
					}
				}
				b.answerPolls()
				// Batch work ends between two checks, when waiting tasks take the room at once.
				for ; n%4 == 3 && len(batch) > 0; batch = batch[1:] {
					b.endAttempt(batch[0], AttemptDone)
				}
			}
			assert.Equal(t, left, s.leave)
		})
	}
}

func TestMachinesOfAnEvacuatedDataCentre(t *testing.T) {
	b := newEvacuationBench(t, "a", "a", "b")
	b.sc.options.AllowPoolMoves = true
	run := func() {
		for range 30 {
			b.advance(100 * time.Millisecond)
			b.answerPolls()
			entries := []MachineEntry{{ID: "m-spare", Pool: "attic", DataCentre: "a", Capacity: setup.Resources{CPU: 4000}}}
			for id, e := range b.entries {
				entries = append(entries, MachineEntry{ID: e.Machine, Pool: e.Pool, Worker: id, DataCentre: e.DataCentre, Capacity: e.Capacity})
			}
			b.sc.UpdateMachines(b.now, b.now, entries)
		}
	}
	b.evacuate(1, "a")
	b.declareWave(1, "m-w1")
	b.submit("long", longRunningStep(6, 0))
	run()
	assert.Equal(t, b.sc.demand["pots"].machines, 1)
	assert.Assert(t, b.sc.demand["pots"].needed > 1)
	assert.Equal(t, len(takeOrders[MoveMachine](b)), 0, "neither the spare machine nor idle ones move")
	assert.Equal(t, takeOrders[MaintainMachine](b)[0].Machine, "m-w1", "the wave goes on though the pool is short")
	b.evacuate(2)
	run()
	move := takeOrders[MoveMachine](b)[0]
	assert.Equal(t, move.Machine, "m-spare")
	assert.Assert(t, b.sc.CanStillMove(move))
	b.evacuate(3, "a")
	assert.Assert(t, !b.sc.CanStillMove(move), "a move that waits is not sent")
	b.evacuate(4, "a", "b")
	run()
	assert.Equal(t, b.sc.demand["pots"].machines, 0)
}

// Guards against jobs that are accepted and can't run, before and after demand is first measured. A pool that merely has no workers yet
// accepts everything.
func TestPoolInEvacuatedDataCentresRefusesBatchJobs(t *testing.T) {
	scenarios := []struct {
		testName string
		evacuate []string
		pool     string
		step     StepSpec
		expected SubmitResult
	}{
		{"all data centres", []string{"a", "b"}, "pots", oneCoreStep(1), Overloaded},
		{"one of two", []string{"a"}, "pots", oneCoreStep(1), Accepted},
		{"a pool without workers", []string{"a", "b"}, "desks", oneCoreStep(1), Accepted},
		{"a long-running job", []string{"a", "b"}, "pots", longRunningStep(1, 0), Accepted},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newEvacuationBench(t, "a", "b")
			b.evacuate(1, s.evacuate...)
			for _, id := range []string{"before", "after"} {
				result, r := b.sc.Submit(b.now, JobSpec{ID: id, Queue: "plans", Pool: s.pool, Steps: []StepSpec{s.step}, Slack: 1.6, TargetMs: 600, FirstReceivedMs: b.now.UnixMilli()})
				assert.Equal(t, result, s.expected)
				assert.Equal(t, r.Cause() == "evacuated" && r.RetryAfter() >= evacuatedRetryAfter, s.expected == Overloaded)
				b.advance(time.Second)
			}
		})
	}
}

// Guards against a successor that starts tasks in the data centre before it has read the operators' topic, or has read less of it.
func TestSuccessorKnowsEvacuations(t *testing.T) {
	b := newEvacuationBench(t, "a", "b")
	b.evacuate(5, "a", "b")
	b.evacuate(9, "a")
	for _, records := range [][]Record{b.records, b.sc.Snapshot()} {
		for bound, names := range map[time.Duration][]string{5 * time.Second: {"a"}, 0: nil} {
			next := &testBench{t: t, sc: New(Options{EvacuationBound: bound}), now: b.now, entries: b.entries, lastEnd: map[string]int64{}}
			for _, r := range records {
				raw, err := Encode(r)
				assert.NilError(t, err)
				decoded, err := Decode(raw)
				assert.NilError(t, err)
				assert.NilError(t, next.sc.Replay(decoded))
			}
			next.sc.TakeOwnership(next.now, 0)
			next.sc.Configure(next.now, testConfig())
			next.sc.SetEvacuations(next.now, []string{"b"}, 7)
			assert.DeepEqual(t, next.sc.evacuations.Names(), names)
			next.listWorkers()
			next.answerPolls()
			next.submit("a", oneCoreStep(12))
			assert.Equal(t, len(takeOrders[StartTask](next)) == 4, bound > 0)
		}
	}
}

func TestEvacuationEvents(t *testing.T) {
	b := newEvacuationBench(t, "a", "b")
	b.submit("a", oneCoreStep(6))
	starts := b.answerStarts(AnswerOK)
	b.advance(time.Second)
	b.evacuate(1, "a", "nowhere")
	for _, o := range starts {
		b.endAttempt(o, AttemptDone)
	}
	b.advance(time.Second)
	b.evacuate(2, "nowhere")
	var events []string
	for _, e := range b.sc.TakeEvacuationEvents() {
		events = append(events, fmt.Sprint(e.Event, " ", e.DataCentre, " ", e.Workers, " ", e.Tasks > 0))
	}
	assert.DeepEqual(t, events, []string{
		"evacuation-begins a 1 true", "evacuation-begins nowhere 0 false", "evacuation-empty a 1 false", "evacuation-ends a 1 false",
	})
	assert.DeepEqual(t, b.sc.EvacuationLoads(), []EvacuationLoad{{DataCentre: "nowhere"}})
}

// Guards against waits for room on a rack whose data centre takes no tasks.
func TestTasksDontWaitForAnEvacuatedRack(t *testing.T) {
	b := newRackBench(t, 2, 2, 1)
	b.sc.options.EvacuationBound = 5 * time.Second
	e := b.entries["w1-1"]
	e.DataCentre = "b"
	b.entries["w1-1"] = e
	b.listWorkers()
	b.submit("first", dataStep(4, "r1"))
	b.answerStarts(AnswerOK)
	b.advance(900 * time.Millisecond)
	b.evacuate(1, "b")
	b.submit("a", dataStep(1, "r1"))
	assert.Equal(t, len(b.answerStarts(AnswerOK)), 1)
}

// Guards against memory that grows with the count of a step during an evacuation: room is set aside for waiting long-running tasks, which those
// without a size don't need.
func TestNoRoomIsSetAsideForTasksWithoutASize(t *testing.T) {
	const tasks = 100_000
	b := newEvacuationBench(t, "a", "b")
	b.evacuate(1, "b")
	b.sc.AcceptFromInbox(b.now, JobSpec{ID: "a", Queue: "plans", Pool: "pots", Steps: []StepSpec{{Count: tasks, LongRunning: true}}})
	b.now = b.now.Add(periodicCheckInterval)
	b.decideAndStore()
	started := len(b.answerStarts(AnswerOK))
	assert.Assert(t, started > 0)
	b.advance(periodicCheckInterval)
	needed := b.sc.jobs["a"].rounds[0].steps[0].window.end()
	assert.Assert(t, needed < tasks/10, "%d tasks were needed", needed)
}
