package sched

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against jobs that were accepted and not known: an owner lost the log in the middle of a snapshot, and its
// successor took what was there of it for the whole state.
func TestSnapshotThatBrokeOffLosesNothing(t *testing.T) {
	b := newTestBench(t, 3)
	b.submit("open", oneCoreStep(2))
	b.submit("done", oneCoreStep(1))
	b.m.AddWave(b.now, Wave{Number: 7})
	starts := b.answerStarts(AnswerOK)
	b.m.CancelFromInbox(b.now, "early")
	b.decideAndStore()
	for _, o := range starts {
		if o.Task.Job == "done" {
			b.endAttempt(o, AttemptDone)
		}
	}
	snapshot := b.m.Snapshot()
	before := len(b.records)
	b.submit("later", oneCoreStep(1))
	later := b.records[before:]
	for stored := range len(snapshot) + 1 {
		next := New(Options{})
		for _, records := range [][]Record{b.records[:before], snapshot[:stored], later} {
			for _, r := range records {
				assert.NilError(t, next.Replay(r))
			}
		}
		assert.Equal(t, len(next.jobs), 3, "%d of %d records of the snapshot", stored, len(snapshot))
		assert.Equal(t, len(next.openJobs), 2)
		assert.Assert(t, next.earlyCancels["early"])
		assert.Equal(t, next.jobs["done"].finalState, StateCompleted)
		assert.Equal(t, next.jobs["open"].runCount, 2)
		assert.Equal(t, next.jobs["later"].rounds[0].steps[0].tasksLeft, 1)
		assert.DeepEqual(t, next.waveFirstSeen, b.m.waveFirstSeen)
	}
}

// Guards against a snapshot that lacks jobs taking the place of the state before it.
func TestSnapshotOfTheWrongSizeIsNotTaken(t *testing.T) {
	b := newTestBench(t, 1)
	b.submit("a", oneCoreStep(1))
	b.submit("b", oneCoreStep(1))
	next := New(Options{})
	for _, r := range b.records {
		assert.NilError(t, next.Replay(r))
	}
	assert.NilError(t, next.Replay(SnapshotBegun{}))
	assert.NilError(t, next.Replay(snapshotJob(b.m.jobs["a"])))
	assert.ErrorContains(t, next.Replay(SnapshotEnded{Jobs: 2}), "snapshot of 2 jobs has 1")
	assert.Equal(t, len(next.jobs), 2)
}

func TestTakeoverReplaysToTheSameJobs(t *testing.T) {
	b := newTestBench(t, 2)
	second := oneCoreStep(1)
	second.DependsOn = []int{0}
	b.submit("a", oneCoreStep(2), second)
	starts := b.answerStarts(AnswerOK)
	b.endAttempt(starts[0], AttemptDone)
	b.submit("b", oneCoreStep(1))
	b.answerStarts(AnswerOK)
	b.m.Cancel(b.now, "b")
	b.submit("c", oneCoreStep(1))
	b.endAttempt(b.answerStarts(AnswerOK)[0], AttemptDone)
	b.m.CancelFromInbox(b.now, "d")
	b.decideAndStore()
	for _, records := range [][]Record{b.records, b.m.Snapshot()} {
		next := New(Options{})
		for _, r := range records {
			raw, err := Encode(r)
			assert.NilError(t, err)
			decoded, err := Decode(raw)
			assert.NilError(t, err)
			assert.NilError(t, next.Replay(decoded))
		}
		next.TakeOwnership(b.now, 0)
		a, _ := next.State("a")
		assert.Equal(t, a, StateInProgress)
		cancelled, _ := next.State("b")
		assert.Equal(t, cancelled, StateCancelled)
		done, _ := next.State("c")
		assert.Equal(t, done, StateCompleted)
		next.AcceptFromInbox(b.now, JobSpec{ID: "d", Steps: []StepSpec{oneCoreStep(1)}})
		next.ConfirmStored(next.TakeBatch())
		early, _ := next.State("d")
		assert.Equal(t, early, StateCancelled, "it was cancelled before it came")
		s := next.jobs["a"].rounds[0].steps[0]
		assert.Equal(t, s.tasksLeft, 1)
		assert.Equal(t, s.runCount, 1)
		assert.Equal(t, next.ensureTeam("floor").used, b.m.ensureTeam("floor").used)
	}
}

// Pattern: thousands of jobs that ended and can still be asked for.
func TestEndedJobsTakeLittleOfASnapshot(t *testing.T) {
	b := newTestBench(t, 1)
	size := func() int {
		n := 0
		for _, r := range b.m.Snapshot() {
			raw, err := Encode(r)
			assert.NilError(t, err)
			n += len(raw)
		}
		return n
	}
	empty := size()
	verdict, _ := b.m.Submit(b.now, JobSpec{
		ID: "5c0e7a21d94b36f8", Queue: "plans", Pool: "pots", Team: "floor", Payload: string(make([]byte, 4000)),
		Steps: []StepSpec{oneCoreStep(4)}, MaxAttempts: 2, Slack: 1.6, TargetMs: 600,
	})
	assert.Equal(t, verdict, Accepted)
	b.decideAndStore()
	assert.Assert(t, size()-empty > 4000)
	for _, o := range b.answerStarts(AnswerOK) {
		b.endAttempt(o, AttemptDone)
	}
	assert.Equal(t, b.state("5c0e7a21d94b36f8"), "completed")
	assert.Assert(t, size()-empty < 150, "%d", size()-empty)
}

// Guards against two runs at once after a takeover: a worker that was told by the owner before to stop a task lists it
// neither as active nor as ended for a while (soak, seeds 120 and 128).
func TestNewOwnerAsksBeforeItOrders(t *testing.T) {
	attempt := EndedRun{Number: 1, Task: TaskID{Job: "a"}, Attempt: 1}
	stopped, done, failed := attempt, attempt, attempt
	stopped.Outcome, done.Outcome, failed.Outcome = AttemptStopped, AttemptDone, AttemptFailed
	scenarios := []struct {
		testName string
		first    PollResult
		starts   int
		second   PollResult // sent once a stop by the owner before must be over
		later    int
	}{
		{"still running", PollResult{Active: []ActiveRun{{Task: TaskID{Job: "a"}, Attempt: 1, SpeedPercent: 100}}}, 0, PollResult{Ended: []EndedRun{done}}, 0},
		{"ended meanwhile", PollResult{Ended: []EndedRun{done}}, 0, PollResult{}, 0},
		{"failed meanwhile", PollResult{Ended: []EndedRun{failed}}, 1, PollResult{}, 0},
		{"never arrived", PollResult{}, 0, PollResult{}, 1},
		{"was being stopped", PollResult{}, 0, PollResult{Ended: []EndedRun{stopped}}, 1},
		{"was being stopped, and ended well", PollResult{}, 0, PollResult{Ended: []EndedRun{done}}, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			before := newTestBench(t, 2)
			before.submit("a", oneCoreStep(1))
			b := &testBench{t: t, m: New(Options{}), now: testStart, entries: before.entries, lastEnd: map[string]int64{}}
			for _, r := range before.records {
				assert.NilError(t, b.m.Replay(r))
			}
			b.m.TakeOwnership(b.now, 0)
			b.m.Configure(b.now, testConfig())
			b.listWorkers()
			assert.Equal(t, len(takeOrders[StartTask](b)), 0)
			ran := before.records[1].(TaskStarted).Worker
			answer := func(with PollResult) {
				for _, o := range takeOrders[PollWorker](b) {
					rep := PollResult{Order: o, SentAt: b.now, GrantedAt: b.now, Incarnation: 1}
					if o.Worker == ran {
						rep.Active, rep.Ended = with.Active, with.Ended
					}
					b.m.ApplyResult(b.now, rep)
				}
				b.decideAndStore()
			}
			answer(s.first)
			assert.Equal(t, len(takeOrders[StartTask](b)), s.starts)
			b.advance(defaultMinPollInterval)
			answer(s.first)
			assert.Equal(t, len(takeOrders[StartTask](b)), 0)
			b.advance(defaultStopTimeout + stopListingDelay)
			answer(s.second)
			assert.Equal(t, len(takeOrders[StartTask](b)), s.later)
		})
	}
}
