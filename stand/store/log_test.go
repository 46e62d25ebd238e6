package store

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"
)

const statusAborted = -1

// call makes one HTTP call; the status is statusAborted if the handler aborts the connection.
func call(l *Log, method, target, body string) (status int, text string) {
	defer func() {
		if recover() != nil {
			status, text = statusAborted, ""
		}
	}()
	router := mux.NewRouter()
	l.Register(router)
	w := httptest.NewRecorder()
	router.ServeHTTP(w, httptest.NewRequest(method, target, strings.NewReader(body)))
	return w.Code, strings.TrimSpace(w.Body.String())
}

func newTestLog() *Log {
	return NewLog(Config{RetentionAge: time.Minute, RetentionEntries: 3, AppendLatency: time.Millisecond})
}

func TestHTTPCalls(t *testing.T) {
	type step struct {
		method, target, body string
		expectedStatus       int
		expectedText         string
	}
	read := func(target, text string) step { return step{"GET", target, "", http.StatusOK, text} }
	add := func(body, text string) step { return step{"POST", "/log/s/append", body, http.StatusOK, text} }
	scenarios := []struct {
		testName string
		steps    []step
	}{
		{"empty stream", []step{read("/log/s/read?from=1", `{"oldest":1,"next":1,"entries":[]}`)}},
		{"offsets start at 1 without gaps, streams are apart", []step{
			add("a", `{"offset":1}`), add("b", `{"offset":2}`),
			{"POST", "/log/other/append", "c", http.StatusOK, `{"offset":1}`},
			read("/log/s/read?from=2&max=5", `{"oldest":1,"next":3,"entries":[{"offset":2,"at-ms":946684800002,"data":"b"}]}`),
		}},
		{"at most max entries", []step{
			add("a", `{"offset":1}`), add("b", `{"offset":2}`),
			read("/log/s/read?from=1&max=1", `{"oldest":1,"next":3,"entries":[{"offset":1,"at-ms":946684800001,"data":"a"}]}`),
		}},
		{"past the end", []step{add("a", `{"offset":1}`), read("/log/s/read?from=9", `{"oldest":1,"next":2,"entries":[]}`)}},
		{"no offset given", []step{{"GET", "/log/s/read", "", http.StatusBadRequest, "from: expected an offset"}}},
		{"entry too large", []step{
			{"POST", "/log/s/append", strings.Repeat("x", maxEntryBytes+1), http.StatusRequestEntityTooLarge, "entry too large or cut"},
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newTestLog()
				for _, step := range s.steps {
					status, text := call(l, step.method, step.target, step.body)
					assert.Equal(t, status, step.expectedStatus)
					assert.Equal(t, text, step.expectedText)
				}
			})
		})
	}
}

func TestFaults(t *testing.T) {
	scenarios := []struct {
		testName       string
		fault          string
		value          int
		expectedStatus int
		expectedMs     int64
		expectedNext   uint64
	}{
		{"down: no answer, no effect", "down", 1, statusAborted, 1, 1},
		{"slow: later", "slow", 300, http.StatusOK, 301, 2},
		{"answer lost: no answer, but it took effect", "answers-lost", 1, statusAborted, 1, 2},
		{"off", "down", 0, http.StatusOK, 1, 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newTestLog()
				assert.Assert(t, l.SetFault(s.fault, s.value))
				before := time.Now()
				status, _ := call(l, "POST", "/log/s/append", "a")
				assert.Equal(t, status, s.expectedStatus)
				assert.Equal(t, time.Since(before).Milliseconds(), s.expectedMs)
				p, _ := l.read("s", 1, 10)
				assert.Equal(t, p.nextOffset, s.expectedNext)
			})
		})
	}
	assert.Assert(t, !newTestLog().SetFault("dwon", 1))
}

func TestRetention(t *testing.T) {
	scenarios := []struct {
		testName       string
		ages           []time.Duration
		expectedOldest uint64
		expectedLeft   int
	}{
		{"within both bounds", []time.Duration{time.Second, 0}, 1, 2},
		{"by number", []time.Duration{4, 3, 2, 1}, 2, 3},
		{"by age", []time.Duration{2 * time.Minute, time.Second}, 2, 1},
		{"all gone, offsets go on", []time.Duration{2 * time.Minute}, 2, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			l := newTestLog()
			now := time.Unix(10_000, 0)
			for _, age := range s.ages {
				l.append("s", "x", now.Add(-age))
			}
			l.Expire(now)
			p, _ := l.read("s", 1, 10)
			assert.Equal(t, p.oldestOffset, s.expectedOldest)
			assert.Equal(t, p.firstOffset, s.expectedOldest)
			assert.Equal(t, len(p.entries), s.expectedLeft)
			assert.Equal(t, l.append("s", "y", now), uint64(len(s.ages)+1))
		})
	}
}

func TestLongPoll(t *testing.T) {
	scenarios := []struct {
		testName       string
		during         func(l *Log)
		expectedStatus int
		expectedMs     int64
	}{
		{"ends with an entry", func(l *Log) { l.append("s", "a", time.Now()) }, http.StatusOK, 100},
		{"goes on after another stream's entry", func(l *Log) { l.append("other", "a", time.Now()) }, http.StatusOK, 2000},
		{"is cut by an outage", func(l *Log) { l.SetFault("down", 1) }, statusAborted, 100},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := newTestLog()
				time.AfterFunc(100*time.Millisecond, func() { s.during(l) })
				before := time.Now()
				status, _ := call(l, "GET", "/log/s/read?from=1&wait-ms=2000", "")
				assert.Equal(t, status, s.expectedStatus)
				assert.Equal(t, time.Since(before).Milliseconds(), s.expectedMs)
			})
		})
	}
}
