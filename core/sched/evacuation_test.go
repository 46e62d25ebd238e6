package sched

import (
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
		b.addWorkerIn(name, "w"+string(rune('1'+i)), "pots")
	}
	b.listWorkers()
	b.answerPolls()
	return b
}

func (b *testBench) addWorkerIn(dataCentre, id, pool string) {
	b.addWorker(id, pool)
	e := b.entries[id]
	e.DataCentre = dataCentre
	b.entries[id] = e
}

// evacuate replaces the set of evacuated data centres.
func (b *testBench) evacuate(offset int64, dataCentres ...string) {
	b.sc.SetEvacuations(b.now, dataCentres, offset)
	b.decideAndStore()
}

// stopAndEnd answers all stops and ends the attempts, and returns how many there were.
func (b *testBench) stopAndEnd() int {
	stops := takeOrders[StopTask](b)
	for _, o := range stops {
		b.sc.ApplyResult(b.now, StopResult{Order: o})
		b.endAttempt(StartTask{Worker: o.Worker, Task: o.Task, Attempt: o.Attempt}, AttemptStopped)
	}
	return len(stops)
}

func (b *testBench) evacuationEvents() []string {
	var names []string
	for _, e := range b.sc.TakeEvacuationEvents() {
		names = append(names, e.Event[len("evacuation-"):]+" "+e.DataCentre)
	}
	return names
}

func TestNothingStartsInAnEvacuatedDataCentre(t *testing.T) {
	gang, copied := oneCoreStep(8), speculativeStep(1)
	gang.Gang = true
	scenarios := []struct {
		testName string
		step     StepSpec
		evacuate []string
		starts   int
	}{
		{"placement", oneCoreStep(12), []string{"b"}, 4},
		{"several at once", oneCoreStep(12), []string{"a", "b"}, 0},
		{"a gang that needs both", gang, []string{"b"}, 0},
		{"a data centre without workers", oneCoreStep(12), []string{"elsewhere"}, 12},
		{"withdrawn", oneCoreStep(12), nil, 12},
		{"may be copied", copied, []string{"b"}, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newEvacuationBench(t, "a", "b")
			b.evacuate(1, "b")
			b.evacuate(2, s.evacuate...)
			// This one is listed after the request.
			b.addWorkerIn("b", "w3", "pots")
			b.listWorkers()
			b.answerPolls()
			// A job from the inbox is accepted in any case, and waits.
			b.sc.AcceptFromInbox(b.now, JobSpec{ID: "a", Queue: "plans", Pool: "pots", Steps: []StepSpec{s.step}})
			b.decideAndStore()
			starts := b.answerStarts(AnswerOK)
			assert.Equal(t, len(starts), s.starts)
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

// Guards against suspects of a crash that start on an evacuated worker, or are given slots by one.
func TestSuspectsWaitForAWorkerOutside(t *testing.T) {
	b := newEvacuationBench(t, "a", "a", "b")
	b.submit("a", oneCoreStep(1))
	start := b.answerStarts(AnswerOK)[0]
	b.sc.jobs["a"].rounds[0].steps[0].tasks[0].setCrashes(crashHistory{suspected: 1})
	b.evacuate(1, "a", "b")
	b.endAttempt(start, AttemptLost)
	b.advance(time.Second)
	assert.Equal(t, len(takeOrders[StartTask](b)), 0)
	assert.Equal(t, b.sc.machinesForSuspects("pots"), 0)
	b.evacuate(2, "a")
	assert.Equal(t, takeOrders[StartTask](b)[0].Worker, "w3")
}

// Guards against starts that were decided before the request: one whose record is being stored is withdrawn, one without an answer is not
// repeated and is stopped, since it may still arrive.
func TestStartsOnTheirWayWhenTheRequestArrives(t *testing.T) {
	b := newEvacuationBench(t, "a")
	b.submit("a", oneCoreStep(2))
	starts := takeOrders[StartTask](b)
	assert.Equal(t, len(starts), 2)
	b.sc.ApplyResult(b.now, StartResult{Order: starts[0], Answer: AnswerUnknown, GrantedAt: b.now})
	b.evacuate(1, "a")
	assert.DeepEqual(t, takeOrders[StopTask](b), []StopTask{{Worker: "w1", Task: starts[0].Task, Attempt: 1}})
	for _, o := range append(takeOrders[StartTask](b), starts[1]) {
		assert.Assert(t, !b.sc.IsStartWanted(o))
	}
	b.sc.ApplyResult(b.now, StartResult{Order: starts[1], Answer: AnswerUnknown, GrantedAt: b.now})
	b.decideAndStore()
	assert.Equal(t, len(takeOrders[StartTask](b)), 0)
	assert.Equal(t, takeOrders[StopTask](b)[0].Task, starts[1].Task)
}

func TestTasksLeaveWithinMaxUnavailable(t *testing.T) {
	labelled := longRunningStep(2, 0)
	labelled.Label = "k"
	scenarios := []struct {
		testName string
		step     StepSpec
		labels   []string // of the workers elsewhere
		blocked  bool     // the workers elsewhere are full of batch work, which ends after a second
		leave    int
	}{
		{"room elsewhere", longRunningStep(2, 0), []string{"k", "r1"}, false, 2},
		{"a label that no worker elsewhere has", labelled, []string{"other", "r1"}, false, 0},
		{"room for one only", longRunningStep(2, 1), []string{"k", "r1"}, false, 1},
		{"batch work ends elsewhere while more of it waits", longRunningStep(2, 0), []string{"k", "r1"}, true, 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newEvacuationBench(t, "a", "a")
			b.submit("a", s.step)
			assert.Equal(t, len(b.answerStarts(AnswerOK)), 2)
			b.answerPolls()
			b.addWorkerIn("b", "w3", "pots")
			e := b.entries["w3"]
			e.Labels = s.labels
			b.entries["w3"] = e
			b.listWorkers()
			b.answerPolls()
			var batch []StartTask
			if s.blocked {
				b.submit("batch", oneCoreStep(40))
				batch = b.answerStarts(AnswerOK)
			}
			b.evacuate(1, "a")
			left, batchEnds := 0, b.now.Add(time.Second)
			for range 60 {
				unavailable := b.sc.jobs["a"].rounds[0].steps[0].countUnavailable()
				assert.Assert(t, unavailable <= 1, "%d are unavailable", unavailable)
				left += b.stopAndEnd()
				b.advance(50 * time.Millisecond)
				batch = append(batch, b.answerStarts(AnswerOK)...)
				b.answerPolls()
				if s.blocked && b.now.After(batchEnds) {
					batch = slices.DeleteFunc(batch, func(o StartTask) bool { return o.Task.Job == "a" })
					for _, o := range batch {
						b.endAttempt(o, AttemptDone)
					}
					batch, batchEnds = nil, b.now.Add(time.Second)
				}
			}
			assert.Equal(t, left, s.leave)
		})
	}
}

// Guards against progress that is lost, and against a task that leaves though nobody has room for it.
func TestCheckpointedTaskLeavesOnlyIfThereIsRoom(t *testing.T) {
	for _, room := range []bool{true, false} {
		b := newEvacuationBench(t, "a")
		checkpointing := oneCoreStep(1)
		checkpointing.Checkpoints, checkpointing.EstimateMs = true, 10_000
		b.submit("a", checkpointing)
		b.submit("short", oneCoreStep(1))
		b.answerStarts(AnswerOK)
		if room {
			b.addWorkerIn("b", "w2", "pots")
			b.listWorkers()
			b.answerPolls()
		}
		b.evacuate(1, "a")
		stops := takeOrders[StopTask](b)
		assert.Equal(t, len(stops) == 1 && stops[0].Task.Job == "a", room)
	}
}

func TestMachinesOfAnEvacuatedDataCentre(t *testing.T) {
	b := newEvacuationBench(t, "a", "a", "b")
	b.sc.options.AllowPoolMoves = true
	list := func() {
		entries := []MachineEntry{{ID: "m-spare", Pool: "attic", DataCentre: "a", Capacity: setup.Resources{CPU: 4000}}}
		for id, e := range b.entries {
			entries = append(entries, MachineEntry{ID: e.Machine, Pool: e.Pool, Worker: id, DataCentre: e.DataCentre, Capacity: e.Capacity})
		}
		b.sc.UpdateMachines(b.now, b.now, entries)
		b.decideAndStore()
	}
	run := func() {
		for range 30 {
			b.advance(100 * time.Millisecond)
			b.answerPolls()
			list()
		}
	}
	b.evacuate(1, "a")
	b.declareWave(1, "m-w1")
	list()
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
}

// Guards against jobs that are accepted and can't run, before and after the first measurement of demand. A pool that merely has no workers yet accepts everything.
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
			for _, planned := range []bool{false, true} {
				result, r := b.sc.Submit(b.now, JobSpec{ID: "j" + s.pool + map[bool]string{true: "2"}[planned], Queue: "plans", Pool: s.pool, Steps: []StepSpec{s.step}, Slack: 1.6, TargetMs: 600, FirstReceivedMs: b.now.UnixMilli()})
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
		for enabled, names := range map[bool][]string{true: {"a"}, false: nil} {
			next := &testBench{t: t, sc: New(Options{}), now: b.now, entries: b.entries, lastEnd: map[string]int64{}}
			if enabled {
				next.sc.options.EvacuationBound = 5 * time.Second
			}
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
			assert.Equal(t, len(takeOrders[StartTask](next)) == 4, enabled)
		}
	}
}

func TestEvacuationEvents(t *testing.T) {
	b := newEvacuationBench(t, "a", "b")
	b.submit("a", oneCoreStep(6))
	starts := b.answerStarts(AnswerOK)
	b.advance(time.Second)
	b.evacuate(1, "a", "nowhere")
	assert.DeepEqual(t, b.sc.EvacuationLoads()[0], EvacuationLoad{DataCentre: "a", Workers: 1, Tasks: len(b.sc.workers["w1"].runs)})
	assert.DeepEqual(t, b.evacuationEvents(), []string{"begins a", "begins nowhere"})
	for _, o := range starts {
		b.endAttempt(o, AttemptDone)
	}
	b.advance(time.Second)
	b.evacuate(2, "nowhere")
	assert.DeepEqual(t, b.evacuationEvents(), []string{"empty a", "ends a"})
}
