package sched

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an owner, and each owner after it, that is killed for its memory by many jobs of ordinary size: most kinds of jobs aren't
// refused for lack of capacity (review/11).
func TestJobsThatTakeTooMuchMemoryTogetherAreRefused(t *testing.T) {
	const (
		maxBytes = 8 << 20
		flood    = 20_000
	)
	now := testStart.UnixMilli()
	scenarios := []struct {
		testName string
		spec     JobSpec
	}{
		{"long-running", JobSpec{Pool: "pots", Steps: []StepSpec{{Count: 1, CPU: 100, LongRunning: true}}}},
		{"timed, far ahead", JobSpec{Pool: "pots", Steps: []StepSpec{oneCoreStep(5)}, StartMs: now + 1e9, IntervalMs: 60_000, Repetitions: 1000}},
		{"timed and due", JobSpec{Pool: "pots", Steps: []StepSpec{oneCoreStep(5)}, StartMs: now - 1e6, IntervalMs: 1000, Repetitions: 1000}},
		{"for a pool without workers", JobSpec{Pool: "desks", Steps: []StepSpec{oneCoreStep(5)}}},
		{"without work", JobSpec{Pool: "pots", Steps: []StepSpec{{Count: 1, Label: "none"}}}},
		{"of many steps", JobSpec{Pool: "desks", Steps: make([]StepSpec, 100)}},
		{"with large payloads", JobSpec{Pool: "desks", Payload: strings.Repeat("p", 4000), Steps: []StepSpec{oneCoreStep(1)}}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, 1)
			b.sc.options.MaxJobMemory = maxBytes
			before := heapBytes()
			accepted := b.submitFlood(s.spec, "floor", flood)
			assert.Assert(t, accepted > 0 && accepted < flood, "%d of %d accepted", accepted, flood)
			assert.Assert(t, b.sc.JobMemory() <= maxBytes, "%d bytes are counted", b.sc.JobMemory())
			assert.Assert(t, heapBytes()-before < maxBytes, "%d bytes", heapBytes()-before)
			for _, other := range []string{"retail", ""} {
				assert.Equal(t, b.submitFlood(JobSpec{Pool: "pots", Steps: []StepSpec{{Count: 1, LongRunning: true}}}, other, 1), 1, "accepted jobs of team %q", other)
			}
			runtime.KeepAlive(b)
		})
	}
}

// Guards against passes over so many open jobs that leases lapse meanwhile: jobs that wait for their time or for a worker are never refused for
// lack of capacity, and each pass goes through all of them.
func TestTooManyOpenJobsAreRefused(t *testing.T) {
	const most = 1000
	b := newTestBench(t, 1)
	b.sc.options.MaxOpenJobs = most
	ahead := JobSpec{Pool: "pots", Steps: []StepSpec{oneCoreStep(5)}, StartMs: testStart.UnixMilli() + 1e9, IntervalMs: 60_000, Repetitions: 1000}
	assert.Equal(t, b.submitFlood(ahead, "floor", 2*most), most/2)
	assert.Equal(t, b.submitFlood(ahead, "retail", 2*most), most/4)
	assert.Equal(t, b.submitFlood(ahead, "", 1), 1)
	again := ahead
	again.ID, again.Team = "again", "retail"
	result, _ := b.sc.Submit(b.now, again)
	assert.Equal(t, result, Overloaded)
	for n := range most / 2 {
		b.sc.Cancel(b.now, fmt.Sprintf("floor-%016x", n))
	}
	b.decideAndStore()
	assert.Assert(t, b.sc.OpenJobs() == most/4+1, "%d jobs are open", b.sc.OpenJobs())
	result, _ = b.sc.Submit(b.now, again)
	assert.Equal(t, result, Accepted, "jobs that were cancelled don't count")
}

// submitFlood submits jobs like the given one for a team, and returns how many were accepted.
func (b *testBench) submitFlood(like JobSpec, team string, jobs int) (accepted int) {
	b.t.Helper()
	for n := range jobs {
		spec := like
		spec.ID, spec.Queue, spec.Team = fmt.Sprintf("%s-%016x", team, n), "plans", team
		spec.Payload, spec.Steps = strings.Clone(spec.Payload), append([]StepSpec(nil), spec.Steps...)
		result, refusal := b.sc.Submit(b.now, spec)
		switch {
		case result == Accepted:
			accepted++
		case refusal.RetryAfter() <= 0:
			b.t.Errorf("job %s is refused without a time to come back", spec.ID)
		}
		if n%100 == 0 {
			b.advance(minFullPassInterval)
			b.records, b.orders = nil, nil
			b.sc.Decisions()
		}
	}
	b.advance(minFullPassInterval)
	b.records, b.orders = nil, nil
	return accepted
}

// Guards against gates that go on storing jobs in the inbox for an owner that has no memory for them, and against rounds that begin then.
func TestLackOfMemoryLimitsInboxAndRounds(t *testing.T) {
	b := newTestBench(t, 3)
	b.advance(time.Second)
	assert.Assert(t, b.sc.BatchCores()["pots"] > 0)
	b.sc.options.MaxJobMemory = 8 << 10
	b.sc.AcceptFromInbox(b.now, JobSpec{ID: "large", Queue: "plans", Pool: "pots", Payload: strings.Repeat("p", 8<<10), Steps: []StepSpec{{Count: 1, Label: "none"}}})
	b.sc.AcceptFromInbox(b.now, JobSpec{
		ID: "a", Queue: "plans", Pool: "pots", Steps: []StepSpec{oneCoreStep(1)}, MaxAttempts: 2, StartMs: b.now.UnixMilli(), IntervalMs: 1, Repetitions: 3,
	})
	b.advance(time.Second)
	b.answerPolls()
	assert.Equal(t, b.sc.BatchCores()["pots"], 0.0)
	for range 3 {
		starts := b.answerStarts(AnswerOK)
		assert.Equal(t, len(starts), 1, "one round runs at a time")
		b.endAttempt(starts[0], AttemptDone)
		b.advance(minFullPassInterval)
	}
	assert.Equal(t, b.state("a"), "completed")
}

// Guards against memory that grows with the tasks of a job that need no room, so that any number of them fits on one worker.
func TestTasksWithoutSizeTakeBoundedMemory(t *testing.T) {
	const maxBytes = 1 << 20
	b := newTestBench(t, 2)
	b.sc.options.MaxJobMemory = maxBytes
	none := StepSpec{Count: 100_000, EstimateMs: 90_000}
	b.submit("a", none)
	for range 200 {
		b.answerPolls()
		b.answerStarts(AnswerOK)
		b.advance(minFullPassInterval)
	}
	running := b.sc.jobs["a"].runCount
	assert.Assert(t, running > 100 && running*(taskBytes+runBytes) <= maxBytes/2, "%d tasks run", running)
	result, refusal := b.sc.Submit(b.now, JobSpec{ID: "b", Queue: "plans", Pool: "pots", Team: "retail", Steps: []StepSpec{oneCoreStep(2)}, MaxAttempts: 2, Slack: 1.6, TargetMs: 600, FirstReceivedMs: b.now.UnixMilli()})
	assert.Equal(t, result, Accepted, refusal.Cause())
	b.advance(minFullPassInterval)
	b.answerPolls()
	assert.Equal(t, len(b.answerStarts(AnswerOK)), 2, "another team's tasks start")
}

// Guards against memory that stays counted after its jobs are gone, so that no job is accepted any more.
func TestMemoryOfJobsThatAreForgottenIsFreeAgain(t *testing.T) {
	b := newTestBench(t, 2)
	ran := 0
	for n := range 30 {
		id := fmt.Sprint(n)
		spec := JobSpec{ID: id, Queue: "plans", Pool: "pots", Team: "floor", Payload: "text", Steps: []StepSpec{oneCoreStep(3), {Count: 2, CPU: 100, DependsOn: []int{0}}}}
		if n%2 == 0 {
			spec.Repetitions, spec.IntervalMs, spec.StartMs = 3, 10, b.now.UnixMilli()
		}
		b.sc.AcceptFromInbox(b.now, spec)
		if n%5 == 0 {
			b.sc.Cancel(b.now, id)
		}
	}
	for range 200 {
		b.advance(minFullPassInterval)
		for _, o := range b.answerStarts(AnswerOK) {
			ran++
			b.endAttempt(o, AttemptDone)
		}
	}
	assert.Assert(t, ran > 100)
	assert.Equal(t, len(b.sc.openJobs), 0)
	assert.Assert(t, b.sc.JobMemory() > 0)
	next := b.newOwner()
	assert.Assert(t, next.sc.JobMemory() > 0)
	for _, owner := range []*testBench{b, next} {
		owner.advance(maxCallDelay)
		owner.advance(defaultRetention)
		assert.Equal(t, len(owner.sc.jobs), 0)
		assert.Equal(t, owner.sc.JobMemory(), 0)
	}
}

// Guards against estimates that are below what jobs take.
func TestEstimatedMemoryOfJobsCoversTheHeap(t *testing.T) {
	const jobs = 5000
	scenarios := []struct {
		testName string
		spec     JobSpec
	}{
		{"one step", JobSpec{Steps: []StepSpec{oneCoreStep(1)}}},
		{"many steps", JobSpec{Steps: make([]StepSpec, 50)}},
		{"timed", JobSpec{Steps: []StepSpec{oneCoreStep(1)}, StartMs: testStart.Add(time.Hour).UnixMilli(), IntervalMs: 1000, Repetitions: 10}},
		{"running", JobSpec{Steps: []StepSpec{{Count: 12}}}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, 1)
			before := heapBytes()
			for n := range jobs {
				spec := s.spec
				spec.ID = fmt.Sprintf("%016x", n)
				raw, err := Encode(JobAccepted{Job: spec})
				assert.NilError(t, err)
				record, err := Decode(raw)
				assert.NilError(t, err)
				b.sc.AcceptFromInbox(b.now, record.(JobAccepted).Job)
				if s.testName == "running" {
					for i := range 12 {
						b.sc.addRun(b.sc.jobs[spec.ID].taskByID(TaskID{Job: spec.ID, Index: i}), b.sc.workers["w1"], 1)
					}
				}
			}
			b.sc.TakeBatch()
			heap := heapBytes() - before
			assert.Assert(t, b.sc.JobMemory() >= heap, "%d bytes are estimated, %d are in use", b.sc.JobMemory(), heap)
			assert.Assert(t, b.sc.JobMemory() < 2*heap, "%d bytes are estimated, %d are in use", b.sc.JobMemory(), heap)
			runtime.KeepAlive(b)
		})
	}
}
