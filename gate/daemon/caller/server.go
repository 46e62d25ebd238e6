package caller

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"mangowing/core/fold"
	"mangowing/core/proc"
	"mangowing/gate/daemon/relay"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 32 << 10
)

// StateSource returns the folded state and the withdrawals of keys that the log does not have yet.
type StateSource interface {
	State() *fold.State
	IsWithdrawn(hash string) bool
}

// Runner runs one request.
type Runner interface {
	Run(ctx context.Context, r relay.Request, sink relay.Sink) relay.Result
}

// Options are the server's settings.
type Options struct {
	Address      string            // IP number and port
	MaxBodyBytes int               // largest request body
	Metrics      func(w io.Writer) // writes all metrics of the process
	IsSynced     func() bool       // reports whether the gate has the state that requests are checked against
}

// Server serves the HTTP API for callers.
type Server struct {
	process *proc.Process
	states  StateSource
	runner  Runner
	once    Once
	isReady func() bool
	options Options
	http    *http.Server
	active  atomic.Int64
	closing atomic.Bool // each answer ends its connection
}

// New returns the server. isReady reports whether the load balancer may send requests; it is the answer of /readyz.
func New(process *proc.Process, states StateSource, runner Runner, once Once, isReady func() bool, options Options) *Server {
	s := &Server{process: process, states: states, runner: runner, once: once, isReady: isReady, options: options}
	s.http = &http.Server{
		Handler:           s.closeIfStopping(s.routes()),
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s
}

func (s *Server) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/readyz", s.readyz).Methods(http.MethodGet)
	r.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	r.HandleFunc("/v1/queues/{queue}/requests", s.countActive(s.handleRequest)).Methods(http.MethodPost)
	r.HandleFunc("/v1/tickets", s.countActive(s.issueTicket)).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{ticket}", s.countActive(s.ticketOutcome)).Methods(http.MethodGet)
	return r
}

// Serve accepts calls until the context ends or Shutdown is called.
func (s *Server) Serve(ctx context.Context) error {
	listener, err := net.Listen("tcp", s.options.Address)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	klog.InfoS("callers-served", "address", s.options.Address)
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	err = s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return eris.Wrap(err, "serve callers")
}

// ActiveCalls returns the number of calls in progress.
func (s *Server) ActiveCalls() int64 { return s.active.Load() }

// DisableKeepAlives adds "Connection: close" to every further answer. Idle connections stay open until Shutdown: a request may be on its way on
// one, which http.Server.SetKeepAlivesEnabled would cut.
func (s *Server) DisableKeepAlives() { s.closing.Store(true) }

// Shutdown closes the listener and the idle connections and waits for the calls in progress.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

func (s *Server) closeIfStopping(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

func (s *Server) countActive(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.active.Add(1)
		defer s.active.Add(-1)
		h(w, r)
	}
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	s.options.Metrics(w)
}
