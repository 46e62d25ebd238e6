package cloud

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"mangowing/core/sched"
	"mangowing/core/setup"
	"mangowing/gate/ports"
)

const (
	// The longest lease that a worker grants. It also grants it to an order whose deadline is by the clock of an earlier incarnation, which
	// is far ahead of its own.
	maxLease = 6 * time.Second
	// A delayed call is carried out this long after it was sent.
	callDelay = 2 * time.Second
)

// Workers simulates workers that run tasks under leases and reject orders with an old fencing token.
type Workers struct {
	mu             sync.Mutex
	taskDuration   time.Duration
	workers        map[string]*worker
	clocks         map[string]int64       // by worker ID: incarnation that the last answer to a poll named
	starts         map[sched.TaskID]int   // number of starts of each task
	done           map[sched.TaskID][]int // attempts that were done
	superseded     map[sched.TaskID][]int // attempts that were done and were followed by a start
	acknowledged   map[sched.TaskID]bool  // tasks whose success was acknowledged
	changes        []ports.WorkerChange   // to the list of workers
	concurrentRuns []string               // tasks that were started while they were running
	repeatedRuns   []string               // tasks that were started after a success that was acknowledged then or later
	crossings      int                    // delayed calls that reached a later incarnation
}

// worker is one incarnation of a worker.
type worker struct {
	entry          sched.WorkerEntry
	fencingToken   int64 // highest token received
	silent         bool
	delaysCalls    bool
	reached        bool      // it has handled a call that was sent to it
	heldBack       []func()  // delayed calls that arrived before that
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
	w := &Workers{
		taskDuration: taskDuration, workers: map[string]*worker{}, clocks: map[string]int64{}, starts: map[sched.TaskID]int{},
		done: map[sched.TaskID][]int{}, superseded: map[sched.TaskID][]int{}, acknowledged: map[sched.TaskID]bool{},
	}
	for i := range n {
		id := fmt.Sprintf("vm-%d", i+1)
		w.workers[id] = newWorker(sched.WorkerEntry{
			ID: id, Machine: "machine-" + id, Pool: pool, Address: "127.0.0.1:1", DataCentre: "a",
			Labels: []string{"kind", "rack"}, Capacity: setup.Resources{CPU: 4000, MemMB: 8000}, Incarnation: 1,
		})
	}
	return w
}

func newWorker(entry sched.WorkerEntry) *worker {
	return &worker{entry: entry, active: map[sched.TaskID]*activeRun{}, refusedThrough: map[sched.TaskID]int{}}
}

// Restart ends a worker without a word and starts it again under its ID, as a new incarnation that knows nothing of the one before.
func (w *Workers) Restart(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].endDueRuns(w, time.Now())
	entry := w.workers[id].entry
	entry.Incarnation++
	w.workers[id] = newWorker(entry)
	w.changes = append(w.changes, ports.WorkerChange{ID: id, Entry: &entry})
}

// DelayCalls sets whether calls to a worker get no answer and are carried out callDelay later, also by a later incarnation. Restart
// ends it.
func (w *Workers) DelayCalls(id string, delays bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workers[id].delaysCalls = delays
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

// RepeatedRuns returns the tasks that were started after they had succeeded, if that success was acknowledged then or later.
func (w *Workers) RepeatedRuns() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.repeatedRuns
}

// All returns the entries of all workers.
func (w *Workers) All(context.Context) ([]sched.WorkerEntry, int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var entries []sched.WorkerEntry
	for _, v := range w.workers {
		entries = append(entries, v.entry)
	}
	return entries, int64(len(w.changes)), nil
}

// Changes returns the entries of workers that have restarted, without waiting for any.
func (w *Workers) Changes(_ context.Context, from int64, _ time.Duration) ([]ports.WorkerChange, int64, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.changes[from:]), int64(len(w.changes)), nil
}

// send carries out a call at once, or delays it. It reports whether the call was carried out. The caller must hold the lock.
func (w *Workers) send(id string, call func()) bool {
	v := w.workers[id]
	if v == nil || v.silent {
		return false
	}
	if v.delaysCalls {
		time.AfterFunc(callDelay, func() { w.carryOutLate(id, v, call) })
		return false
	}
	call()
	v.reached = true
	for _, late := range v.heldBack {
		late()
	}
	v.heldBack = nil
	return true
}

// carryOutLate carries out a call that was delayed on its way to an incarnation. A later incarnation does so only once it has handled a
// call that was sent to itself: before, nothing in the protocol lets it refuse the call.
func (w *Workers) carryOutLate(id string, sentTo *worker, call func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.workers[id]
	if v != sentTo {
		w.crossings++
	}
	if v != sentTo && !v.reached {
		v.heldBack = append(v.heldBack, call)
		return
	}
	call()
}

// workerFor returns the worker that an order goes to, or nil and the answer if the order has no effect. The caller must hold the
// lock.
func (w *Workers) workerFor(id string, token int64) (*worker, sched.OrderAnswer) {
	v := w.workers[id]
	if token < v.fencingToken {
		return nil, sched.AnswerFenced
	}
	v.fencingToken = token
	v.endDueRuns(w, time.Now())
	return v, sched.AnswerOK
}

// endDueRuns ends the runs that are finished or whose lease has expired.
func (v *worker) endDueRuns(w *Workers, now time.Time) {
	for id, a := range v.active {
		switch {
		case a.finishesAt.Before(v.leaseUntil) && now.After(a.finishesAt):
			w.done[id] = append(w.done[id], a.attempt)
			v.endRun(id, sched.AttemptDone)
		case now.After(v.leaseUntil):
			v.endRun(id, sched.AttemptLeaseExpired)
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

// leaseEnd is when a lease ends, by the clock of an incarnation; by that of none if the clock wasn't known when the order was sent.
type leaseEnd struct {
	at          time.Time
	incarnation int64
}

// leaseFrom returns the end of a lease that starts now, by the clock that the last answer to a poll has read. The caller must hold the lock.
func (w *Workers) leaseFrom(id string, lease time.Duration) leaseEnd {
	return leaseEnd{time.Now().Add(lease), w.clocks[id]}
}

// extendLease extends the leases of all runs. An end by another clock than the worker's grants the longest lease.
func (v *worker) extendLease(end leaseEnd) {
	at := end.at
	if longest := time.Now().Add(maxLease); end.incarnation != v.entry.Incarnation || at.After(longest) {
		at = longest
	}
	if at.After(v.leaseUntil) {
		v.leaseUntil = at
	}
}

// Start starts an attempt.
func (w *Workers) Start(_ context.Context, t ports.Target, o sched.StartTask, token int64) sched.StartResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	result := sched.StartResult{Order: o, Answer: sched.AnswerUnknown, GrantedAt: time.Now()}
	end, answer := w.leaseFrom(t.ID, o.Lease), sched.AnswerUnknown
	result.ClockIncarnation = end.incarnation
	if w.send(t.ID, func() { answer = w.start(t, o, end, token) }) {
		result.Answer = answer
		result.Restarted = end.incarnation != 0 && end.incarnation != w.workers[t.ID].entry.Incarnation
	}
	return result
}

// start starts an attempt. The caller must hold the lock.
func (w *Workers) start(t ports.Target, o sched.StartTask, end leaseEnd, token int64) sched.OrderAnswer {
	v, answer := w.workerFor(t.ID, token)
	if v == nil {
		return answer
	}
	v.extendLease(end)
	if a := v.active[o.Task]; a != nil && a.attempt == o.Attempt {
		return sched.AnswerOK
	}
	if o.Attempt <= v.refusedThrough[o.Task] {
		return sched.AnswerSuperseded
	}
	w.recordStart(o.Task)
	v.active[o.Task] = &activeRun{o.Attempt, time.Now().Add(w.taskDuration)}
	return sched.AnswerOK
}

// recordStart records a start, and whether the task runs or has succeeded already. The caller must hold the lock.
func (w *Workers) recordStart(id sched.TaskID) {
	for _, other := range w.workers {
		other.endDueRuns(w, time.Now())
		if other.active[id] != nil {
			w.concurrentRuns = append(w.concurrentRuns, id.String())
		}
	}
	if w.acknowledged[id] {
		w.repeatedRuns = append(w.repeatedRuns, id.String())
	}
	w.superseded[id] = slices.Clone(w.done[id])
	w.starts[id]++
}

// Stop ends an attempt.
func (w *Workers) Stop(_ context.Context, t ports.Target, o sched.StopTask, token int64) sched.OrderAnswer {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer := sched.AnswerUnknown
	if !w.send(t.ID, func() { answer = w.stop(t, o, token) }) {
		return sched.AnswerUnknown
	}
	return answer
}

// stop ends an attempt. The caller must hold the lock.
func (w *Workers) stop(t ports.Target, o sched.StopTask, token int64) sched.OrderAnswer {
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
	unanswered := sched.PollResult{Order: o, Answer: sched.AnswerUnknown, SentAt: time.Now(), GrantedAt: time.Now()}
	end := w.leaseFrom(t.ID, o.Lease)
	unanswered.ClockIncarnation = end.incarnation
	result := unanswered
	if !w.send(t.ID, func() { w.poll(t, end, token, &result) }) {
		return unanswered
	}
	if result.Incarnation != 0 {
		w.clocks[t.ID] = result.Incarnation
	}
	return result
}

// poll fills in the result of a poll. The caller must hold the lock.
func (w *Workers) poll(t ports.Target, end leaseEnd, token int64, result *sched.PollResult) {
	v, answer := w.workerFor(t.ID, token)
	result.Answer = answer
	if v == nil {
		return
	}
	if result.Order.Lease > 0 && end.incarnation != 0 {
		v.extendLease(end)
	}
	for len(v.ended) > 0 && v.ended[0].Number <= result.Order.AckedThrough {
		w.acknowledge(v.ended[0])
		v.ended = v.ended[1:]
	}
	result.Incarnation = v.entry.Incarnation
	result.Ended = append(result.Ended, v.ended...)
	for id, a := range v.active {
		result.Active = append(result.Active, sched.ActiveRun{Task: id, Attempt: a.attempt, SpeedPercent: 100, Load: -1})
	}
}

// acknowledge records that an end is forgotten by its worker. The caller must hold the lock.
func (w *Workers) acknowledge(e sched.EndedRun) {
	if e.Outcome != sched.AttemptDone {
		return
	}
	w.acknowledged[e.Task] = true
	if slices.Contains(w.superseded[e.Task], e.Attempt) {
		w.repeatedRuns = append(w.repeatedRuns, e.Task.String())
	}
}

// Disconnect does nothing, since there are no connections.
func (w *Workers) Disconnect(string) {}
