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

// Workers runs tasks in memory, under leases and fences.
type Workers struct {
	mu      sync.Mutex
	taskFor time.Duration
	workers map[string]*worker
	runs    map[sched.TaskID]int // how often each task was begun
	doubled []string
}

type worker struct {
	entry   sched.WorkerEntry
	token   int64
	silent  bool
	number  int64
	lease   time.Time
	active  map[sched.TaskID]*active
	ended   []sched.EndedRun
	blocked map[sched.TaskID]int
}

type active struct {
	attempt int
	until   time.Time
}

// NewWorkers returns workers of 4 cores in a pool; each task takes the given time.
func NewWorkers(n int, pool string, taskFor time.Duration) *Workers {
	w := &Workers{taskFor: taskFor, workers: map[string]*worker{}, runs: map[sched.TaskID]int{}}
	for i := range n {
		id := fmt.Sprintf("vm-%d", i+1)
		w.workers[id] = &worker{
			entry: sched.WorkerEntry{
				ID: id, Machine: "machine-" + id, Pool: pool, Address: "127.0.0.1:1", DataCentre: "a",
				Labels: []string{"kind", "rack"}, Capacity: setup.Resources{CPU: 4000, MemMB: 8000}, Incarnation: 1,
			},
			active: map[sched.TaskID]*active{}, blocked: map[sched.TaskID]int{},
		}
	}
	return w
}

// Silence makes a worker leave all calls unanswered, or answer again.
func (w *Workers) Silence(id string, silent bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].silent = silent
}

// Runs returns how often the task was begun.
func (w *Workers) Runs(id sched.TaskID) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// Doubled returns the tasks that ran twice at the same time.
func (w *Workers) Doubled() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.doubled
}

// All lists the workers.
func (w *Workers) All(context.Context) ([]sched.WorkerEntry, int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var entries []sched.WorkerEntry
	for _, v := range w.workers {
		entries = append(entries, v.entry)
	}
	return entries, 0, nil
}

// Changes lists no changes: the workers stay.
func (w *Workers) Changes(_ context.Context, from int64, _ time.Duration) ([]ports.WorkerChange, int64, error) {
	return nil, from, nil
}

// reach returns the worker if it answers; the caller holds the lock.
func (w *Workers) reach(id string, token int64) (*worker, sched.OrderAnswer) {
	v, found := w.workers[id]
	switch {
	case !found || v.silent:
		return nil, sched.AnswerUnknown
	case token < v.token:
		return nil, sched.AnswerFenced
	}
	v.token = token
	v.pass(time.Now())
	return v, sched.AnswerOK
}

// pass ends what is over.
func (v *worker) pass(now time.Time) {
	for id, a := range v.active {
		switch {
		case now.After(v.lease):
			v.end(id, sched.AttemptLeaseExpired)
		case now.After(a.until):
			v.end(id, sched.AttemptDone)
		}
	}
}

func (v *worker) end(id sched.TaskID, how sched.AttemptOutcome) {
	a := v.active[id]
	delete(v.active, id)
	v.number++
	v.blocked[id] = max(v.blocked[id], a.attempt)
	v.ended = append(v.ended, sched.EndedRun{Number: v.number, Task: id, Attempt: a.attempt, Outcome: how})
}

func (v *worker) grant(lease time.Duration) {
	if until := time.Now().Add(lease); lease > 0 && until.After(v.lease) {
		v.lease = until
	}
}

// Start begins an attempt.
func (w *Workers) Start(_ context.Context, t ports.Target, o sched.StartTask, token int64) sched.StartResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	return sched.StartResult{Order: o, Answer: w.start(t, o, token), GrantedAt: time.Now()}
}

// start begins an attempt; the caller holds the lock.
func (w *Workers) start(t ports.Target, o sched.StartTask, token int64) sched.OrderAnswer {
	v, answer := w.reach(t.ID, token)
	if v == nil {
		return answer
	}
	v.grant(o.Lease)
	if a := v.active[o.Task]; a != nil && a.attempt == o.Attempt {
		return sched.AnswerOK
	}
	if o.Attempt <= v.blocked[o.Task] {
		return sched.AnswerSuperseded
	}
	for _, other := range w.workers {
		other.pass(time.Now())
		if other.active[o.Task] != nil {
			w.doubled = append(w.doubled, o.Task.String())
		}
	}
	w.runs[o.Task]++
	v.active[o.Task] = &active{o.Attempt, time.Now().Add(w.taskFor)}
	return sched.AnswerOK
}

// Stop ends an attempt.
func (w *Workers) Stop(_ context.Context, t ports.Target, o sched.StopTask, token int64) sched.OrderAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	v, answer := w.reach(t.ID, token)
	if v == nil {
		return answer
	}
	v.blocked[o.Task] = max(v.blocked[o.Task], o.Attempt)
	if a := v.active[o.Task]; a != nil && a.attempt <= o.Attempt {
		v.end(o.Task, sched.AttemptStopped)
	}
	return sched.AnswerOK
}

// Pace does nothing: no task disturbs another here.
func (w *Workers) Throttle(context.Context, ports.Target, sched.ThrottleTask, int64) sched.OrderAnswer {
	return sched.AnswerOK
}

// Hold renews and lists what runs.
func (w *Workers) Poll(_ context.Context, t ports.Target, o sched.PollWorker, token int64) sched.PollResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	rep := sched.PollResult{Order: o, SentAt: time.Now(), GrantedAt: time.Now(), Incarnation: 1}
	v, answer := w.reach(t.ID, token)
	if v == nil {
		rep.Answer = answer
		return rep
	}
	v.grant(o.Lease)
	for len(v.ended) > 0 && v.ended[0].Number <= o.AckedThrough {
		v.ended = v.ended[1:]
	}
	rep.Ended = append(rep.Ended, v.ended...)
	for id, a := range v.active {
		rep.Active = append(rep.Active, sched.ActiveRun{Task: id, Attempt: a.attempt, SpeedPercent: 100, Load: -1})
	}
	return rep
}

// Forget does nothing: there are no connections.
func (w *Workers) Disconnect(string) {}
