package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat     = 1500 * time.Millisecond
	workerCPU     = 16000
	workerMemMB   = 64 << 10
	endsPerAnswer = 500
)

// worker is a stand-in of a worker. A crash ends its life with all its connections; start begins the next one under the same id and address.
type worker struct {
	lab     *lab
	n       int
	id      string
	machine string
	address string // where the system reaches it: its proxy
	labels  []string
	proxy   *proxy
	onStart func(w *worker, task string, attempt int) // called without the lock after a start

	mu   sync.Mutex
	life *life // nil while it is down
}

// life is one incarnation of a worker.
type life struct {
	born     int64
	clock    time.Time
	server   *http.Server
	listener net.Listener
	stop     chan struct{}
	sequence int
	token    int64
	leaseEnd time.Time // zero until the first order with a deadline: a new life has granted nothing
	lapsedAt time.Time // when the lease was last found to have run out
	runs     map[string]*workerRun
	refused  map[string]int // by task: attempts up to this number are refused
	ends     []workerEnd
	endCount int64
	ended    chan struct{}
}

type workerRun struct {
	task     string
	attempt  int
	cpu      int
	at       time.Time
	endsAt   time.Time
	outcome  string
	stopping bool
}

type workerEnd struct {
	number  int64
	task    string
	attempt int
	outcome string
}

func newWorker(l *lab, n int, labels []string) *worker {
	return &worker{lab: l, n: n, id: fmt.Sprintf("i-%06d", n), machine: fmt.Sprintf("m-%06d", n), labels: labels}
}

// start begins a life.
func (w *worker) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if w.proxy == nil {
		if w.proxy, err = newProxy(); err != nil {
			return err
		}
		w.address = w.proxy.address
	}
	now := time.Now()
	f := &life{
		born: now.UnixMilli(), clock: now, listener: listener, stop: make(chan struct{}), runs: map[string]*workerRun{},
		refused: map[string]int{}, ended: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.handler(f, w.startRun))
	mux.HandleFunc("POST /v1/run-stop", w.handler(f, w.stopRun))
	mux.HandleFunc("POST /v1/hold", w.handler(f, w.hold))
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	f.server = &http.Server{Handler: mux}
	w.mu.Lock()
	w.life = f
	w.mu.Unlock()
	w.register(f)
	w.proxy.forwardTo(listener.Addr().String())
	w.proxy.setCut(false)
	go func() { _ = f.server.Serve(listener) }()
	go w.tick(f)
	w.lab.note("worker %s starts, born %d", w.id, f.born)
	return nil
}

// crash ends the life at once, as SIGKILL does.
func (w *worker) crash() {
	w.mu.Lock()
	f := w.life
	w.life = nil
	if f == nil {
		w.mu.Unlock()
		return
	}
	close(f.stop)
	runs := f.runs
	f.runs = map[string]*workerRun{}
	w.mu.Unlock()
	w.proxy.forwardTo("")
	_ = f.server.Close()
	for _, r := range runs {
		w.lab.addEvent(r.task, event{time.Now(), "crashed", r.attempt, w.id, f.born, false})
	}
	w.lab.note("worker %s crashes", w.id)
}

func (w *worker) setOnStart(f func(w *worker, task string, attempt int)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onStart = f
}

// register writes the worker's entry to the list of workers.
func (w *worker) register(f *life) {
	f.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": service, "address": w.address, "zone": "hall-1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": workerCPU, "mem_mb": workerMemMB, "gpu": 0}, "labels": w.labels, "sequence": f.sequence,
		"host_machine": w.machine, "born": f.born, "clock_ms": f.clockMs(),
	})
	w.lab.log.put("keyed.servers", w.id, entry)
}

// checkLease remembers that the lease has run out.
func (f *life) checkLease(now time.Time) {
	if !f.leaseEnd.IsZero() && now.After(f.leaseEnd) {
		f.lapsedAt = now
	}
}

func (f *life) clockMs() int64 { return 1 + time.Since(f.clock).Milliseconds() }

// tick ends runs whose time has come, and sends pings.
func (w *worker) tick(f *life) {
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	lastPing := time.Now()
	for {
		select {
		case <-f.stop:
			return
		case now := <-ticker.C:
			w.mu.Lock()
			if w.life != f {
				w.mu.Unlock()
				return
			}
			f.checkLease(now)
			for _, r := range f.runs {
				if now.After(f.leaseEnd) {
					w.endRun(f, r, "lapsed")
				} else if now.After(r.endsAt) {
					w.endRun(f, r, r.outcome)
				}
			}
			w.mu.Unlock()
			if now.Sub(lastPing) >= heartbeat {
				lastPing = now
				w.register(f)
			}
		}
	}
}

// endRun lists the end of a run. The lock must be held.
func (w *worker) endRun(f *life, r *workerRun, outcome string) {
	delete(f.runs, r.task)
	f.refused[r.task] = max(f.refused[r.task], r.attempt)
	f.endCount++
	f.ends = append(f.ends, workerEnd{f.endCount, r.task, r.attempt, outcome})
	close(f.ended)
	f.ended = make(chan struct{})
	w.lab.addEvent(r.task, event{time.Now(), outcome, r.attempt, w.id, f.born, false})
}

// order is a call of the system to a worker.
type order struct {
	Task       string `json:"task"`
	Attempt    int    `json:"attempt"`
	Spec       string `json:"spec"`
	DeadlineMs *int64 `json:"deadline_ms"`
	Token      int64  `json:"fencing_token"`
	LastSeen   int64  `json:"last_seen"`
	WaitMs     int64  `json:"wait_ms"`
}

// handler checks the header of the intended incarnation and the fence number, and carries the order out.
func (w *worker) handler(f *life, handle func(f *life, o order) (int, map[string]any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		raw, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if expected := r.Header.Get("Mangowing-Expected-Instance"); expected != "" && expected != w.id {
			rw.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var o order
		if err := json.Unmarshal(raw, &o); err != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		w.mu.Lock()
		if w.life != f {
			w.mu.Unlock()
			return
		}
		var status int
		var answer map[string]any
		if o.Token < f.token {
			status, answer = http.StatusConflict, map[string]any{"reason": "fence"}
		} else {
			f.token = o.Token
			status, answer = handle(f, o)
		}
		onStart := w.onStart
		w.mu.Unlock()
		answer["clock_ms"] = f.clockMs()
		if r.URL.Path == "/v1/hold" {
			if runs, _ := answer["active"].([][]any); len(runs) > 0 && o.WaitMs == 0 {
				w.lab.note("hold on %s lists %v", w.id, runs)
			}
			time.Sleep(w.lab.holdDelay)
		}
		reply(rw, status, answer)
		if r.URL.Path == "/v1/run-start" {
			w.lab.note("run-start %s attempt %d on %s: %d %v", o.Task, o.Attempt, w.id, status, answer)
			if status == http.StatusOK && onStart != nil {
				onStart(w, o.Task, o.Attempt)
			}
		}
	}
}

// extendLease takes a lease time over. A lease never shortens, and never exceeds the most that the worker grants.
func (w *worker) extendLease(f *life, deadlineMs *int64) {
	if deadlineMs == nil {
		return
	}
	now := time.Now()
	f.checkLease(now)
	end := now.Add(min(w.lab.holdMax, time.Duration(*deadlineMs-f.clockMs())*time.Millisecond))
	if end.After(f.leaseEnd) {
		f.leaseEnd = end
	}
}

var duration = regexp.MustCompile(`ms=([0-9]+)`)

func (w *worker) startRun(f *life, o order) (int, map[string]any) {
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if r := f.runs[o.Task]; r != nil && r.attempt == o.Attempt {
		w.extendLease(f, o.DeadlineMs)
		return http.StatusOK, map[string]any{}
	}
	if o.DeadlineMs != nil && *o.DeadlineMs < f.clockMs() {
		return refuse("late")
	}
	w.extendLease(f, o.DeadlineMs)
	if o.Attempt <= f.refused[o.Task] || f.runs[o.Task] != nil {
		return refuse("old")
	}
	if o.DeadlineMs == nil {
		f.leaseEnd = time.Now().Add(w.lab.holdMax)
	}
	ms := 500
	if found := duration.FindStringSubmatch(o.Spec); found != nil {
		ms, _ = strconv.Atoi(found[1])
	}
	now := time.Now()
	f.runs[o.Task] = &workerRun{task: o.Task, attempt: o.Attempt, at: now, endsAt: now.Add(time.Duration(ms) * time.Millisecond), outcome: "done"}
	w.lab.addEvent(o.Task, event{now, "start", o.Attempt, w.id, f.born, false})
	return http.StatusOK, map[string]any{}
}

func (w *worker) stopRun(f *life, o order) (int, map[string]any) {
	f.refused[o.Task] = max(f.refused[o.Task], o.Attempt)
	if r := f.runs[o.Task]; r != nil && r.attempt <= o.Attempt && !r.stopping {
		r.stopping, r.outcome, r.endsAt = true, "stopped", time.Now().Add(w.lab.stopTime)
		w.lab.note("%s attempt %d on %s is being stopped", o.Task, o.Attempt, w.id)
	}
	return http.StatusOK, map[string]any{}
}

// hold renews the lease, forgets the ends up to last_seen, and lists the others and what runs.
func (w *worker) hold(f *life, o order) (int, map[string]any) {
	f.checkLease(time.Now())
	w.extendLease(f, o.DeadlineMs)
	for _, e := range f.ends {
		if e.number <= o.LastSeen {
			w.lab.noteEnd(e.task, e.attempt, w.id, f.born, f.lapsedAt)
			w.lab.note("last_seen %d reaches end %d on %s (born %d): %s attempt %d, %s", o.LastSeen, e.number, w.id, f.born, e.task, e.attempt, e.outcome)
		}
	}
	f.ends = slices.DeleteFunc(f.ends, func(e workerEnd) bool { return e.number <= o.LastSeen })
	if len(f.ends) == 0 && o.WaitMs > 0 {
		ended := f.ended
		w.mu.Unlock()
		select {
		case <-ended:
		case <-f.stop:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		}
		w.mu.Lock()
	}
	active, finished := [][]any{}, [][]any{}
	for _, r := range f.runs {
		if !r.stopping {
			percent := 100
			if time.Since(r.at) < 50*time.Millisecond {
				percent = 0
			}
			active = append(active, []any{r.task, r.attempt, "", percent, 0})
		}
	}
	for _, e := range f.ends[:min(len(f.ends), endsPerAnswer)] {
		finished = append(finished, []any{e.number, e.task, e.attempt, e.outcome, ""})
	}
	return http.StatusOK, map[string]any{"born": f.born, "active": active, "finished": finished}
}
