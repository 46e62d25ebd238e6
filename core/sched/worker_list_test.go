package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/setup"
)

// Guards against taking a worker for gone because another writer's entry names its machine and a later start: its tasks ran twice
// (review/4). An entry alone proves nothing; the worker goes on, and gets new tasks as soon as it has answered again.
func TestEntryOfAnotherWriterSupersedesNoWorker(t *testing.T) {
	scenarios := []struct {
		testName string
		change   func(e *WorkerEntry)
		polled   bool // the entry's worker is called
	}{
		{"undeclared pool", func(e *WorkerEntry) { e.Pool = "node-metrics" }, false},
		{"declared pool", func(*WorkerEntry) {}, true},
		{"another declared pool", func(e *WorkerEntry) { e.Pool = "desks" }, true},
		{"draining", func(e *WorkerEntry) { e.Draining = true }, true},
		{"address of the worker", func(e *WorkerEntry) { e.Address = "127.0.0.1:1" }, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newTestBench(t, 1)
			b.submit("a", oneCoreStep(2))
			assert.Equal(t, len(b.answerStarts(AnswerOK)), 2)
			foreign := b.entries["w1"]
			foreign.ID, foreign.Incarnation, foreign.Address = "n0c4e1", 1<<50, "127.0.0.1:9"
			s.change(&foreign)
			b.entries[foreign.ID] = foreign
			b.listWorkers()
			_, known := b.sc.workers[foreign.ID]
			assert.Equal(t, known, s.polled)
			b.submit("b", oneCoreStep(1))
			for range 200 {
				b.answerPolls(foreign.ID)
				for _, o := range b.answerStarts(AnswerOK) {
					assert.Equal(t, o.Task.Job, "b", "a task of the first job is started again while it runs")
					assert.Equal(t, o.Worker, "w1")
				}
				b.advance(50 * time.Millisecond)
			}
			assert.Equal(t, b.sc.jobs["a"].runCount, 2)
			assert.Equal(t, b.sc.jobs["b"].runCount, 1, "the worker gets new tasks in spite of the entry")
		})
	}
}

// Guards against ending the runs of a worker that answers no calls because of an entry whose worker has never answered either.
func TestUnprovenSuccessorDoesNotEndTheRunsOfASilentWorker(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", oneCoreStep(1))
	o := b.answerStarts(AnswerOK)[0]
	foreign := b.entries[o.Worker]
	foreign.ID, foreign.Incarnation = "n0c4e1", 1<<50
	b.entries[foreign.ID] = foreign
	b.listWorkers()
	renewedAt := b.now
	for b.now.Before(renewedAt.Add(defaultLease)) {
		b.answerPolls(o.Worker, foreign.ID)
		assert.Equal(t, len(takeOrders[StartTask](b)), 0, "the lease may not have expired yet")
		b.advance(50 * time.Millisecond)
	}
}

// Guards against ending another machine's tasks unnoticed: a machine whose worker is hidden behind a foreign entry looked empty.
func TestForeignEntryDoesNotHideTheWorkerOfAMachine(t *testing.T) {
	b := newTestBench(t, 1)
	b.submit("a", oneCoreStep(1))
	b.answerStarts(AnswerOK)
	foreign := b.entries["w1"]
	foreign.ID, foreign.Incarnation = "n0c4e1", 1<<50
	b.entries[foreign.ID] = foreign
	b.listWorkers()
	assert.Equal(t, b.sc.workersByMachine()["m-w1"].id, "w1")
	b.answerPolls(foreign.ID)
	assert.Equal(t, b.sc.workersByMachine()["m-w1"].id, "w1")
}

// Guards against a worker that is never used since its entry was read before the configuration that declares its pool.
func TestWorkerOfAPoolThatIsDeclaredLaterIsUsed(t *testing.T) {
	b := newTestBench(t, 0)
	b.addWorker("w1", "kilns")
	b.listWorkers()
	assert.Equal(t, len(takeOrders[PollWorker](b)), 0)
	b.sc.Configure(b.now, setup.New(2, []setup.Queue{{Name: "plans", Pool: "kilns"}}, []setup.Pool{{Name: "kilns"}}, nil, setup.Limits{}))
	b.decideAndStore()
	b.answerPolls()
	assert.Assert(t, b.sc.workers["w1"].isSchedulable(b.now))
}

// Guards against ending the runs of a worker that answers because another writer put an entry under its id, with the address of
// another worker.
func TestWrongAddressInAWorkersEntryEndsNoRuns(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", oneCoreStep(1))
	o := b.answerStarts(AnswerOK)[0]
	b.advance(time.Second)
	b.answerPolls()
	own := b.entries[o.Worker]
	wrong := own
	wrong.Address = "127.0.0.1:9"
	for _, e := range []WorkerEntry{wrong, own} {
		b.entries[o.Worker] = e
		b.advance(100 * time.Millisecond)
		b.listWorkers()
		b.advance(time.Second)
		for _, poll := range takeOrders[PollWorker](b) {
			res := PollResult{Order: poll, SentAt: b.now, GrantedAt: b.now, Incarnation: 1}
			switch {
			case poll.Worker == o.Worker && e.Address != own.Address:
				res.Answer = AnswerWrongIncarnation
			case poll.Worker == o.Worker:
				res.Active = []ActiveRun{{Task: o.Task, Attempt: o.Attempt, SpeedPercent: fullSpeed, Load: -1}}
			}
			b.sc.ApplyResult(b.now, res)
		}
		b.decideAndStore()
		assert.Equal(t, len(takeOrders[StartTask](b)), 0)
	}
	assert.Equal(t, b.sc.jobs["a"].runCount, 1)
	assert.Assert(t, b.sc.workers[o.Worker].answers())
}

// An address that was given to another worker shows that the worker that answered there is gone.
func TestWorkerWhoseAddressIsReusedIsGone(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", oneCoreStep(1))
	o := b.answerStarts(AnswerOK)[0]
	b.advance(time.Second)
	b.answerPolls()
	b.advance(time.Second)
	for _, poll := range takeOrders[PollWorker](b) {
		if poll.Worker == o.Worker {
			b.sc.ApplyResult(b.now, PollResult{Order: poll, Answer: AnswerWrongIncarnation, SentAt: b.now, GrantedAt: b.now})
		}
	}
	b.decideAndStore()
	assert.Equal(t, len(takeOrders[StartTask](b)), 1)
}
