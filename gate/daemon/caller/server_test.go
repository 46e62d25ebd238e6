package caller

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"mangowing/core/codes"
	"mangowing/core/decl"
	"mangowing/core/fold"
	"mangowing/core/proc"
	"mangowing/core/record"
	"mangowing/gate/daemon/relay"
)

const declarations = `
[fleet test]
data-centres = dc-a
[pool web]
vms = web-[1-2]
[queue quotes]
pool = web
teams = buyers
[queue open-list]
pool = web
open = yes
[team buyers]
organisation = one
share = 1
limit = 4
[team sellers]
organisation = two
share = 1
limit = 4
latest-finish = 05:30
[team open]
organisation = one
share = 1
limit = 1
`

const maxBody = 1000

// stateStub is a folded state, with some keys withdrawn that the state still has.
type stateStub struct {
	state     *fold.State
	withdrawn map[string]bool
}

func (s *stateStub) State() *fold.State           { return s.state }
func (s *stateStub) IsWithdrawn(hash string) bool { return s.withdrawn[hash] }

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func newStates(t *testing.T) *stateStub {
	objects, err := decl.ReadINI([]byte(declarations))
	assert.NilError(t, err)
	f := fold.NewFolder()
	for i, body := range []record.Body{
		record.NewChange(objects, ""),
		record.NewKeyGrant(hashOf("buyers-key"), "buyers", ""),
		record.NewKeyGrant(hashOf("sellers-key"), "sellers", ""),
		record.NewKeyGrant(hashOf("old-key"), "buyers", ""),
	} {
		data, err := record.EncodeBatch([]record.Record{record.NewWithID(fmt.Sprint(i), "test", 0, body)})
		assert.NilError(t, err)
		_, err = f.Apply(uint64(i+1), data)
		assert.NilError(t, err)
	}
	return &stateStub{f.Publish(), map[string]bool{hashOf("old-key"): true}}
}

// echoRunner answers each request with its team, or fails after the start of the answer.
type echoRunner struct{ brokenAfterBegin bool }

func (e echoRunner) Run(_ context.Context, r relay.Request, sink relay.Sink) relay.Result {
	sink.Begin(http.StatusOK, http.Header{"Content-Type": {"text/plain"}}, r.ID())
	_, _ = fmt.Fprintf(sink.(io.Writer), "for %s", r.Team())
	if e.brokenAfterBegin {
		return relay.NewResult(codes.AnswerBroken, "", true)
	}
	return relay.NewResult(codes.OK, "", true)
}

func newServer(t *testing.T, runner Runner, synced bool) *httptest.Server {
	options := Options{MaxBodyBytes: maxBody, IsSynced: func() bool { return synced }}
	s := New(proc.New("gate-1"), newStates(t), runner, nil, func() bool { return synced }, options)
	server := httptest.NewServer(s.http.Handler)
	t.Cleanup(server.Close)
	return server
}

func TestCallersContract(t *testing.T) {
	server := newServer(t, echoRunner{}, true)
	scenarios := []struct {
		testName string
		queue    string
		key      string
		header   string
		body     string
	}{
		{"a team's request", "quotes", "buyers-key", "", "x"},
		{"no key", "quotes", "", "", "x"},
		{"unknown key", "quotes", "guess", "", "x"},
		{"withdrawn key", "quotes", "old-key", "", "x"},
		{"another team's queue", "quotes", "sellers-key", "", "x"},
		{"unknown queue", "nothing", "buyers-key", "", "x"},
		{"open queue without a key", "open-list", "", "", "x"},
		{"open queue with a key works for its team", "open-list", "sellers-key", "", "x"},
		{"open queue with a withdrawn key", "open-list", "old-key", "", "x"},
		{"body too large", "quotes", "buyers-key", "", strings.Repeat("x", maxBody+1)},
		{"malformed time-out", "quotes", "buyers-key", "soon", "x"},
		{"negative time-out", "quotes", "buyers-key", "-1s", "x"},
	}
	var session strings.Builder
	for _, s := range scenarios {
		req, err := http.NewRequest(http.MethodPost, server.URL+"/v1/queues/"+s.queue+"/requests", strings.NewReader(s.body))
		assert.NilError(t, err)
		if s.key != "" {
			req.Header.Set("Authorization", "Bearer "+s.key)
		}
		if s.header != "" {
			req.Header.Set(headerTimeout, s.header)
		}
		resp, err := server.Client().Do(req)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Assert(t, resp.Header.Get(relay.HeaderRequestID) != "")
		fmt.Fprintf(&session, "%s: %d %s %s\n  %s\n", s.testName, resp.StatusCode, resp.Header.Get(relay.HeaderOutcome),
			resp.Header.Get(relay.HeaderCode), strings.TrimSpace(string(body)))
	}
	golden.Assert(t, session.String(), "callers.golden")
}

func TestBrokenAnswerIsAborted(t *testing.T) {
	server := newServer(t, echoRunner{brokenAfterBegin: true}, true)
	req, err := http.NewRequest(http.MethodPost, server.URL+"/v1/queues/quotes/requests", http.NoBody)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer buyers-key")
	resp, err := server.Client().Do(req)
	if err == nil {
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	assert.Assert(t, err != nil, "a broken answer ended cleanly")
}

// A refusal may report not-run only if no earlier attempt with the same ticket or key can have run.
func TestRefusedRepeatHasUnknownOutcome(t *testing.T) {
	scenarios := []struct {
		testName string
		header   string
		queue    string
		synced   bool
		outcome  string
		code     string
	}{
		{"gate without state", "", "quotes", false, "not-run", "205"},
		{"gate without state, ticket", headerTicket, "quotes", false, "unknown", "205"},
		{"gate without state, key", headerIdempotencyKey, "quotes", false, "unknown", "205"},
		{"unknown queue, ticket", headerTicket, "nothing", true, "unknown", "105"},
		{"unknown queue", "", "nothing", true, "not-run", "105"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			server := newServer(t, echoRunner{}, s.synced)
			req, err := http.NewRequest(http.MethodPost, server.URL+"/v1/queues/"+s.queue+"/requests", http.NoBody)
			assert.NilError(t, err)
			req.Header.Set("Authorization", "Bearer buyers-key")
			if s.header != "" {
				req.Header.Set(s.header, "x")
			}
			resp, err := server.Client().Do(req)
			assert.NilError(t, err)
			_ = resp.Body.Close()
			assert.Equal(t, resp.Header.Get(relay.HeaderOutcome), s.outcome)
			assert.Equal(t, resp.Header.Get(relay.HeaderCode), s.code)
		})
	}
}

func TestLatestFinish(t *testing.T) {
	day := time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
	team, _ := newStates(t).state.Config().Team("sellers")
	scenarios := []struct {
		testName string
		now      time.Time
		expected time.Time
	}{
		{"before the finish", day.Add(4 * time.Hour), day.Add(5*time.Hour + 30*time.Minute)},
		{"after the finish", day.Add(6 * time.Hour), day.Add(29*time.Hour + 30*time.Minute)},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.Equal(t, latestFinish(team, s.now), s.expected)
		})
	}
}

// Guards against requests that a planned stop cuts: it closed idle connections at once, also one on which a request had just arrived.
func TestRequestOnAnIdleConnectionIsServedDuringAPlannedStop(t *testing.T) {
	options := Options{Address: "127.0.0.1:0", MaxBodyBytes: maxBody, Metrics: func(io.Writer) {}, IsSynced: func() bool { return true }}
	s := New(proc.New("gate-1"), newStates(t), nil, nil, func() bool { return true }, options)
	listener, err := net.Listen("tcp", options.Address)
	assert.NilError(t, err)
	go func() { _ = s.http.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	answers := bufio.NewReader(conn)
	for _, isStopping := range []bool{false, true} {
		if isStopping {
			s.DisableKeepAlives()
		}
		_, err = conn.Write([]byte("GET /readyz HTTP/1.1\r\nHost: gate\r\n\r\n"))
		assert.NilError(t, err)
		resp, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, resp.Close, isStopping, "whether the answer says that the connection is closed")
	}
	_, err = answers.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
	assert.NilError(t, s.Shutdown(t.Context()))
}
