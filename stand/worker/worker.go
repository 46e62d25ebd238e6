package worker

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"mangowing/stand/count"
)

const (
	maxKeptOutcomes = 100_000
	idleTimeout     = time.Minute
)

// Config holds the settings of one worker.
type Config struct {
	Name        string        // the VM's name
	Address     string        // host and port to listen on; port 0 picks a free one
	Slots       int           // maximum of requests and tasks that run at once
	Connections int           // maximum of open connections
	UsageLag    time.Duration // how far usage reports lag
}

// Worker is the worker of one VM; it listens from Open until Close.
type Worker struct {
	cfg      Config
	recorder *count.Recorder
	mu       sync.Mutex
	session  *session
	faults   faults
	resumed  chan struct{}
}

// session is the state between Open and Close; a reboot loses it.
type session struct {
	closed        chan struct{}
	server        *http.Server
	connections   atomic.Int64
	running       map[*runningRequest]bool
	outcomes      map[string]bool
	outcomeOrder  []string
	lastRequestID string
	tasks         map[string]*task
	lastToken     uint64
	report        report
}

// report is a snapshot of a worker's usage.
type report struct {
	at      time.Time
	running []runningRequestWire
	tasks   []taskWire
}

// runningRequest is a request that has started; done is closed when it has finished or was interrupted.
type runningRequest struct {
	requestID     string
	team          string
	gate          string
	run           *count.Run
	done          chan struct{}
	isInterrupted bool
}

// New returns a closed worker that records its starts and ends with the recorder.
func New(cfg Config, recorder *count.Recorder) *Worker {
	return &Worker{cfg: cfg, recorder: recorder, resumed: closedChannel()}
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func newSession() *session {
	return &session{
		closed:   make(chan struct{}),
		running:  map[*runningRequest]bool{},
		outcomes: map[string]bool{},
		tasks:    map[string]*task{},
	}
}

// Name returns the VM's name.
func (w *Worker) Name() string { return w.cfg.Name }

// Address returns the host and port; port 0 is replaced by the actual port at the first Open.
func (w *Worker) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cfg.Address
}

// Open starts listening with empty state; it does nothing if the worker is open.
func (w *Worker) Open() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.session != nil {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", w.cfg.Address)
	if err != nil {
		return eris.Wrapf(err, "worker %s", w.cfg.Name)
	}
	w.cfg.Address = listener.Addr().String()
	s := newSession()
	s.server = &http.Server{Handler: w.router(s), ConnState: s.countConnection, IdleTimeout: idleTimeout}
	w.session = s
	go func() { _ = s.server.Serve(listener) }()
	return nil
}

func (s *session) countConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.connections.Add(-1)
	}
}

// Close stops all work, closes all connections and stops listening.
func (w *Worker) Close() {
	w.mu.Lock()
	s := w.session
	w.session = nil
	w.mu.Unlock()
	if s == nil {
		return
	}
	w.stopAll(s)
	_ = s.server.Close()
}

func (w *Worker) stopAll(s *session) {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(s.closed)
	now := time.Now()
	for req := range s.running {
		req.isInterrupted = true
		req.run.End(now, true)
		close(req.done)
	}
	s.running = map[*runningRequest]bool{}
	for _, t := range s.tasks {
		t.end(now, stateStopped)
	}
}

// Tick advances the tasks, and renews the usage report when it is as old as UsageLag; a paused worker does neither.
func (w *Worker) Tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.session == nil || w.isPaused() {
		return
	}
	for _, t := range w.session.tasks {
		t.advance(now, w.faults.failsEverything)
	}
	if now.Sub(w.session.report.at) >= w.cfg.UsageLag {
		w.session.report = w.session.newReport(now)
	}
}

func (s *session) newReport(now time.Time) report {
	r := report{at: now, running: []runningRequestWire{}, tasks: []taskWire{}}
	for req := range s.running {
		r.running = append(r.running, runningRequestWire{req.requestID, req.team, req.gate})
	}
	for _, t := range s.tasks {
		r.tasks = append(r.tasks, t.wire(now))
	}
	return r
}

// abortIfClosed aborts the handler's connection without an answer if the session is closed.
func (s *session) abortIfClosed() {
	select {
	case <-s.closed:
		panic(http.ErrAbortHandler)
	default:
	}
}

// usedSlots returns the number of slots that running requests and active tasks take.
func (s *session) usedSlots() int {
	n := len(s.running)
	for _, t := range s.tasks {
		if t.isActive() {
			n++
		}
	}
	return n
}

func (w *Worker) router(s *session) http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	h := handler{w, s}
	router.HandleFunc("/run", h.handleRun).Methods(http.MethodPost)
	router.HandleFunc("/running", h.handleRunning).Methods(http.MethodGet)
	router.HandleFunc("/outcome/{id}", h.handleOutcome).Methods(http.MethodGet)
	router.HandleFunc("/tasks", h.handleTasks).Methods(http.MethodGet)
	router.HandleFunc("/tasks/{id}", h.handleStartTask).Methods(http.MethodPut)
	router.HandleFunc("/tasks/{id}/{action}", h.handleTaskAction).Methods(http.MethodPost)
	return router
}
