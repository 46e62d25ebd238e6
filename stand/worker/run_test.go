package worker

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/stand/count"
)

func startWorker(t *testing.T) (*Worker, *count.Recorder) {
	t.Helper()
	recorder := &count.Recorder{}
	w := New(Config{Name: "vm", Address: "127.0.0.1:0", Slots: 2, Connections: 5}, recorder)
	assert.NilError(t, w.Open())
	t.Cleanup(w.Close)
	return w, recorder
}

// answer is a worker's answer to a call; isAborted is set if the connection broke before its end.
type answer struct {
	status    int
	requestID string
	refused   string
	body      string
	isAborted bool
}

func send(ctx context.Context, w *Worker, id, runMs string) answer {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.Address()+"/run", strings.NewReader("body"))
	req.Header.Set(HeaderRequestID, id)
	req.Header.Set(HeaderWorkID, "work-"+id)
	req.Header.Set(HeaderRunMs, runMs)
	req.Header.Set(HeaderAnswerBytes, "20")
	resp, err := client.Do(req)
	if err != nil {
		return answer{isAborted: true}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get(HeaderRequestID), resp.Header.Get(HeaderRefused), string(body), err != nil}
}

func outcomeOf(w *Worker, id string) string {
	h := handler{w, w.session}
	return h.outcome(id)
}

func countStarts(t *testing.T, recorder *count.Recorder) int {
	t.Helper()
	var counts struct {
		Totals struct{ Started int }
	}
	data, err := recorder.JSON(false)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(data, &counts))
	return counts.Totals.Started
}

func await(t *testing.T, condition func() bool) {
	t.Helper()
	for !condition() {
		assert.NilError(t, t.Context().Err())
		time.Sleep(time.Millisecond)
	}
}

func TestRunUnderFaults(t *testing.T) {
	wholeBody := "work-b\n............."
	scenarios := []struct {
		testName       string
		fault          string
		value          int
		expected       answer
		expectedStarts int
	}{
		{"none", "short", 0, answer{200, "b", "", wholeBody, false}, 2},
		{"fails everything", "fails-everything", 1, answer{500, "b", "", wholeBody, false}, 2},
		{"late", "late", 30, answer{200, "b", "", wholeBody, false}, 2},
		{"short", "short", 1, answer{200, "b", "", wholeBody[:10], true}, 2},
		{"crossed", "crossed", 1, answer{200, "a", "", "another-request\n....", false}, 2},
		{"paused", "paused", 1, answer{isAborted: true}, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			w, recorder := startWorker(t)
			assert.Equal(t, send(t.Context(), w, "a", "0").status, 200)
			assert.Assert(t, w.SetFault(s.fault, s.value))
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			if s.fault == "paused" {
				ctx, cancel = context.WithTimeout(t.Context(), 50*time.Millisecond)
			}
			defer cancel()
			assert.Equal(t, send(ctx, w, "b", "1"), s.expected)
			assert.Equal(t, countStarts(t, recorder), s.expectedStarts)
		})
	}
	w, _ := startWorker(t)
	assert.Assert(t, !w.SetFault("crosed", 1))
}

func TestPausedWorkerRunsAcceptedRequestsAfterResume(t *testing.T) {
	w, recorder := startWorker(t)
	w.SetFault("paused", 1)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.Assert(t, send(ctx, w, "b", "1").isAborted)
	w.SetFault("paused", 0)
	await(t, func() bool { return countStarts(t, recorder) == 1 })
	await(t, func() bool { return outcomeOf(w, "b") == "ran" })
}

func TestRequestContinuesAfterItsConnectionCloses(t *testing.T) {
	w, _ := startWorker(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan answer)
	go func() { done <- send(ctx, w, "a", "60") }()
	await(t, func() bool { return outcomeOf(w, "a") == "running" })
	cancel()
	assert.Assert(t, (<-done).isAborted)
	assert.Equal(t, outcomeOf(w, "a"), "running")
	await(t, func() bool { return outcomeOf(w, "a") == "ran" })
	assert.Equal(t, outcomeOf(w, "other"), "not-seen")
}

func TestRefusedRequestsDoNotStart(t *testing.T) {
	w, recorder := startWorker(t)
	for _, id := range []string{"a", "b"} {
		go send(t.Context(), w, id, "60000")
		await(t, func() bool { return outcomeOf(w, id) == "running" })
	}
	refusal := send(t.Context(), w, "c", "0")
	assert.Equal(t, refusal, answer{429, "c", "slots", "refused: slots\n", false})
	for range 3 {
		conn, err := net.Dial("tcp", w.Address())
		assert.NilError(t, err)
		defer conn.Close()
	}
	await(t, func() bool { return w.session.connections.Load() == 5 })
	assert.Equal(t, send(t.Context(), w, "c", "0").refused, "connections")
	assert.Equal(t, countStarts(t, recorder), 2)
	assert.Equal(t, outcomeOf(w, "c"), "not-seen")
}

func TestClosedWorkerRefusesConnectionsAndLosesState(t *testing.T) {
	w, recorder := startWorker(t)
	assert.Equal(t, send(t.Context(), w, "a", "0").status, 200)
	done := make(chan answer)
	go func() { done <- send(t.Context(), w, "b", "60000") }()
	await(t, func() bool { return outcomeOf(w, "b") == "running" })
	w.Close()
	assert.Assert(t, (<-done).isAborted)
	_, err := net.Dial("tcp", w.Address())
	var dial *net.OpError
	assert.Assert(t, errors.As(err, &dial) && dial.Op == "dial", "%v", err)
	assert.NilError(t, w.Open())
	assert.Equal(t, outcomeOf(w, "a"), "not-seen")
	assert.Equal(t, outcomeOf(w, "b"), "not-seen")
	data, err := recorder.JSON(false)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(data), `"started":2,"finished":1,"cut":1`), "%s", data)
}

func TestReportLags(t *testing.T) {
	w := New(Config{Name: "vm", Address: "127.0.0.1:0", Slots: 2, Connections: 5, UsageLag: time.Second}, &count.Recorder{})
	assert.NilError(t, w.Open())
	defer w.Close()
	now := time.Now()
	w.Tick(now)
	go send(t.Context(), w, "a", "60000")
	await(t, func() bool { return outcomeOf(w, "a") == "running" })
	reported := func() int { return len(handler{w, w.session}.currentReport().running) }
	w.Tick(now.Add(999 * time.Millisecond))
	assert.Equal(t, reported(), 0)
	w.Tick(now.Add(time.Second))
	assert.Equal(t, reported(), 1)
}
