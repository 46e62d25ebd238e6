package gates

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func replyWith(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func TestDoTriesGatesInTurn(t *testing.T) {
	const okResult = `{"code":0,"outcome":"ran"}`
	const notReady = `{"code":205,"outcome":"not-run"}`
	const notYetInForce = `{"code":403,"outcome":"unknown"}`
	scenarios := []struct {
		testName   string
		atMostOnce bool
		gates      []http.HandlerFunc
		calls      int
		expected   string
		unknown    bool
	}{
		{"the first answers", false, []http.HandlerFunc{replyWith(200, okResult), dropConnection}, 1, "", false},
		{"a call refused as not ready goes to the next gate", false, []http.HandlerFunc{replyWith(503, notReady), replyWith(200, okResult)}, 2, "", false},
		{"a call with a lost answer goes to the next gate", false, []http.HandlerFunc{dropConnection, replyWith(200, okResult)}, 2, "", false},
		{"an at-most-once call is not repeated after a lost answer", true, []http.HandlerFunc{dropConnection, replyWith(200, okResult)}, 1, "outcome unknown", true},
		{"an at-most-once call that was not run goes to the next gate", true, []http.HandlerFunc{replyWith(503, notReady), replyWith(200, okResult)}, 2, "", false},
		{"a write that is not yet in force is repeated at the next gate", false, []http.HandlerFunc{replyWith(202, notYetInForce), replyWith(200, okResult)}, 2, "", false},
		{"an at-most-once call to an unknown path goes to the next gate", true, []http.HandlerFunc{replyWith(404, "404 page not found"), replyWith(200, okResult)}, 2, "", false},
		{"a refused call is not repeated", false, []http.HandlerFunc{replyWith(409, `{"code":401,"outcome":"not-run","detail":"x"}`), replyWith(200, okResult)}, 1, "401 revision-conflict: x", false},
		{"an answer without a code leaves the outcome unknown", true, []http.HandlerFunc{replyWith(502, "<html>"), replyWith(200, okResult)}, 1, "HTTP status 502 without a result code", true},
		{"a malformed answer leaves the outcome unknown", true, []http.HandlerFunc{replyWith(200, `{"co`), replyWith(200, okResult)}, 1, "malformed answer", true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var calls atomic.Int64
			options := Options{}
			for _, handler := range s.gates {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					calls.Add(1)
					handler(w, r)
				}))
				defer server.Close()
				options.Gates = append(options.Gates, server.Listener.Addr().String())
			}
			var r Result
			err := New(options).Do(context.Background(), Call{Method: http.MethodPost, Path: "/x", AtMostOnce: s.atMostOnce}, &r)
			assert.Equal(t, int(calls.Load()), s.calls)
			if s.expected == "" {
				assert.NilError(t, err)
				return
			}
			assert.ErrorContains(t, err, s.expected)
			var unreachable *UnreachableError
			assert.Equal(t, errors.As(err, &unreachable) && unreachable.MayHaveTakenEffect(), s.unknown)
		})
	}
}
