package relay

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/core/proc"
	"mangowing/gate/daemon/queue"
)

// upstream is a worker that misbehaves as told and counts the requests that reach it.
type upstream struct {
	server   *httptest.Server
	arrivals atomic.Int64
}

func newUpstream(t *testing.T, serve func(w http.ResponseWriter, r *http.Request)) *upstream {
	u := &upstream{}
	u.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.arrivals.Add(1)
		serve(w, r)
	}))
	t.Cleanup(u.server.Close)
	return u
}

func (u *upstream) address() string { return u.server.Listener.Addr().String() }

// grants hands out grants on the given addresses in turn and notes how each was released.
type grants struct {
	mu        sync.Mutex
	addresses []string
	given     int
	released  []queue.Result
}

func (g *grants) Acquire(_ context.Context, ask queue.Ask) (queue.Grant, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.given >= len(g.addresses) {
		return queue.Grant{}, codes.Errorf(codes.NoUpstream, "")
	}
	g.given++
	return queue.NewGrant(ask, fmt.Sprintf("vm-%d", g.given), g.addresses[g.given-1], time.Now().Add(time.Second)), nil
}

func (g *grants) Release(_ queue.Grant, r queue.Result, _ time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = append(g.released, r)
}

// buffer is a sink in memory.
type buffer struct {
	status int
	body   bytes.Buffer
}

func (b *buffer) Begin(status int, _ http.Header, _ string) { b.status = status }
func (b *buffer) Write(p []byte) (int, error)               { return b.body.Write(p) }

func answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	_, _ = w.Write([]byte("whole"))
}

func crossed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderRequestID, "another")
	_, _ = w.Write([]byte("of another"))
}

func short(size int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = w.Write(make([]byte, size-1))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func broken(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func failing(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	w.WriteHeader(http.StatusInternalServerError)
}

func refusing(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderRefused, "slots")
	w.WriteHeader(http.StatusTooManyRequests)
}

func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func TestRunStatesTheOutcomeTruthfully(t *testing.T) {
	const beyondHeld = heldBytes + 1000
	scenarios := []struct {
		testName   string
		first      http.HandlerFunc // nil: the address refuses connections
		second     http.HandlerFunc // nil: no second VM
		idempotent bool
		code       codes.Code
		begun      bool
		firstRuns  int64
		secondRuns int64
		released   []queue.Result
	}{
		{"whole answer", answer, nil, false, codes.OK, true, 1, 0, []queue.Result{queue.ResultRan}},
		{"unreached, then another VM", nil, answer, false, codes.OK, true, 0, 1, []queue.Result{queue.ResultUnreachable, queue.ResultRan}},
		{"unreached everywhere is not run", nil, nil, false, codes.NoUpstream, false, 0, 0, []queue.Result{queue.ResultUnreachable}},
		{"refused, then another VM", refusing, answer, false, codes.OK, true, 1, 1, []queue.Result{queue.ResultRefused, queue.ResultRan}},
		{"refused everywhere is not run", refusing, nil, false, codes.NoUpstream, false, 1, 0, []queue.Result{queue.ResultRefused}},
		{"broken is unknown and not repeated", broken, answer, false, codes.UpstreamBroke, false, 1, 0, []queue.Result{queue.ResultUnknown}},
		{"broken and idempotent is repeated", broken, answer, true, codes.OK, true, 1, 1, []queue.Result{queue.ResultUnknown, queue.ResultRan}},
		{"broken, then no VM left, stays unknown", broken, nil, true, codes.UpstreamBroke, false, 1, 0, []queue.Result{queue.ResultUnknown}},
		{"crossed answer is not passed on", crossed, nil, false, codes.AnswerBroken, false, 1, 0, []queue.Result{queue.ResultUnknown}},
		{"short answer is not passed on", short(100), nil, false, codes.AnswerBroken, false, 1, 0, []queue.Result{queue.ResultUnknown}},
		{"long short answer never ends cleanly", short(beyondHeld), nil, false, codes.AnswerBroken, true, 1, 0, []queue.Result{queue.ResultUnknown}},
		{"silent upstream times out", silent, nil, false, codes.UpstreamTimeout, false, 1, 0, []queue.Result{queue.ResultUnknown}},
		{"failed work is passed on", failing, answer, false, codes.OK, true, 1, 0, []queue.Result{queue.ResultFailed}},
		{"failed idempotent work is repeated", failing, answer, true, codes.OK, true, 1, 1, []queue.Result{queue.ResultFailed, queue.ResultRan}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			g := &grants{}
			var ups []*upstream
			for _, h := range []http.HandlerFunc{s.first, s.second} {
				if h == nil {
					continue
				}
				u := newUpstream(t, h)
				ups = append(ups, u)
				g.addresses = append(g.addresses, u.address())
			}
			if s.first == nil {
				g.addresses = append([]string{closedAddress(t)}, g.addresses...)
				ups = append([]*upstream{{}}, ups...)
			}
			runner := NewRunner(proc.New("gate-1"), g, NewUpstreamClient(), 100)
			sink := &buffer{}
			timeout := 300 * time.Millisecond
			result := runner.Run(t.Context(), NewRequest(RequestSpec{ID: "r1", Timeout: timeout, Idempotent: s.idempotent}), sink)
			assert.Equal(t, result.Code(), s.code)
			assert.Equal(t, result.HasBegun(), s.begun)
			assert.Equal(t, ups[0].arrivals.Load(), s.firstRuns)
			if len(ups) > 1 {
				assert.Equal(t, ups[1].arrivals.Load(), s.secondRuns)
			}
			assert.DeepEqual(t, g.released, s.released)
		})
	}
}

func TestRunGoesOnWhenTheCallerLeaves(t *testing.T) {
	ended := make(chan struct{})
	u := newUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		<-ended
		answer(w, r)
	})
	g := &grants{addresses: []string{u.address()}}
	runner := NewRunner(proc.New("gate-1"), g, NewUpstreamClient(), 10)
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan Result)
	go func() {
		done <- runner.Run(ctx, NewRequest(RequestSpec{ID: "r1", Timeout: 10 * time.Second}), &buffer{})
	}()
	for u.arrivals.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	leave()
	close(ended)
	assert.Equal(t, (<-done).Code(), codes.OK)
	assert.DeepEqual(t, g.released, []queue.Result{queue.ResultRan})
}

func TestLateGrantIsNotUsed(t *testing.T) {
	u := newUpstream(t, answer)
	g := &lateGrants{grants{addresses: []string{u.address(), u.address()}}}
	runner := NewRunner(proc.New("gate-1"), g, NewUpstreamClient(), 10)
	result := runner.Run(t.Context(), NewRequest(RequestSpec{ID: "r1", Timeout: time.Second}), &buffer{})
	assert.Equal(t, result.Outcome(), codes.NotRun)
	assert.Equal(t, u.arrivals.Load(), int64(0))
	assert.DeepEqual(t, g.released, []queue.Result{queue.ResultNotStarted, queue.ResultNotStarted})
}

// lateGrants hands out grants whose window has passed, as to a process that was frozen.
type lateGrants struct{ grants }

func (g *lateGrants) Acquire(ctx context.Context, ask queue.Ask) (queue.Grant, error) {
	_, err := g.grants.Acquire(ctx, ask)
	return queue.NewGrant(ask, "vm", "127.0.0.1:1", time.Now().Add(-time.Second)), err
}
