package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/setup"
)

// testStart is the initial time of the tests' clock. It isn't zero, since waves and timed jobs use absolute times.
var testStart = time.UnixMilli(1_700_000_000_000)

// testBench drives a scheduler with answers that the test chooses.
type testBench struct {
	t       *testing.T
	sc      *Scheduler
	now     time.Time
	entries map[string]WorkerEntry
	orders  []Order          // not taken by takeOrders yet
	lastEnd map[string]int64 // worker id -> number of its last end
	records []Record         // the journal
}

// testConfig returns a configuration with a queue for the pool "pots", one for "desks", and the standby pool "attic".
func testConfig() *setup.Config {
	return setup.New(1, []setup.Queue{
		{Name: "plans", Pool: "pots", MaxAttempts: 2, SlackFactor: 1.6, TargetLatency: 600 * time.Millisecond},
		{Name: "quotes", Pool: "desks", MaxAttempts: 2, SlackFactor: 1.6, TargetLatency: 600 * time.Millisecond},
	}, []setup.Pool{{Name: "pots", EnforcesCapacity: true}, {Name: "desks", EnforcesCapacity: true}, {Name: "attic", Standby: true}},
		[]setup.Team{
			{Name: "retail", Weight: 10, Limit: setup.Resources{CPU: 64000}},
			{Name: "floor", Weight: 5},
		}, setup.Limits{})
}

// newTestBench returns a bench whose scheduler owns the fleet and has polled the given number of workers, each with 4 cores in
// the pool "pots".
func newTestBench(t *testing.T, workers int) *testBench {
	b := &testBench{t: t, sc: New(Options{}), now: testStart, entries: map[string]WorkerEntry{}, lastEnd: map[string]int64{}}
	b.sc.TakeOwnership(b.now, 0)
	b.sc.Configure(b.now, testConfig())
	for i := range workers {
		b.addWorker(fmt.Sprintf("w%d", i+1), "pots")
	}
	b.listWorkers()
	b.answerPolls()
	return b
}

// newOwner returns a bench whose scheduler takes over from this one, and has polled no worker yet.
func (b *testBench) newOwner() *testBench {
	b.t.Helper()
	successor := &testBench{t: b.t, sc: New(Options{}), now: b.now, entries: b.entries, lastEnd: map[string]int64{}}
	for _, r := range b.records {
		assert.NilError(b.t, successor.sc.Replay(r))
	}
	successor.sc.TakeOwnership(successor.now, 0)
	successor.sc.Configure(successor.now, testConfig())
	successor.listWorkers()
	return successor
}

func (b *testBench) addWorker(id, pool string) {
	b.entries[id] = WorkerEntry{
		ID: id, Machine: "m-" + id, Pool: pool, Address: "127.0.0.1:1", DataCentre: "a", Labels: []string{"k", "r1"},
		Capacity: setup.Resources{CPU: 4000, MemMB: 8000}, Incarnation: 1,
	}
}

func (b *testBench) listWorkers() {
	entries := map[string]WorkerEntry{}
	for id, e := range b.entries {
		entries[id] = e
	}
	b.sc.UpdateWorkers(b.now, entries)
	b.decideAndStore()
}

// decideAndStore runs Decide, stores the records and collects the orders.
func (b *testBench) decideAndStore() {
	b.sc.Decide(b.now)
	batch := b.sc.TakeBatch()
	b.records = append(b.records, batch.Records...)
	b.sc.ConfirmStored(batch)
	b.orders = append(b.orders, b.sc.TakeImmediateOrders()...)
	b.orders = append(b.orders, batch.DeferredOrders...)
}

func (b *testBench) advance(d time.Duration) {
	b.now = b.now.Add(d)
	b.decideAndStore()
}

// takeOrders returns and removes the collected orders of a type.
func takeOrders[O Order](b *testBench) []O {
	var found []O
	var rest []Order
	for _, o := range b.orders {
		if wanted, ok := o.(O); ok {
			found = append(found, wanted)
			continue
		}
		rest = append(rest, o)
	}
	b.orders = rest
	return found
}

// answerPolls answers all polls with the attempts that the scheduler has confirmed; polls of silent workers fail.
func (b *testBench) answerPolls(silent ...string) {
	for _, o := range takeOrders[PollWorker](b) {
		res := PollResult{Order: o, SentAt: b.now, GrantedAt: b.now, Incarnation: b.entries[o.Worker].Incarnation}
		for _, id := range silent {
			if id == o.Worker {
				res.Answer = AnswerUnknown
			}
		}
		for key, r := range b.sc.workers[o.Worker].runs {
			if r.phase == runConfirmed {
				res.Active = append(res.Active, ActiveRun{Task: key.task, Attempt: key.attempt, SpeedPercent: fullSpeed, Load: -1})
			}
		}
		b.sc.ApplyResult(b.now, res)
	}
	b.decideAndStore()
}

// answerStarts gives the same answer to all start orders and returns them.
func (b *testBench) answerStarts(a OrderAnswer) []StartTask {
	starts := takeOrders[StartTask](b)
	for _, o := range starts {
		b.sc.ApplyResult(b.now, StartResult{Order: o, Answer: a, GrantedAt: b.now})
	}
	b.decideAndStore()
	return starts
}

// endAttempt answers a poll of the attempt's worker with the end of the attempt.
func (b *testBench) endAttempt(o StartTask, outcome AttemptOutcome) {
	b.lastEnd[o.Worker]++
	b.sc.ApplyResult(b.now, PollResult{
		Order: b.pollOf(o.Worker), SentAt: b.now, Incarnation: b.entries[o.Worker].Incarnation,
		Ended:  []EndedRun{{Number: b.lastEnd[o.Worker], Task: o.Task, Attempt: o.Attempt, Outcome: outcome}},
		Active: b.activeExcept(o),
	})
	b.decideAndStore()
}

// pollOf returns a poll of the worker as the scheduler would order it now, without a lease.
func (b *testBench) pollOf(worker string) PollWorker { return b.sc.pollOf(worker) }

func (sc *Scheduler) pollOf(worker string) PollWorker {
	o := PollWorker{Worker: worker, Generation: sc.generation}
	if w, found := sc.workers[worker]; found {
		o.Generation = w.generation
	}
	return o
}

func (b *testBench) activeExcept(o StartTask) []ActiveRun {
	var active []ActiveRun
	for key, r := range b.sc.workers[o.Worker].runs {
		if r.phase == runConfirmed && key != (runKey{o.Task, o.Attempt}) {
			active = append(active, ActiveRun{Task: key.task, Attempt: key.attempt, SpeedPercent: fullSpeed, Load: -1})
		}
	}
	return active
}

func (b *testBench) submit(id string, steps ...StepSpec) {
	result, _ := b.sc.Submit(b.now, JobSpec{
		ID: id, Queue: "plans", Pool: "pots", Team: "floor", Steps: steps, MaxAttempts: 2, Slack: 1.6, TargetMs: 600,
		AcceptedMs: b.now.UnixMilli(), FirstReceivedMs: b.now.UnixMilli(),
	})
	assert.Equal(b.t, result, Accepted)
	b.decideAndStore()
}

// submitQuotes submits jobs of two tasks, which run in the pool "desks", and returns how many were accepted.
func (b *testBench) submitQuotes(first, count int) (accepted int) {
	for i := first; i < first+count; i++ {
		result, _ := b.sc.Submit(b.now, JobSpec{
			ID: fmt.Sprint(i), Queue: "quotes", Pool: "desks", Steps: []StepSpec{oneCoreStep(2)}, Slack: 1.6, TargetMs: 600,
			FirstReceivedMs: b.now.UnixMilli(),
		})
		if result == Accepted {
			accepted++
		}
	}
	return accepted
}

// lastAttempt returns the number of the task's last attempt, 0 if there was none.
func (b *testBench) lastAttempt(id TaskID) int {
	last := 0
	for _, r := range b.records {
		if s, ok := r.(TaskStarted); ok && s.Task == id {
			last = max(last, s.Attempt)
		}
	}
	return last
}

func (b *testBench) state(id string) string {
	s, known := b.sc.State(id)
	if !known {
		return "unknown"
	}
	return s.String()
}

func oneCoreStep(count int) StepSpec {
	return StepSpec{Count: count, CPU: 1000, MemMB: 100, EstimateMs: 1000}
}

// secondsOfWork returns the workload of one-core tasks of a second each.
func secondsOfWork(tasks float64) workload {
	var l workload
	l.add(tasks, 0, time.Second)
	return l
}
