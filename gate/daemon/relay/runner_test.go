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

// testUpstream is a worker with the given behaviour that counts the requests it receives.
type testUpstream struct {
	server       *httptest.Server
	requestCount atomic.Int64
}

func newTestUpstream(t *testing.T, serve func(w http.ResponseWriter, r *http.Request)) *testUpstream {
	u := &testUpstream{}
	u.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u.requestCount.Add(1)
		serve(w, r)
	}))
	t.Cleanup(u.server.Close)
	return u
}

func (u *testUpstream) address() string { return u.server.Listener.Addr().String() }

// granterStub grants the given addresses in order and records the results of releases.
type granterStub struct {
	mu         sync.Mutex
	addresses  []string
	grantCount int
	released   []queue.Result
}

func (g *granterStub) Acquire(_ context.Context, ask queue.Ask) (queue.Grant, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.grantCount >= len(g.addresses) {
		return queue.Grant{}, codes.Errorf(codes.NoUpstream, "")
	}
	g.grantCount++
	return queue.NewGrant(ask, fmt.Sprintf("vm-%d", g.grantCount), g.addresses[g.grantCount-1], time.Now().Add(time.Second)), nil
}

func (g *granterStub) Release(_ queue.Grant, r queue.Result, _ time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.released = append(g.released, r)
}

// memorySink keeps an answer in memory.
type memorySink struct {
	status int
	body   bytes.Buffer
}

func (b *memorySink) Begin(status int, _ http.Header, _ string) { b.status = status }
func (b *memorySink) Write(p []byte) (int, error)               { return b.body.Write(p) }

func answerWhole(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	_, _ = w.Write([]byte("whole"))
}

func answerForAnother(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderRequestID, "another")
	_, _ = w.Write([]byte("of another"))
}

func answerTruncated(size int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		w.Header().Set("Content-Length", fmt.Sprint(size))
		_, _ = w.Write(make([]byte, size-1))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func neverAnswer(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func breakConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answerServerError(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	w.WriteHeader(http.StatusInternalServerError)
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderRefused, "slots")
	w.WriteHeader(http.StatusTooManyRequests)
}

func closedAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func TestRunReportsTheTrueOutcome(t *testing.T) {
	const beyondBuffered = maxBufferedBytes + 1000
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
		{"whole answer", answerWhole, nil, false, codes.OK, true, 1, 0, []queue.Result{queue.ResultRan}},
		{"unreachable, then another VM", nil, answerWhole, false, codes.OK, true, 0, 1, []queue.Result{queue.ResultUnreachable, queue.ResultRan}},
		{"unreachable everywhere is not run", nil, nil, false, codes.NoUpstream, false, 0, 0, []queue.Result{queue.ResultUnreachable}},
		{"refused, then another VM", refuse, answerWhole, false, codes.OK, true, 1, 1, []queue.Result{queue.ResultRefused, queue.ResultRan}},
		{"refused everywhere is not run", refuse, nil, false, codes.NoUpstream, false, 1, 0, []queue.Result{queue.ResultRefused}},
		{"a broken connection is unknown and not retried", breakConnection, answerWhole, false, codes.UpstreamBroke, false, 1, 0, []queue.Result{queue.ResultUnknown}},
		{"a broken connection is retried if idempotent", breakConnection, answerWhole, true, codes.OK, true, 1, 1, []queue.Result{queue.ResultUnknown, queue.ResultRan}},
		{"a broken connection stays unknown if no VM is left", breakConnection, nil, true, codes.UpstreamBroke, false, 1, 0, []queue.Result{queue.ResultUnknown}},
		{"another request's answer is not forwarded", answerForAnother, nil, false, codes.AnswerBroken, false, 1, 0, []queue.Result{queue.ResultUnknown}},
		{"a short truncated answer is not forwarded", answerTruncated(100), nil, false, codes.AnswerBroken, false, 1, 0, []queue.Result{queue.ResultUnknown}},
		{"a long truncated answer never ends cleanly", answerTruncated(beyondBuffered), nil, false, codes.AnswerBroken, true, 1, 0, []queue.Result{queue.ResultUnknown}},
		{"an upstream that does not answer times out", neverAnswer, nil, false, codes.UpstreamTimeout, false, 1, 0, []queue.Result{queue.ResultUnknown}},
		{"a server error is forwarded", answerServerError, answerWhole, false, codes.OK, true, 1, 0, []queue.Result{queue.ResultFailed}},
		{"a server error is retried if idempotent", answerServerError, answerWhole, true, codes.OK, true, 1, 1, []queue.Result{queue.ResultFailed, queue.ResultRan}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			g := &granterStub{}
			var ups []*testUpstream
			for _, h := range []http.HandlerFunc{s.first, s.second} {
				if h == nil {
					continue
				}
				u := newTestUpstream(t, h)
				ups = append(ups, u)
				g.addresses = append(g.addresses, u.address())
			}
			if s.first == nil {
				g.addresses = append([]string{closedAddress(t)}, g.addresses...)
				ups = append([]*testUpstream{{}}, ups...)
			}
			runner := NewRunner(proc.New("gate-1"), g, NewUpstreamClient(), 100)
			sink := &memorySink{}
			timeout := 300 * time.Millisecond
			result := runner.Run(t.Context(), NewRequest(RequestSpec{ID: "r1", Timeout: timeout, Idempotent: s.idempotent}), sink)
			assert.Equal(t, result.Code(), s.code)
			assert.Equal(t, result.HasBegun(), s.begun)
			assert.Equal(t, ups[0].requestCount.Load(), s.firstRuns)
			if len(ups) > 1 {
				assert.Equal(t, ups[1].requestCount.Load(), s.secondRuns)
			}
			assert.DeepEqual(t, g.released, s.released)
		})
	}
}

func TestRunContinuesAfterTheCallerDisconnects(t *testing.T) {
	ended := make(chan struct{})
	u := newTestUpstream(t, func(w http.ResponseWriter, r *http.Request) {
		<-ended
		answerWhole(w, r)
	})
	g := &granterStub{addresses: []string{u.address()}}
	runner := NewRunner(proc.New("gate-1"), g, NewUpstreamClient(), 10)
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan Result)
	go func() {
		done <- runner.Run(ctx, NewRequest(RequestSpec{ID: "r1", Timeout: 10 * time.Second}), &memorySink{})
	}()
	for u.requestCount.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	leave()
	close(ended)
	assert.Equal(t, (<-done).Code(), codes.OK)
	assert.DeepEqual(t, g.released, []queue.Result{queue.ResultRan})
}

func TestLateGrantIsNotUsed(t *testing.T) {
	u := newTestUpstream(t, answerWhole)
	g := &lateGranter{granterStub{addresses: []string{u.address(), u.address()}}}
	runner := NewRunner(proc.New("gate-1"), g, NewUpstreamClient(), 10)
	result := runner.Run(t.Context(), NewRequest(RequestSpec{ID: "r1", Timeout: time.Second}), &memorySink{})
	assert.Equal(t, result.Outcome(), codes.NotRun)
	assert.Equal(t, u.requestCount.Load(), int64(0))
	assert.DeepEqual(t, g.released, []queue.Result{queue.ResultNotStarted, queue.ResultNotStarted})
}

// lateGranter returns grants that have already expired, as a process sees them after it was suspended.
type lateGranter struct{ granterStub }

func (g *lateGranter) Acquire(ctx context.Context, ask queue.Ask) (queue.Grant, error) {
	_, err := g.granterStub.Acquire(ctx, ask)
	return queue.NewGrant(ask, "vm", "127.0.0.1:1", time.Now().Add(-time.Second)), err
}
