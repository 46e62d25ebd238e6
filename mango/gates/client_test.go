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

func lose(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}
}

func TestDo(t *testing.T) {
	const fine = `{"code":0,"outcome":"ran"}`
	const notReady = `{"code":205,"outcome":"not-run"}`
	const slow = `{"code":403,"outcome":"unknown"}`
	scenarios := []struct {
		testName string
		once     bool
		gates    []http.HandlerFunc
		calls    int
		expected string
		unknown  bool
	}{
		{"the first answers", false, []http.HandlerFunc{answer(200, fine), lose}, 1, "", false},
		{"a gate that is not ready passes the call on", false, []http.HandlerFunc{answer(503, notReady), answer(200, fine)}, 2, "", false},
		{"a lost answer is asked for elsewhere", false, []http.HandlerFunc{lose, answer(200, fine)}, 2, "", false},
		{"a call that must go once stops at a lost answer", true, []http.HandlerFunc{lose, answer(200, fine)}, 1, "outcome unknown", true},
		{"a call that must go once passes on what was not run", true, []http.HandlerFunc{answer(503, notReady), answer(200, fine)}, 2, "", false},
		{"a log that did not answer is asked through another gate", false, []http.HandlerFunc{answer(202, slow), answer(200, fine)}, 2, "", false},
		{"a gate that lacks the call has run nothing", true, []http.HandlerFunc{answer(404, "404 page not found"), answer(200, fine)}, 2, "", false},
		{"a refusal ends the call", false, []http.HandlerFunc{answer(409, `{"code":401,"outcome":"not-run","detail":"x"}`), answer(200, fine)}, 1, "401 revision-conflict: x", false},
		{"an answer without a code is no refusal", true, []http.HandlerFunc{answer(502, "<html>"), answer(200, fine)}, 1, "HTTP status 502 without a result code", true},
		{"a broken answer is unknown", true, []http.HandlerFunc{answer(200, `{"co`), answer(200, fine)}, 1, "malformed answer", true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var calls atomic.Int64
			spec := Options{}
			for _, handler := range s.gates {
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					calls.Add(1)
					handler(w, r)
				}))
				defer server.Close()
				spec.Gates = append(spec.Gates, server.Listener.Addr().String())
			}
			var r Result
			err := New(spec).Do(context.Background(), Call{Method: http.MethodPost, Path: "/x", AtMostOnce: s.once}, &r)
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
