package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// worker is a stand-in for a worker, by PROTOCOL.md, "Running tasks" and "Service discovery".
type worker struct {
	d       *deployment
	id      string
	machine string
	service string
	cpu     int
	mem     int
	proxy   *proxy
	server  *http.Server

	mu          sync.Mutex
	born        int64
	clockStart  time.Time
	token       int64
	leaseEnd    time.Time
	leaseLapsed time.Time // when the lease last lapsed
	runs        map[string]*run
	barred      map[string]int // by task: attempts up to this number are rejected
	ends        []runEnd
	endCount    int64
	endAdded    chan struct{}
	usedCPU     int
	sequence    int64
	stopped     chan struct{}
}

type run struct {
	task      string
	attempt   int
	cpu       int
	stopping  bool
	timer     *time.Timer
	startedAt time.Time
	result    string
	saved     time.Duration // work that was saved before this run; its checkpoint is named in the start
	saves     bool
}

type runEnd struct {
	number  int64
	task    string
	attempt int
	result  string
	saved   string
	endedAt time.Time
}

// checkpoint returns the run's newest checkpoint, empty if there is none: 8 digits for the saved work in ms, 8 for the task.
func (r *run) checkpoint() string {
	saved := r.saved + time.Since(r.startedAt).Truncate(checkpointTime)
	if !r.saves || saved == 0 {
		return ""
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(r.task))
	return fmt.Sprintf("%08x%08x", saved.Milliseconds(), h.Sum32())
}

// savedWork returns the work that a checkpoint saves.
func savedWork(checkpoint string) time.Duration {
	if len(checkpoint) != 16 {
		return 0
	}
	ms, _ := strconv.ParseInt(checkpoint[:8], 16, 64)
	return time.Duration(ms) * time.Millisecond
}

const (
	maxLease       = 6 * time.Second        // hold_max_ms
	stopTime       = 100 * time.Millisecond // at most stop_timeout_ms, 200
	heartbeat      = 1500 * time.Millisecond
	checkpointTime = 500 * time.Millisecond // checkpoint_s
	endsInAnswer   = 500                    // "The others are returned again (500 at a time)."
)

func newWorker(d *deployment, id, machine, service string, cpu, mem int) *worker {
	w := &worker{d: d, id: id, machine: machine, service: service, cpu: cpu, mem: mem, stopped: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/run-start", w.handler(w.start))
	mux.HandleFunc("/v1/run-stop", w.handler(w.stop))
	mux.HandleFunc("/v1/hold", w.handler(w.hold))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(listener) }()
	w.proxy = newProxy(listener.Addr().String())
	w.beBorn()
	go w.beat()
	return w
}

// beBorn starts an incarnation, which holds and knows nothing of before.
func (w *worker) beBorn() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.born, w.clockStart, w.token, w.leaseEnd = now.UnixMilli(), now, 0, now.Add(maxLease)
	w.runs, w.barred, w.ends, w.endCount, w.usedCPU, w.sequence = map[string]*run{}, map[string]int{}, nil, 0, 0, 0
	w.endAdded = make(chan struct{})
}

// crash ends all runs without a trace.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		r.timer.Stop()
		w.d.book.ended(w, r.task, r.attempt, "crashed")
	}
	w.runs = map[string]*run{}
}

func (w *worker) beat() {
	next := time.Now()
	for {
		now := time.Now()
		w.mu.Lock()
		w.checkLease(now)
		if !now.Before(next) {
			next = now.Add(heartbeat)
			w.sequence++
			w.writeEntry()
		}
		w.mu.Unlock()
		select {
		case <-w.stopped:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// writeEntry writes the worker's report about itself, unless the worker is cut off. The lock must be held.
func (w *worker) writeEntry() {
	if w.proxy.isCut() {
		return
	}
	raw, _ := json.Marshal(map[string]any{
		"service": w.service, "address": w.proxy.address(), "zone": zone, "version": "1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born, "host_machine": w.machine, "labels": []string{"a", "r1"},
		"capacity": map[string]int{"cpu": w.cpu, "mem_mb": w.mem},
	})
	w.d.log.put("servers", w.id, raw)
}

func (w *worker) clock() int64 { return 1000 + time.Since(w.clockStart).Milliseconds() }

// checkLease kills everything if the lease has expired. The lock must be held.
func (w *worker) checkLease(now time.Time) {
	if !now.After(w.leaseEnd) {
		return
	}
	w.leaseLapsed = now
	for _, r := range w.runs {
		r.timer.Stop()
		w.end(r, "lapsed")
	}
}

func (w *worker) end(r *run, result string) {
	delete(w.runs, r.task)
	w.usedCPU -= r.cpu
	w.barred[r.task] = max(w.barred[r.task], r.attempt)
	w.endCount++
	w.ends = append(w.ends, runEnd{w.endCount, r.task, r.attempt, result, r.checkpoint(), time.Now()})
	w.d.book.ended(w, r.task, r.attempt, result)
	close(w.endAdded)
	w.endAdded = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline *int64 `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	LastSeen int64  `json:"last_seen"`
	WaitMs   int64  `json:"wait_ms"`

	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
}

func (w *worker) handler(handle func(order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		var o order
		if json.Unmarshal(raw, &o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("Mangowing-Expected-Instance") != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.mu.Lock()
		w.checkLease(time.Now())
		status, answer := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Token >= w.token {
			w.token = o.Token
			status, answer = handle(o)
		}
		answer["clock_ms"] = w.clock()
		if _, isList := answer["active"]; isList {
			answer["born"] = w.born
		}
		w.mu.Unlock()
		writeJSON(rw, status, answer)
	}
}

func (w *worker) renew(deadline *int64) {
	if deadline == nil {
		return
	}
	left := min(maxLease, time.Duration(*deadline-w.clock())*time.Millisecond)
	if end := time.Now().Add(left); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

func refuse(reason string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": reason}
}

func accept() (int, map[string]any) { return http.StatusOK, map[string]any{} }

func (w *worker) start(o order) (int, map[string]any) {
	if r := w.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		w.renew(o.Deadline)
		return accept()
	}
	if o.Deadline != nil && *o.Deadline < w.clock() {
		return refuse("late")
	}
	if len(w.runs) == 0 && o.Deadline == nil {
		w.leaseEnd = time.Now().Add(maxLease)
	}
	w.renew(o.Deadline)
	if o.Attempt <= w.barred[o.Task] || w.runs[o.Task] != nil {
		return refuse("old")
	}
	if w.d.advisor != nil && !w.d.advisor.allows(w, o) {
		return refuse("ticket")
	}
	step, found := w.d.book.step(o.Task)
	if !found {
		w.d.book.broke("UNASKED", fmt.Sprintf("%s, which nobody sent, is started on %s", o.Task, w.id))
		return http.StatusBadRequest, map[string]any{}
	}
	if w.usedCPU+step.CPU > w.cpu {
		return refuse("room")
	}
	r := &run{task: o.Task, attempt: o.Attempt, cpu: step.CPU, startedAt: time.Now(), result: "done", saved: savedWork(o.Checkpoint), saves: step.Checkpointing}
	w.runs[o.Task] = r
	w.usedCPU += step.CPU
	w.d.book.started(w, o.Task, o.Attempt)
	born := w.born
	r.timer = time.AfterFunc(max(0, step.duration(o.Task)-r.saved), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.born == born && w.runs[o.Task] == r && !r.stopping {
			w.end(r, r.result)
		}
	})
	return accept()
}

func (w *worker) stop(o order) (int, map[string]any) {
	w.barred[o.Task] = max(w.barred[o.Task], o.Attempt)
	if r := w.runs[o.Task]; r != nil && r.attempt == o.Attempt && !r.stopping {
		r.stopping = true
		born := w.born
		r.timer.Stop()
		r.timer = time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.born == born && w.runs[o.Task] == r {
				w.end(r, "stopped")
			}
		})
	}
	return accept()
}

func (w *worker) hold(o order) (int, map[string]any) {
	w.renew(o.Deadline)
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number <= o.LastSeen {
			w.d.book.noted(w, e)
			continue
		}
		kept = append(kept, e)
	}
	w.ends = kept
	if len(w.ends) == 0 && o.WaitMs > 0 {
		added := w.endAdded
		w.mu.Unlock()
		select {
		case <-added:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
		w.mu.Lock()
	}
	active, finished := [][]any{}, [][]any{}
	for _, r := range w.runs {
		if !r.stopping {
			active = append(active, []any{r.task, r.attempt, r.checkpoint(), 100})
		}
	}
	for _, e := range w.ends[:min(len(w.ends), endsInAnswer)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.result, e.saved})
	}
	if n := len(w.ends); n > endsInAnswer {
		w.d.book.note("%s lists %d of %d ends", w.id, endsInAnswer, n)
	}
	return http.StatusOK, map[string]any{"active": active, "finished": finished}
}

func (w *worker) counts() (running int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

func itoa(n int) string { return strconv.Itoa(n) }
