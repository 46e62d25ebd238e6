package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heartbeat  = 1500 * time.Millisecond // heartbeat_ms
	missed     = 3                       // heartbeats after which the entry of a silent worker is removed
	longest    = 6 * time.Second         // hold_max_ms
	stopTime   = 200 * time.Millisecond  // within stop_timeout_ms
	clockSpeed = 0.99                    // of the worker's clock, which may be 2% slow
)

// worker is a stand-in for a worker, by the section "Running tasks" of PROTOCOL.md.
type worker struct {
	world   *world
	id      string
	machine string
	pool    string
	labels  []string
	cpu     int
	memMB   int
	server  *http.Server
	address string

	mu       sync.Mutex
	up       bool
	gone     bool // it never returns
	born     int64
	began    time.Time // of this life
	sequence int64
	beatAt   time.Time // zero if its entry was removed
	token    int64
	leaseEnd time.Time
	leaseNs  atomic.Int64 // leaseEnd in Unix nanoseconds, read without the lock
	lapsedAt time.Time    // when a lease was last found to have lapsed
	runs     map[string]*taskRun
	refused  map[string]int // by task: attempts up to this one are refused
	ends     []runEnd
	endCount int64
	changed  chan struct{}
}

type taskRun struct {
	task     string
	attempt  int
	step     stepSpec
	began    time.Time
	stopping bool
	timer    *time.Timer
}

type runEnd struct {
	number  int64
	task    string
	attempt int
	how     string
	at      time.Time
}

func newWorker(w *world, n int, pool, machine string, cpu int) *worker {
	k := &worker{world: w, id: fmt.Sprintf("i-%03d", n), machine: machine, pool: pool, labels: []string{"a", fmt.Sprintf("r1-%d", n/4)}, cpu: cpu, memMB: 64 << 10}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", k.guarded(k.handleStart))
	mux.HandleFunc("POST /v1/run-stop", k.guarded(k.handleStop))
	mux.HandleFunc("POST /v1/hold", k.guarded(k.handleHold))
	mux.HandleFunc("POST /v1/pace", k.guarded(k.handlePace))
	listener, err := net.Listen("tcp", w.host(100+n)+":0")
	check(err)
	k.address = listener.Addr().String()
	k.server = &http.Server{Handler: mux}
	go func() { _ = k.server.Serve(listener) }()
	k.begin()
	return k
}

// begin starts a new life.
func (k *worker) begin() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.born, k.began = max(k.born+1, time.Now().UnixMilli()), time.Now()
	k.up, k.sequence, k.token, k.endCount, k.ends = true, 0, 0, 0, nil
	k.setLease(time.Now())
	k.runs, k.refused, k.changed = map[string]*taskRun{}, map[string]int{}, make(chan struct{})
	k.beatAt = time.Time{}
}

// crash ends the worker's life: its runs are gone, and its calls get no answer. It starts again under its id after downFor.
func (k *worker) crash(downFor time.Duration) {
	k.mu.Lock()
	k.up = false
	for _, r := range k.runs {
		r.timer.Stop()
		k.world.note("worker %s crashes, and attempt %d of %s with it", k.id, r.attempt, r.task)
		k.world.ran(k, r.task, "lost")
	}
	k.runs, k.ends = map[string]*taskRun{}, nil
	k.mu.Unlock()
	time.AfterFunc(downFor, func() {
		k.begin()
		k.world.note("worker %s starts again", k.id)
	})
}

// leave ends the worker for good, with all that runs on it.
func (k *worker) leave() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.up, k.gone = false, true
	for _, r := range k.runs {
		r.timer.Stop()
		k.world.note("worker %s leaves, and attempt %d of %s ends with it", k.id, r.attempt, r.task)
		k.world.ran(k, r.task, "lost")
	}
	k.runs, k.ends = map[string]*taskRun{}, nil
	k.world.log.put("keyed.servers", k.id, nil)
	k.beatAt = time.Time{}
}

// tick writes the worker's entry and ends runs whose lease has run out.
func (k *worker) tick(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.up {
		if !k.gone && !k.beatAt.IsZero() && now.Sub(k.beatAt) > missed*heartbeat {
			k.beatAt = time.Time{}
			k.world.log.put("keyed.servers", k.id, nil)
		}
		return
	}
	if now.After(k.leaseEnd) {
		k.lapsedAt = now
		for _, r := range k.runs {
			k.end(r, "lapsed")
		}
	}
	if now.Sub(k.beatAt) >= heartbeat {
		k.beatAt = now
		k.sequence++
		entry, err := json.Marshal(map[string]any{
			"service": k.pool, "address": k.address, "zone": zoneName, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "sequence": k.sequence,
			"capacity": map[string]int{"cpu": k.cpu, "mem_mb": k.memMB, "gpu": 0}, "labels": k.labels, "host_machine": k.machine, "born": k.born,
		})
		check(err)
		k.world.log.put("keyed.servers", k.id, entry)
	}
}

func (k *worker) clock() int64 { return int64(time.Since(k.began).Seconds() * clockSpeed * 1000) }

type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMs *int64 `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

// guarded decodes a call, and answers it unless the worker is down. A worker that is down leaves it unanswered.
func (k *worker) guarded(handle func(*order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		isOrder := r.URL.Path == "/v1/run-start" || r.URL.Path == "/v1/run-stop"
		if delay, late := k.world.delayOf(); isOrder && late {
			time.AfterFunc(delay, func() { k.carryOutLate(handle, &o, delay) })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		k.mu.Lock()
		born := k.born
		status, answer := 0, map[string]any(nil)
		switch expected := r.Header.Get("Mangowing-Expected-Instance"); {
		case !k.up:
		case expected != "" && expected != k.id:
			status, answer = http.StatusMisdirectedRequest, map[string]any{}
		case o.Token < k.token:
			status, answer = http.StatusConflict, map[string]any{"reason": "fence"}
		default:
			k.token = o.Token
			status, answer = handle(&o)
		}
		isAnswered := k.up && k.born == born && status != 0
		if isAnswered {
			answer["clock_ms"] = k.clock()
		}
		k.mu.Unlock()
		if !isAnswered {
			k.stayQuiet(r, born)
			panic(http.ErrAbortHandler)
		}
		answerJSON(w, status, answer)
	}
}

// carryOutLate carries out an order that had no answer. It is lost if the worker is down.
func (k *worker) carryOutLate(handle func(*order) (int, map[string]any), o *order, delay time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.up || o.Token < k.token {
		return
	}
	k.token = o.Token
	status, _ := handle(o)
	k.world.note("worker %s carries out an order for attempt %d of %s, %.1f s late: %d", k.id, o.Attempt, o.Task, delay.Seconds(), status)
}

// stayQuiet waits until the caller has given up, or the worker has started again.
func (k *worker) stayQuiet(r *http.Request, born int64) {
	for {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(50 * time.Millisecond):
		}
		k.mu.Lock()
		hasReturned := k.up && k.born != born
		k.mu.Unlock()
		if hasReturned {
			return
		}
	}
}

func (k *worker) setLease(end time.Time) {
	k.leaseEnd = end
	k.leaseNs.Store(end.UnixNano())
}

// holdsLease reports whether what runs on the worker may run now.
func (k *worker) holdsLease() bool { return time.Now().UnixNano() < k.leaseNs.Load() }

func (k *worker) extendLease(deadline *int64) {
	if deadline == nil {
		return
	}
	left := min(longest, time.Duration(*deadline-k.clock())*time.Millisecond)
	if end := time.Now().Add(time.Duration(float64(left) / clockSpeed)); end.After(k.leaseEnd) {
		k.setLease(end)
	}
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func (k *worker) handleStart(o *order) (int, map[string]any) {
	if r := k.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		k.extendLease(o.DeadlineMs)
		return http.StatusOK, map[string]any{}
	}
	if o.DeadlineMs != nil && *o.DeadlineMs < k.clock() {
		return refuse("late")
	}
	k.extendLease(o.DeadlineMs)
	if o.DeadlineMs == nil {
		k.setLease(time.Now().Add(longest))
	}
	if o.Attempt <= k.refused[o.Task] || k.runs[o.Task] != nil {
		return refuse("old")
	}
	step, known := k.world.stepOf(o.Task)
	if !known {
		k.world.note("worker %s is told to start %s, which nobody sent", k.id, o.Task)
		return http.StatusBadRequest, map[string]any{}
	}
	used := step.CPU
	for _, r := range k.runs {
		used += r.step.CPU
	}
	if used > k.cpu {
		return refuse("room")
	}
	r := &taskRun{task: o.Task, attempt: o.Attempt, step: step, began: time.Now()}
	born := k.born
	r.timer = time.AfterFunc(step.duration(), func() { k.finish(r, born, "done") })
	k.runs[o.Task] = r
	k.world.note("worker %s starts attempt %d of %s", k.id, o.Attempt, o.Task)
	k.world.started(k, o.Task, o.Attempt)
	return http.StatusOK, map[string]any{}
}

func (k *worker) finish(r *taskRun, born int64, how string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.up && k.born == born && k.runs[r.task] == r {
		k.end(r, how)
	}
}

// end ends a run and lists its end. The lock must be held.
func (k *worker) end(r *taskRun, how string) {
	r.timer.Stop()
	delete(k.runs, r.task)
	k.refused[r.task] = max(k.refused[r.task], r.attempt)
	k.endCount++
	k.ends = append(k.ends, runEnd{k.endCount, r.task, r.attempt, how, time.Now()})
	k.world.note("attempt %d of %s ends %s on worker %s", r.attempt, r.task, how, k.id)
	k.world.ran(k, r.task, how)
	close(k.changed)
	k.changed = make(chan struct{})
}

func (k *worker) handleStop(o *order) (int, map[string]any) {
	k.refused[o.Task] = max(k.refused[o.Task], o.Attempt)
	if r := k.runs[o.Task]; r != nil && r.attempt == o.Attempt && !r.stopping {
		r.stopping = true
		born := k.born
		k.world.note("worker %s is told to stop attempt %d of %s", k.id, o.Attempt, o.Task)
		k.world.stops(o.Task, r.step)
		time.AfterFunc(stopTime, func() { k.finish(r, born, "stopped") })
	}
	return http.StatusOK, map[string]any{}
}

func (k *worker) handlePace(*order) (int, map[string]any) {
	return http.StatusOK, map[string]any{}
}

func (k *worker) handleHold(o *order) (int, map[string]any) {
	k.extendLease(o.DeadlineMs)
	for len(k.ends) > 0 && k.ends[0].number <= o.LastSeen {
		if k.ends[0].how == "done" && !k.lapsedAt.After(k.ends[0].at) {
			k.world.takeNote(k.ends[0].task)
		}
		k.ends = k.ends[1:]
	}
	if len(k.ends) == 0 && o.WaitMs > 0 {
		changed := k.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
		k.mu.Lock()
	}
	if !k.up {
		return 0, nil
	}
	active, finished := [][]any{}, [][]any{}
	for _, r := range k.runs {
		checkpoint := ""
		if r.step.Checkpoints {
			checkpoint = k.world.checkpoint
		}
		if !r.stopping {
			active = append(active, []any{r.task, r.attempt, checkpoint, 100, r.step.CPU})
		}
	}
	for _, e := range k.ends[:min(500, len(k.ends))] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.how, ""})
	}
	return http.StatusOK, map[string]any{"active": active, "finished": finished, "born": k.born}
}

func (k *worker) isUp() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.up
}
