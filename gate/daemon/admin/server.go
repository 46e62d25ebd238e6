package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"mangowing/core/codes"
	"mangowing/core/fold"
	"mangowing/core/proc"
	"mangowing/core/record"
	"mangowing/gate/daemon/queue"
	"mangowing/gate/daemon/state"
	"mangowing/gate/daemon/vmlist"
	"mangowing/gate/peers"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxBodyBytes      = 8 << 20
	bearer            = "Bearer "
)

// Control returns the gate's folded state and appends records to the log.
type Control interface {
	State() *fold.State
	StalenessMs() int64
	IsLogReachable() bool
	Withdraw(ctx context.Context, hash string)
	IsWithdrawn(hash string) bool
	AppendWithOffsets(ctx context.Context, records []record.Record) ([]state.AppendResult, error)
	AwaitOffset(ctx context.Context, offset uint64, wait time.Duration) bool
}

// Membership returns the membership view.
type Membership interface {
	View() *peers.View
}

// Peers calls the other gates and registers handlers for their calls.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
	Handle(method string, h peers.Handler)
}

// PoolLoads returns the load of a pool, and whether this gate dispatches it.
type PoolLoads interface {
	Load(pool string) (queue.PoolLoad, bool)
}

// Rights returns how many of a team's rights this gate has in use and available.
type Rights interface {
	Usage(team string) (inUse, available int)
}

// Platform fences VMs.
type Platform interface {
	Fence(ctx context.Context, vm string, generation uint64, requestID string) error
}

// VMListSource returns the VM list.
type VMListSource interface {
	List() *vmlist.List
}

// Deps are the server's dependencies and settings.
type Deps struct {
	Process   *proc.Process     // the process
	Control   Control           // the gate's folded state and the log
	Members   Membership        // the membership view
	Peers     Peers             // calls between gates
	PoolLoads PoolLoads         // the load of the pools that this gate dispatches
	Rights    Rights            // the teams' rights at this gate
	Platform  Platform          // fences VMs
	Lists     VMListSource      // the VM list
	Address   string            // listening address, as ip:port
	KeyHashes []string          // hex SHA-256 hashes of the operators' keys
	TLS       *tls.Config       // nil for an unencrypted listener
	Metrics   func(w io.Writer) // writes all metrics of the process
}

// Server serves the operators' HTTP API.
type Server struct {
	deps Deps
	http *http.Server
}

// New returns the server and registers its handlers for calls of other gates.
func New(d Deps) *Server {
	s := &Server{deps: d}
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: readHeaderTimeout}
	d.Peers.Handle(methodLoad, s.handleLoad)
	d.Peers.Handle(methodEvents, s.handleEvents)
	return s
}

func (s *Server) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/metrics", s.metrics).Methods(http.MethodGet)
	ops := r.PathPrefix("/ops/v1").Subrouter()
	ops.Use(s.authorize)
	ops.HandleFunc("/objects", s.objects).Methods(http.MethodGet)
	ops.HandleFunc("/changes", s.change).Methods(http.MethodPost)
	ops.HandleFunc("/history", s.history).Methods(http.MethodGet)
	ops.HandleFunc("/keys", s.keys).Methods(http.MethodGet)
	ops.HandleFunc("/keys", s.grantKey).Methods(http.MethodPost)
	ops.HandleFunc("/keys/withdraw", s.withdrawKey).Methods(http.MethodPost)
	ops.HandleFunc("/status", s.status).Methods(http.MethodGet)
	ops.HandleFunc("/events", s.events).Methods(http.MethodGet)
	ops.HandleFunc("/moves", s.move).Methods(http.MethodPost)
	ops.HandleFunc("/vms/{vm}/fence", s.fence).Methods(http.MethodPost)
	ops.HandleFunc("/waves", s.waves).Methods(http.MethodGet)
	ops.HandleFunc("/waves/{wave}/{step:start|pause|resume|cancel}", s.stepWave).Methods(http.MethodPost)
	return r
}

// Serve accepts operators' connections until the context ends.
func (s *Server) Serve(ctx context.Context) error {
	listener, err := s.listen()
	if err != nil {
		return eris.Wrap(err, "listen for operators")
	}
	stop := context.AfterFunc(ctx, func() { _ = s.http.Close() })
	defer stop()
	err = s.http.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return eris.Wrap(err, "serve operators")
}

func (s *Server) listen() (net.Listener, error) {
	if s.deps.TLS != nil {
		return tls.Listen("tcp", s.deps.Address, s.deps.TLS)
	}
	return net.Listen("tcp", s.deps.Address)
}

func (s *Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearer)
		if !ok || !s.isOperatorKey(key) {
			writeError(w, codes.Errorf(codes.OperatorUnknown, ""))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// isOperatorKey reports whether the key is an operator's. It compares with every hash in constant time.
func (s *Server) isOperatorKey(key string) bool {
	sum := sha256.Sum256([]byte(key))
	hash := []byte(hex.EncodeToString(sum[:]))
	found := 0
	for _, h := range s.deps.KeyHashes {
		found |= subtle.ConstantTimeCompare(hash, []byte(strings.ToLower(h)))
	}
	return found == 1
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	s.deps.Metrics(w)
}

func readJSON(r *http.Request, dst any) error {
	if err := json.NewDecoder(r.Body).Decode(dst); err != nil {
		return codes.Errorf(codes.MalformedRequest, "expected JSON as docs/API.md gives it")
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		klog.V(1).InfoS("operator-answer-failed", "error", err.Error())
	}
}

func writeError(w http.ResponseWriter, err error) {
	code := codes.Of(err)
	answer := recordAnswerWire{Code: uint16(code), Name: code.Entry().Name(), Outcome: code.Entry().Outcome().String()}
	var coded *codes.Error
	if errors.As(err, &coded) {
		answer.Detail = coded.Detail()
	}
	writeJSON(w, code.Entry().Status(), answer)
}
