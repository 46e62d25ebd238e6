package sched

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
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
		_, isCancelled := next.earlyCancels["early"]
		assert.Assert(t, isCancelled)
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

// Guards against a scheduler that stops for good: the snapshot of one job with thousands of attempted tasks was a single record,
// larger than the log takes, so that its append failed for ever (review/1).
func TestSnapshotOfAJobWithManyTasksIsSplit(t *testing.T) {
	const tasks = 10000
	journal := []Record{JobAccepted{Job: JobSpec{
		ID: "5c0e7a21d94b36f8", Queue: "plans", Pool: "pots", Team: "floor", Payload: strings.Repeat("p", 4000),
		Steps: []StepSpec{{Count: tasks, CPU: 400, EstimateMs: 800, Checkpoints: true}, {Count: 1, CPU: 400, DependsOn: []int{0}}},
	}}}
	for n := range tasks {
		id := TaskID{Job: "5c0e7a21d94b36f8", Index: n}
		journal = append(journal, TaskStarted{Task: id, Attempt: 1, Worker: fmt.Sprintf("i-%010d", n%9), Incarnation: testStart.UnixMilli()})
		switch n % 3 {
		case 0:
			journal = append(journal, TaskEnded{Task: id, Attempt: 1, Outcome: AttemptDone})
		case 1:
			journal = append(journal, TaskEnded{Task: id, Attempt: 1, Outcome: AttemptStopped, Checkpoint: fmt.Sprintf("%016d", n)})
		}
	}
	first := New(Options{})
	for _, r := range journal {
		assert.NilError(t, first.Replay(r))
	}
	snapshot := first.Snapshot()
	second := New(Options{})
	for _, r := range journal[:1] {
		assert.NilError(t, second.Replay(r))
	}
	for _, r := range snapshot {
		raw, err := Encode(r)
		assert.NilError(t, err)
		assert.Assert(t, len(raw) <= defaultMaxRecordBytes, "%T of %d bytes", r, len(raw))
		decoded, err := Decode(raw)
		assert.NilError(t, err)
		assert.Equal(t, second.jobs["5c0e7a21d94b36f8"].runCount, 0, "the snapshot counts only whole")
		assert.NilError(t, second.Replay(decoded))
	}
	a, b := first.jobs["5c0e7a21d94b36f8"], second.jobs["5c0e7a21d94b36f8"]
	assert.Equal(t, b.runCount, a.runCount)
	assert.Equal(t, b.started, true)
	for n := range tasks {
		saved, original := b.rounds[0].steps[0].task(n), a.rounds[0].steps[0].task(n)
		assert.Equal(t, saved == nil, n%3 == 0, "task %d is over", n)
		assert.Equal(t, original == nil, n%3 == 0, "task %d is over", n)
		if original == nil {
			continue
		}
		assert.Equal(t, saved.done, original.done)
		assert.Equal(t, saved.checkpoint, original.checkpoint)
		assert.Equal(t, len(saved.runs), len(original.runs))
	}
	assert.Equal(t, b.rounds[0].steps[0].waitingTasks, a.rounds[0].steps[0].waitingTasks)
	assert.Equal(t, b.rounds[0].steps[0].remainingTasks, a.rounds[0].steps[0].remainingTasks)
}

// Guards against records of a snapshot that are larger than the bounds that split goes by.
func TestSizeOfSnapshotRecordsIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := rapid.Int64Range(0, 1<<62)
		text := rapid.StringN(0, 30, 40)
		spec := JobSpec{
			ID: text.Draw(t, "id"), Queue: text.Draw(t, "queue"), Pool: text.Draw(t, "pool"), Team: text.Draw(t, "team"),
			Payload: text.Draw(t, "payload"), StartMs: number.Draw(t, "start"), IntervalMs: number.Draw(t, "interval"),
			Repetitions: int(number.Draw(t, "repetitions")), Priority: int(number.Draw(t, "priority")), MaxAttempts: int(number.Draw(t, "attempts")),
			Slack: rapid.Float64().Draw(t, "slack"), TargetMs: number.Draw(t, "target"), AcceptedMs: number.Draw(t, "accepted"),
			FirstReceivedMs: number.Draw(t, "received"), OverShare: rapid.Bool().Draw(t, "over-share"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "steps") {
			spec.Steps = append(spec.Steps, StepSpec{
				Count: int(number.Draw(t, "count")), CPU: int(number.Draw(t, "cpu")), MemMB: int(number.Draw(t, "memory")), GPU: int(number.Draw(t, "gpu")),
				EstimateMs: number.Draw(t, "estimate"), Label: text.Draw(t, "label"), DataRack: text.Draw(t, "rack"), Image: text.Draw(t, "image"),
				DependsOn:    rapid.SliceOfN(rapid.IntRange(0, 1<<62), 0, 4).Draw(t, "depends-on"),
				MaxPerWorker: int(number.Draw(t, "max-per-worker")), TargetMs: number.Draw(t, "target"), MaxUnavailable: int(number.Draw(t, "max-unavailable")),
			})
		}
		accepted, err := Encode(JobAccepted{Job: spec})
		assert.NilError(t, err)
		saved := JobSnapshot{Job: spec, EndedMs: number.Draw(t, "ended"), FinalState: StateFailed, Started: true}
		alone, err := Encode(saved)
		assert.NilError(t, err)
		assert.Assert(t, len(alone) <= len(accepted)+maxJobOverheadBytes)
		bound := spec.maxEncodedBytes()
		for range rapid.IntRange(1, 3).Draw(t, "tasks") {
			task := taskSnapshot{
				Task:     TaskID{Job: spec.ID, Round: int(number.Draw(t, "round")), Step: int(number.Draw(t, "step")), Index: int(number.Draw(t, "index"))},
				Attempts: int(number.Draw(t, "attempts")), Failures: int(number.Draw(t, "failures")), Checkpoint: text.Draw(t, "checkpoint"),
			}
			for range rapid.IntRange(0, 3).Draw(t, "runs") {
				task.Runs = append(task.Runs, runSnapshot{Attempt: int(number.Draw(t, "attempt")), Worker: text.Draw(t, "worker"), Incarnation: number.Draw(t, "incarnation")})
			}
			bound += task.maxEncodedBytes()
			saved.Tasks = append(saved.Tasks, task)
		}
		whole, err := Encode(saved)
		assert.NilError(t, err)
		assert.Assert(t, len(whole) <= bound, "%d bytes, bound %d", len(whole), bound)
	})
}

// Guards against a record that the log doesn't take: a worker reports a checkpoint of any length.
func TestCheckpointThatNoRecordHoldsIsNotStored(t *testing.T) {
	b := newTestBench(t, 1)
	step := oneCoreStep(1)
	step.Checkpoints = true
	b.submit("a", step)
	o := b.answerStarts(AnswerOK)[0]
	huge := strings.Repeat("c", defaultMaxRecordBytes)
	b.sc.ApplyResult(b.now, PollResult{Order: b.pollOf(o.Worker), SentAt: b.now, Incarnation: 1, Active: []ActiveRun{
		{Task: o.Task, Attempt: o.Attempt, Checkpoint: huge, SpeedPercent: fullSpeed},
	}})
	b.sc.ApplyResult(b.now, PollResult{Order: b.pollOf(o.Worker), SentAt: b.now, Incarnation: 1, Ended: []EndedRun{
		{Number: 1, Task: o.Task, Attempt: o.Attempt, Outcome: AttemptStopped, Checkpoint: huge},
	}})
	b.decideAndStore()
	for _, r := range append(b.records, b.sc.Snapshot()...) {
		raw, err := Encode(r)
		assert.NilError(t, err)
		assert.Assert(t, len(raw) <= defaultMaxRecordBytes, "%T of %d bytes", r, len(raw))
	}
	assert.Equal(t, len(takeOrders[StartTask](b)), 1, "the task starts anew")
}

// Guards against a record with an odd task that ends each process that replays the journal.
func TestRecordOfAnImpossibleTaskIsSkipped(t *testing.T) {
	sc := New(Options{})
	assert.NilError(t, sc.Replay(JobAccepted{Job: JobSpec{ID: "a", Steps: []StepSpec{oneCoreStep(1)}}}))
	for _, id := range []TaskID{{Job: "a", Round: -1}, {Job: "a", Step: -1}, {Job: "a", Index: -1}, {Job: "a", Round: 1}, {Job: "a", Step: 1}, {Job: "a", Index: 1}} {
		assert.ErrorContains(t, sc.Replay(TaskStarted{Task: id, Attempt: 1, Worker: "w"}), "is not in its job")
		assert.NilError(t, sc.Replay(TaskEnded{Task: id, Attempt: 1}))
	}
	assert.Equal(t, sc.jobs["a"].runCount, 0)
}
