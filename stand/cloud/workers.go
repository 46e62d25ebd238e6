package cloud

import (
	"context"
	"fmt"
	"sync"
	"time"

	"mangowing/core/sched"
	"mangowing/core/setup"
	"mangowing/gate/ports"
)

// Workers simulates workers that run tasks under leases and reject orders with an old fencing token.
type Workers struct {
	mu             sync.Mutex
	taskDuration   time.Duration
	workers        map[string]*worker
	starts         map[sched.TaskID]int // number of starts of each task
	concurrentRuns []string             // tasks that were started while they were running
}

type worker struct {
	entry          sched.WorkerEntry
	fencingToken   int64 // highest token received
	silent         bool
	lastEndNumber  int64     // number of the last entry of ended
	leaseUntil     time.Time // end of the leases of all runs
	active         map[sched.TaskID]*activeRun
	ended          []sched.EndedRun
	refusedThrough map[sched.TaskID]int // starts of attempts up to this number are refused
}

type activeRun struct {
	attempt    int
	finishesAt time.Time
}

// NewWorkers returns n workers of 4 cores in a pool, named vm-1 and so on. Each task runs for taskDuration.
func NewWorkers(n int, pool string, taskDuration time.Duration) *Workers {
	w := &Workers{taskDuration: taskDuration, workers: map[string]*worker{}, starts: map[sched.TaskID]int{}}
	for i := range n {
		id := fmt.Sprintf("vm-%d", i+1)
		w.workers[id] = &worker{
			entry: sched.WorkerEntry{
				ID: id, Machine: "machine-" + id, Pool: pool, Address: "127.0.0.1:1", DataCentre: "a",
				Labels: []string{"kind", "rack"}, Capacity: setup.Resources{CPU: 4000, MemMB: 8000}, Incarnation: 1,
			},
			active: map[sched.TaskID]*activeRun{}, refusedThrough: map[sched.TaskID]int{},
		}
	}
	return w
}

// SetSilent sets whether a worker leaves all calls unanswered.
func (w *Workers) SetSilent(id string, silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].silent = silent
}

// Starts returns how often the task was started.
func (w *Workers) Starts(id sched.TaskID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[id]
}

// ConcurrentRuns returns the tasks that were started while another run of them was active.
func (w *Workers) ConcurrentRuns() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.concurrentRuns
}

// All returns the entries of all workers.
func (w *Workers) All(context.Context) ([]sched.WorkerEntry, int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var entries []sched.WorkerEntry
	for _, v := range w.workers {
		entries = append(entries, v.entry)
	}
	return entries, 0, nil
}

// Changes returns no changes, since workers neither join nor leave.
func (w *Workers) Changes(_ context.Context, from int64, _ time.Duration) ([]ports.WorkerChange, int64, error) {
	return nil, from, nil
}

// workerFor returns the worker that an order goes to, or nil and the answer if the order has no effect. The caller must hold the
// lock.
func (w *Workers) workerFor(id string, token int64) (*worker, sched.OrderAnswer) {
	v, found := w.workers[id]
	switch {
	case !found || v.silent:
		return nil, sched.AnswerUnknown
	case token < v.fencingToken:
		return nil, sched.AnswerFenced
	}
	v.fencingToken = token
	v.endDueRuns(time.Now())
	return v, sched.AnswerOK
}

// endDueRuns ends the runs that are finished or whose lease has expired.
func (v *worker) endDueRuns(now time.Time) {
	for id, a := range v.active {
		switch {
		case now.After(v.leaseUntil):
			v.endRun(id, sched.AttemptLeaseExpired)
		case now.After(a.finishesAt):
			v.endRun(id, sched.AttemptDone)
		}
	}
}

func (v *worker) endRun(id sched.TaskID, outcome sched.AttemptOutcome) {
	a := v.active[id]
	delete(v.active, id)
	v.lastEndNumber++
	v.refusedThrough[id] = max(v.refusedThrough[id], a.attempt)
	v.ended = append(v.ended, sched.EndedRun{Number: v.lastEndNumber, Task: id, Attempt: a.attempt, Outcome: outcome})
}

func (v *worker) extendLease(lease time.Duration) {
	if until := time.Now().Add(lease); lease > 0 && until.After(v.leaseUntil) {
		v.leaseUntil = until
	}
}

// Start starts an attempt.
func (w *Workers) Start(_ context.Context, t ports.Target, o sched.StartTask, token int64) sched.StartResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	return sched.StartResult{Order: o, Answer: w.start(t, o, token), GrantedAt: time.Now()}
}

// start starts an attempt. The caller must hold the lock.
func (w *Workers) start(t ports.Target, o sched.StartTask, token int64) sched.OrderAnswer {
	v, answer := w.workerFor(t.ID, token)
	if v == nil {
		return answer
	}
	v.extendLease(o.Lease)
	if a := v.active[o.Task]; a != nil && a.attempt == o.Attempt {
		return sched.AnswerOK
	}
	if o.Attempt <= v.refusedThrough[o.Task] {
		return sched.AnswerSuperseded
	}
	for _, other := range w.workers {
		other.endDueRuns(time.Now())
		if other.active[o.Task] != nil {
			w.concurrentRuns = append(w.concurrentRuns, o.Task.String())
		}
	}
	w.starts[o.Task]++
	v.active[o.Task] = &activeRun{o.Attempt, time.Now().Add(w.taskDuration)}
	return sched.AnswerOK
}

// Stop ends an attempt.
func (w *Workers) Stop(_ context.Context, t ports.Target, o sched.StopTask, token int64) sched.OrderAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	v, answer := w.workerFor(t.ID, token)
	if v == nil {
		return answer
	}
	v.refusedThrough[o.Task] = max(v.refusedThrough[o.Task], o.Attempt)
	if a := v.active[o.Task]; a != nil && a.attempt <= o.Attempt {
		v.endRun(o.Task, sched.AttemptStopped)
	}
	return sched.AnswerOK
}

// Throttle does nothing, since these tasks don't slow each other down.
func (w *Workers) Throttle(context.Context, ports.Target, sched.ThrottleTask, int64) sched.OrderAnswer {
	return sched.AnswerOK
}

// Poll renews the leases and returns the active and the ended runs.
func (w *Workers) Poll(_ context.Context, t ports.Target, o sched.PollWorker, token int64) sched.PollResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	result := sched.PollResult{Order: o, SentAt: time.Now(), GrantedAt: time.Now(), Incarnation: 1}
	v, answer := w.workerFor(t.ID, token)
	if v == nil {
		result.Answer = answer
		return result
	}
	v.extendLease(o.Lease)
	for len(v.ended) > 0 && v.ended[0].Number <= o.AckedThrough {
		v.ended = v.ended[1:]
	}
	result.Ended = append(result.Ended, v.ended...)
	for id, a := range v.active {
		result.Active = append(result.Active, sched.ActiveRun{Task: id, Attempt: a.attempt, SpeedPercent: 100, Load: -1})
	}
	return result
}

// Disconnect does nothing, since there are no connections.
func (w *Workers) Disconnect(string) {}
