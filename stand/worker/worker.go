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
	maxOutcomesKept = 100_000
	idleTimeout     = time.Minute
)

// Config is what a worker consists of.
type Config struct {
	Name        string        // the VM's name
	Address     string        // host and port to listen at, any free port for port 0
	Slots       int           // requests and tasks that run at once at most
	Connections int           // connections open at once at most
	UsageLag    time.Duration // how old reports of usage are at most
}

// Worker is one VM's worker; Open makes it reachable.
type Worker struct {
	cfg     Config
	board   *count.Recorder
	mu      sync.Mutex
	life    *life
	faults  faults
	resumed chan struct{}
}

// life is what a worker forgets when it ends or reboots.
type life struct {
	dead     chan struct{}
	server   *http.Server
	open     atomic.Int64
	running  map[*work]bool
	outcomes map[string]bool
	order    []string
	lastID   string
	tasks    map[string]*task
	token    uint64
	report   report
}

// report is a worker's usage as it was at a time.
type report struct {
	at      time.Time
	running []runningRequestWire
	tasks   []taskWire
}

// work is one request that runs or ran.
type work struct {
	requestID string
	team      string
	gate      string
	run       *count.Run
	done      chan struct{}
	cut       bool
}

// New returns a worker that counts its starts on the board.
func New(cfg Config, board *count.Recorder) *Worker {
	return &Worker{cfg: cfg, board: board, resumed: closedChannel()}
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func newLife() *life {
	return &life{
		dead:     make(chan struct{}),
		running:  map[*work]bool{},
		outcomes: map[string]bool{},
		tasks:    map[string]*task{},
	}
}

// Name returns the VM's name.
func (w *Worker) Name() string { return w.cfg.Name }

// Address returns host and port; the port is known once the worker was open.
func (w *Worker) Address() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cfg.Address
}

// Open starts to listen with nothing remembered; it does nothing for an open worker.
func (w *Worker) Open() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life != nil {
		return nil
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", w.cfg.Address)
	if err != nil {
		return eris.Wrapf(err, "worker %s", w.cfg.Name)
	}
	w.cfg.Address = listener.Addr().String()
	l := newLife()
	l.server = &http.Server{Handler: w.router(l), ConnState: l.noteConn, IdleTimeout: idleTimeout}
	w.life = l
	go func() { _ = l.server.Serve(listener) }()
	return nil
}

func (l *life) noteConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.open.Add(1)
	case http.StateClosed, http.StateHijacked:
		l.open.Add(-1)
	}
}

// Close ends all work, closes every connection and stops listening.
func (w *Worker) Close() {
	w.mu.Lock()
	l := w.life
	w.life = nil
	w.mu.Unlock()
	if l == nil {
		return
	}
	w.cutAll(l)
	_ = l.server.Close()
}

func (w *Worker) cutAll(l *life) {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(l.dead)
	now := time.Now()
	for job := range l.running {
		job.cut = true
		job.run.End(now, true)
		close(job.done)
	}
	l.running = map[*work]bool{}
	for _, t := range l.tasks {
		t.end(now, stateStopped)
	}
}

// Tick advances tasks and renews the usage report once it is older than the lag.
func (w *Worker) Tick(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.life == nil || w.isPaused() {
		return
	}
	for _, t := range w.life.tasks {
		t.advance(now, w.faults.failsEverything)
	}
	if now.Sub(w.life.report.at) >= w.cfg.UsageLag {
		w.life.report = w.life.newReport(now)
	}
}

func (l *life) newReport(now time.Time) report {
	r := report{at: now, running: []runningRequestWire{}, tasks: []taskWire{}}
	for job := range l.running {
		r.running = append(r.running, runningRequestWire{job.requestID, job.team, job.gate})
	}
	for _, t := range l.tasks {
		r.tasks = append(r.tasks, t.wire(now))
	}
	return r
}

// abortIfDead ends the handler's connection without an answer once this life is over.
func (l *life) abortIfDead() {
	select {
	case <-l.dead:
		panic(http.ErrAbortHandler)
	default:
	}
}

// inUse returns how many slots are taken.
func (l *life) inUse() int {
	n := len(l.running)
	for _, t := range l.tasks {
		if t.active() {
			n++
		}
	}
	return n
}

func (w *Worker) router(l *life) http.Handler {
	router := mux.NewRouter().UseEncodedPath()
	h := handler{w, l}
	router.HandleFunc("/run", h.handleRun).Methods(http.MethodPost)
	router.HandleFunc("/running", h.handleRunning).Methods(http.MethodGet)
	router.HandleFunc("/outcome/{id}", h.handleOutcome).Methods(http.MethodGet)
	router.HandleFunc("/tasks", h.handleTasks).Methods(http.MethodGet)
	router.HandleFunc("/tasks/{id}", h.handleStartTask).Methods(http.MethodPut)
	router.HandleFunc("/tasks/{id}/{action}", h.handleTaskAction).Methods(http.MethodPost)
	return router
}
