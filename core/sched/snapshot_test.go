package sched

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against losing accepted jobs: an owner lost the journal in the middle of writing a snapshot, and its successor took
// the incomplete snapshot for the whole state.
func TestIncompleteSnapshotIsIgnored(t *testing.T) {
	b := newTestBench(t, 3)
	b.submit("open", oneCoreStep(2))
	b.submit("done", oneCoreStep(1))
	b.sc.AddWave(b.now, Wave{Number: 7})
	starts := b.answerStarts(AnswerOK)
	b.sc.CancelFromInbox(b.now, "early")
	b.decideAndStore()
	for _, o := range starts {
		if o.Task.Job == "done" {
			b.endAttempt(o, AttemptDone)
		}
	}
	snapshot := b.sc.Snapshot()
	recordsBefore := len(b.records)
	b.submit("later", oneCoreStep(1))
	laterRecords := b.records[recordsBefore:]
	for stored := range len(snapshot) + 1 {
		next := New(Options{})
		for _, records := range [][]Record{b.records[:recordsBefore], snapshot[:stored], laterRecords} {
			for _, r := range records {
				assert.NilError(t, next.Replay(r))
			}
		}
		assert.Equal(t, len(next.jobs), 3, "%d of %d records of the snapshot", stored, len(snapshot))
		assert.Equal(t, len(next.openJobs), 2)
		assert.Assert(t, next.earlyCancels["early"])
		assert.Equal(t, next.jobs["done"].finalState, StateCompleted)
		assert.Equal(t, next.jobs["open"].runCount, 2)
		assert.Equal(t, next.jobs["later"].rounds[0].steps[0].remainingTasks, 1)
		assert.DeepEqual(t, next.waveFirstSeen, b.sc.waveFirstSeen)
	}
}

// Guards against replacing the state by a snapshot that lacks jobs.
func TestSnapshotWithMissingJobsIsRejected(t *testing.T) {
	b := newTestBench(t, 1)
	b.submit("a", oneCoreStep(1))
	b.submit("b", oneCoreStep(1))
	next := New(Options{})
	for _, r := range b.records {
		assert.NilError(t, next.Replay(r))
	}
	assert.NilError(t, next.Replay(SnapshotStarted{}))
	assert.NilError(t, next.Replay(snapshotJob(b.sc.jobs["a"])))
	assert.ErrorContains(t, next.Replay(SnapshotEnded{Jobs: 2}), "snapshot of 2 jobs has 1")
	assert.Equal(t, len(next.jobs), 2)
}

func TestReplayRestoresJobs(t *testing.T) {
	b := newTestBench(t, 2)
	second := oneCoreStep(1)
	second.DependsOn = []int{0}
	b.submit("a", oneCoreStep(2), second)
	starts := b.answerStarts(AnswerOK)
	b.endAttempt(starts[0], AttemptDone)
	b.submit("b", oneCoreStep(1))
	b.answerStarts(AnswerOK)
	b.sc.Cancel(b.now, "b")
	b.submit("c", oneCoreStep(1))
	b.endAttempt(b.answerStarts(AnswerOK)[0], AttemptDone)
	b.sc.CancelFromInbox(b.now, "d")
	b.decideAndStore()
	for _, records := range [][]Record{b.records, b.sc.Snapshot()} {
		next := New(Options{})
		for _, r := range records {
			raw, err := Encode(r)
			assert.NilError(t, err)
			decoded, err := Decode(raw)
			assert.NilError(t, err)
			assert.NilError(t, next.Replay(decoded))
		}
		next.TakeOwnership(b.now, 0)
		stateA, _ := next.State("a")
		assert.Equal(t, stateA, StateInProgress)
		stateB, _ := next.State("b")
		assert.Equal(t, stateB, StateCancelled)
		stateC, _ := next.State("c")
		assert.Equal(t, stateC, StateCompleted)
		next.AcceptFromInbox(b.now, JobSpec{ID: "d", Steps: []StepSpec{oneCoreStep(1)}})
		next.ConfirmStored(next.TakeBatch())
		stateD, _ := next.State("d")
		assert.Equal(t, stateD, StateCancelled, "it was cancelled before it arrived")
		s := next.jobs["a"].rounds[0].steps[0]
		assert.Equal(t, s.remainingTasks, 1)
		assert.Equal(t, s.runCount, 1)
		assert.Equal(t, next.ensureTeam("floor").used, b.sc.ensureTeam("floor").used)
	}
}

// Thousands of ended jobs can still be queried, so each may take only few bytes of a snapshot.
func TestSnapshotOfEndedJobIsSmall(t *testing.T) {
	b := newTestBench(t, 1)
	snapshotSize := func() int {
		n := 0
		for _, r := range b.sc.Snapshot() {
			raw, err := Encode(r)
			assert.NilError(t, err)
			n += len(raw)
		}
		return n
	}
	empty := snapshotSize()
	result, _ := b.sc.Submit(b.now, JobSpec{
		ID: "5c0e7a21d94b36f8", Queue: "plans", Pool: "pots", Team: "floor", Payload: string(make([]byte, 4000)),
		Steps: []StepSpec{oneCoreStep(4)}, MaxAttempts: 2, Slack: 1.6, TargetMs: 600,
	})
	assert.Equal(t, result, Accepted)
	b.decideAndStore()
	assert.Assert(t, snapshotSize()-empty > 4000)
	for _, o := range b.answerStarts(AnswerOK) {
		b.endAttempt(o, AttemptDone)
	}
	assert.Equal(t, b.state("5c0e7a21d94b36f8"), "completed")
	assert.Assert(t, snapshotSize()-empty < 150, "%d", snapshotSize()-empty)
}

// Guards against two concurrent attempts of a task after a change of owner: while a worker stops a task on the previous
// owner's order, it lists the task neither as active nor as ended (soak, seeds 120 and 128).
func TestNewOwnerPollsBeforeStartingTasks(t *testing.T) {
	attempt := EndedRun{Number: 1, Task: TaskID{Job: "a"}, Attempt: 1}
	stopped, done, failed := attempt, attempt, attempt
	stopped.Outcome, done.Outcome, failed.Outcome = AttemptStopped, AttemptDone, AttemptFailed
	scenarios := []struct {
		testName string
		first    PollResult
		starts   int
		second   PollResult // sent when a stop by the previous owner must be over
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
			predecessor := newTestBench(t, 2)
			predecessor.submit("a", oneCoreStep(1))
			b := &testBench{t: t, sc: New(Options{}), now: testStart, entries: predecessor.entries, lastEnd: map[string]int64{}}
			for _, r := range predecessor.records {
				assert.NilError(t, b.sc.Replay(r))
			}
			b.sc.TakeOwnership(b.now, 0)
			b.sc.Configure(b.now, testConfig())
			b.listWorkers()
			assert.Equal(t, len(takeOrders[StartTask](b)), 0)
			workerID := predecessor.records[1].(TaskStarted).Worker
			answerPolls := func(answered PollResult) {
				for _, o := range takeOrders[PollWorker](b) {
					res := PollResult{Order: o, SentAt: b.now, GrantedAt: b.now, Incarnation: 1}
					if o.Worker == workerID {
						res.Active, res.Ended = answered.Active, answered.Ended
					}
					b.sc.ApplyResult(b.now, res)
				}
				b.decideAndStore()
			}
			answerPolls(s.first)
			assert.Equal(t, len(takeOrders[StartTask](b)), s.starts)
			b.advance(defaultMinPollInterval)
			answerPolls(s.first)
			assert.Equal(t, len(takeOrders[StartTask](b)), 0)
			b.advance(defaultStopTimeout + stopListingDelay)
			answerPolls(s.second)
			assert.Equal(t, len(takeOrders[StartTask](b)), s.later)
		})
	}
}
