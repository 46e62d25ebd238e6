package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/fs"
	"gotest.tools/v3/golden"

	"mangowing/core/codes"
	"mangowing/core/decl"
	"mangowing/stand/count"
	"mangowing/stand/worker"
)

// fakeGate is a gate that counts starts and has at most one fault.
type fakeGate struct {
	fault    string
	recorder *count.Recorder
	mu       sync.Mutex
	requests int
}

func (g *fakeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	switch {
	case r.URL.Path == "/readyz":
		if g.fault == "not ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case r.URL.Path == "/v1/tickets" && g.fault == "refuses tickets":
		writeOutcome(w, codes.KeyWithdrawn, codes.NotRun)
	case strings.HasPrefix(r.URL.Path, "/v1/requests/"):
		writeOutcome(w, codes.OK, codes.Ran)
		_, _ = w.Write(worker.AnswerBody(attemptID("w", 0), 30))
	case r.URL.Path == "/v1/tickets":
		fmt.Fprint(w, `{"ticket":"t"}`)
	default:
		g.mu.Lock()
		defer g.mu.Unlock()
		g.requests++
		g.handleRequest(w, r.Header)
	}
}

func (g *fakeGate) recordStart(header http.Header) {
	g.recorder.RecordStart(count.Start{VM: "vm", Team: "floor", WorkID: header.Get(worker.HeaderWorkID)}, time.Now()).End(time.Now(), false)
}

func (g *fakeGate) handleRequest(w http.ResponseWriter, header http.Header) {
	size, _ := strconv.Atoi(header.Get(worker.HeaderAnswerBytes))
	answer := worker.AnswerBody(header.Get(worker.HeaderWorkID), size)
	first := g.requests == 1
	switch g.fault {
	case "never starts the work":
	case "starts the work twice":
		g.recordStart(header)
		g.recordStart(header)
	case "answers not-run after a start":
		g.recordStart(header)
		writeOutcome(w, codes.NoUpstream, codes.NotRun)
		return
	case "answers unknown after a start":
		g.recordStart(header)
		writeOutcome(w, codes.HolderGone, codes.Unknown)
		return
	case "answers not-run":
		writeOutcome(w, codes.TeamLimit, codes.NotRun)
		return
	case "refuses the first request":
		if first {
			writeOutcome(w, codes.GateStopping, codes.NotRun)
			return
		}
		g.recordStart(header)
	case "aborts the first answer":
		g.recordStart(header)
		if first {
			panic(http.ErrAbortHandler)
		}
	case "outcome against its code":
		g.recordStart(header)
		writeOutcome(w, codes.OK, codes.Unknown)
	case "without a code":
		g.recordStart(header)
		return
	case "short":
		g.recordStart(header)
		answer = answer[:len(answer)/2]
	case "crossed":
		g.recordStart(header)
		answer = worker.AnswerBody("another", size)
	default:
		g.recordStart(header)
	}
	writeOutcome(w, codes.OK, codes.Ran)
	_, _ = w.Write(answer)
}

func writeOutcome(w http.ResponseWriter, code codes.Code, outcome codes.Outcome) {
	if w.Header().Get("Mango-Code") == "" {
		w.Header().Set("Mango-Code", strconv.Itoa(int(code)))
		w.Header().Set("Mango-Outcome", outcome.String())
		w.WriteHeader(code.Entry().Status())
	}
}

// sendOne sends one piece of work through the gates and returns the report on it.
func sendOne(t *testing.T, stream Stream, addresses []string, recorder *count.Recorder) *Report {
	t.Helper()
	balancer := NewBalancer(addresses)
	balancer.PollAll(t.Context())
	results := &Results{streams: []Stream{stream}, byStream: make([][]workResult, 1)}
	c := caller{balancer: balancer, stream: &stream, id: "w"}
	results.add(0, c.run(t.Context()))
	stand := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		data, _ := recorder.JSON(true)
		_, _ = w.Write(data)
	}))
	defer stand.Close()
	counts, err := ReadCounts(t.Context(), stand.Listener.Addr().String())
	assert.NilError(t, err)
	return Check(results, counts, decl.Empty())
}

func newStream(repeat string, idempotent bool) Stream {
	return Stream{name: "s", queue: "q", concurrency: 1, answerBytes: 30, repeat: repeat, idempotent: idempotent, timeout: time.Second}
}

func TestViolations(t *testing.T) {
	scenarios := []struct {
		testName   string
		fault      string
		repeat     string
		idempotent bool
		expected   totalsWire
	}{
		{"gate without a fault", "", repeatTicket, false, totalsWire{Sent: 1, Ran: 1}},
		{"correct not-run", "answers not-run", repeatTicket, false, totalsWire{Sent: 1, NotRun: 1}},
		{"answered as run, never started", "never starts the work", repeatTicket, false, totalsWire{Sent: 1, Ran: 1, Lost: 1}},
		{"started twice", "starts the work twice", repeatTicket, false, totalsWire{Sent: 1, Ran: 1, Doubled: 1}},
		{"started twice, idempotent", "starts the work twice", repeatNone, true, totalsWire{Sent: 1, Ran: 1}},
		{"false not-run", "answers not-run after a start", repeatTicket, false, totalsWire{Sent: 1, NotRun: 1, FalseNotRun: 1}},
		{"not-run, then ran elsewhere", "refuses the first request", repeatTicket, false, totalsWire{Sent: 1, Ran: 1}},
		{"connection lost, not repeatable", "aborts the first answer", repeatNone, false, totalsWire{Sent: 1, Unknown: 1}},
		{"connection lost, repeated although it had run", "aborts the first answer", repeatKey, false, totalsWire{Sent: 1, Ran: 1, Doubled: 1}},
		{"started twice under a ticket", "starts the work twice", repeatTicket, true, totalsWire{Sent: 1, Ran: 1, Doubled: 1}},
		{"no ticket for a withdrawn key", "refuses tickets", repeatTicket, false, totalsWire{Sent: 1, NotRun: 1}},
		{"unknown outcome resolved by a status query", "answers unknown after a start", repeatTicket, false, totalsWire{Sent: 1, Ran: 1}},
		{"unknown outcome without a ticket", "answers unknown after a start", repeatNone, false, totalsWire{Sent: 1, Unknown: 1}},
		{"connection lost, idempotent", "aborts the first answer", repeatNone, true, totalsWire{Sent: 1, Ran: 1}},
		{"outcome against its code", "outcome against its code", repeatNone, false, totalsWire{Sent: 1, Unknown: 1, Wrong: 1}},
		{"without a code", "without a code", repeatNone, false, totalsWire{Sent: 1, Unknown: 1, Wrong: 1}},
		{"short answer", "short", repeatNone, false, totalsWire{Sent: 1, Ran: 1, Wrong: 1}},
		{"crossed answer", "crossed", repeatNone, false, totalsWire{Sent: 1, Ran: 1, Wrong: 1}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			recorder := &count.Recorder{}
			server := httptest.NewServer(&fakeGate{fault: s.fault, recorder: recorder})
			defer server.Close()
			report := sendOne(t, newStream(s.repeat, s.idempotent), []string{server.Listener.Addr().String()}, recorder)
			assert.Equal(t, report.w.Totals, s.expected, "%v", report.w.Violations)
			t2 := s.expected
			assert.Equal(t, report.Failed(), t2.Lost+t2.Doubled+t2.FalseNotRun+t2.Wrong > 0)
		})
	}
}

func TestBalancerTriesNextGateIfNothingWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	recorder := &count.Recorder{}
	notReady := &fakeGate{fault: "not ready", recorder: recorder}
	ready := &fakeGate{recorder: recorder}
	first, second := httptest.NewServer(notReady), httptest.NewServer(ready)
	defer first.Close()
	defer second.Close()
	balancer := NewBalancer([]string{listener.Addr().String(), first.Listener.Addr().String(), second.Listener.Addr().String()})
	balancer.PollAll(t.Context())
	balancer.setReady(listener.Addr().String(), true)
	stream := newStream(repeatNone, false)
	for range 3 {
		c := caller{balancer: balancer, stream: &stream, id: "w"}
		assert.Equal(t, c.run(t.Context()).outcome, codes.Ran)
	}
	assert.Equal(t, notReady.requests, 0)
	assert.Equal(t, ready.requests, 3)
}

func TestWorkWithoutAnswerIsLost(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	stream := newStream(repeatNone, false)
	c := caller{balancer: NewBalancer(nil), stream: &stream, id: "w"}
	results := &Results{streams: []Stream{stream}, byStream: [][]workResult{{c.run(ctx)}}}
	report := Check(results, Counts{}, decl.Empty())
	assert.Equal(t, report.w.Totals, totalsWire{Sent: 1, Unknown: 1, Lost: 1})
}

func TestRateIsNotExceeded(t *testing.T) {
	recorder := &count.Recorder{}
	server := httptest.NewServer(&fakeGate{recorder: recorder})
	defer server.Close()
	balancer := NewBalancer([]string{server.Listener.Addr().String()})
	balancer.PollAll(t.Context())
	stream := newStream(repeatNone, false)
	stream.rate, stream.concurrency = 100, 4
	results := Run(t.Context(), balancer, []Stream{stream}, 200*time.Millisecond)
	sent := len(results.byStream[0])
	assert.Assert(t, sent >= 1 && sent <= 20, "%d sent", sent)
}

func TestReport(t *testing.T) {
	objects, err := decl.ReadINI([]byte("[team floor]\norganisation = o\nshare = 1\nlimit = 2\n"))
	assert.NilError(t, err)
	cfg, faults := decl.Compile(objects)
	assert.Equal(t, len(faults), 0)
	recorder := count.NewRecorder(map[string]string{"q": "p", "r": "p2"})
	for i, queue := range []string{"q", "q", "r"} {
		recorder.RecordStart(count.Start{VM: "vm", Team: "floor", Queue: queue, WorkID: attemptID("w", i)}, time.Now())
	}
	data, err := recorder.JSON(true)
	assert.NilError(t, err)
	stand := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(data) }))
	defer stand.Close()
	counts, err := readCountsOnce(t.Context(), stand.Listener.Addr().String())
	assert.NilError(t, err)
	startedAt := time.Now()
	results := &Results{streams: []Stream{newStream(repeatTicket, false)}, startedAt: startedAt, byStream: [][]workResult{{
		{id: "w", outcome: codes.Ran, isAnswered: true, startedAt: startedAt.Add(300 * time.Millisecond), latency: 2 * time.Millisecond},
		{id: "x", outcome: codes.NotRun, code: codes.TeamLimit, isAnswered: true},
	}}}
	var table, output strings.Builder
	report := Check(results, counts, cfg)
	assert.NilError(t, report.WriteTable(&table))
	assert.NilError(t, report.WriteJSON(&output))
	golden.Assert(t, table.String(), "report.golden")
	golden.Assert(t, output.String(), "report-json.golden")
}

func TestReadMix(t *testing.T) {
	scenarios := []struct {
		testName      string
		text          string
		expectedError string
	}{
		{"good", "[stream a]\nqueue = q\nkey-file = key\nrate = 2.5\nrepeat = key\nidempotent = yes\ntimeout = 2s\n", ""},
		{"no queue", "[stream a]\nrate = 1\n", "expected a queue"},
		{"unknown key", "[stream a]\nqueue = q\nrat = 1\n", "rat: unknown key"},
		{"unknown repeat", "[stream a]\nqueue = q\nrepeat = often\n", "expected none, ticket or key"},
		{"another section", "[load a]\nqueue = q\n", "expected [stream NAME]"},
		{"no such key file", "[stream a]\nqueue = q\nkey-file = nowhere\n", "key-file"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			dir := fs.NewDir(t, "mix", fs.WithFile("mix.ini", s.text), fs.WithFile("key", "secret\n"))
			streams, err := ReadMix(dir.Join("mix.ini"), dir.Path())
			if s.expectedError != "" {
				assert.ErrorContains(t, err, s.expectedError)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, streams[0], Stream{"a", "q", "key", "secret", 2.5, 1, 0, 0, 0, repeatKey, true, 2 * time.Second})
		})
	}
}

func TestProbe(t *testing.T) {
	scenarios := []struct {
		testName      string
		fault         string
		probe         Probe
		expectedError string
	}{
		{"ready", "", Probe{Within: 5 * time.Second}, ""},
		{"not ready", "not ready", Probe{Within: 50 * time.Millisecond}, "not as expected within 50ms"},
		{"expected code", "answers not-run", Probe{Queue: "q", Key: "k", Expect: 201, Within: 5 * time.Second}, ""},
		{"another code", "answers not-run", Probe{Queue: "q", Key: "k", Expect: 104, Within: 50 * time.Millisecond}, "not as expected"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			server := httptest.NewServer(&fakeGate{fault: s.fault, recorder: &count.Recorder{}})
			defer server.Close()
			s.probe.Gates = []string{server.Listener.Addr().String()}
			_, err := s.probe.Run(t.Context())
			if s.expectedError == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, s.expectedError)
		})
	}
}
