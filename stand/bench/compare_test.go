package bench

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

func TestCompareCountsOnlySuccessfulAnswers(t *testing.T) {
	scenarios := []struct {
		testName      string
		code          string
		expectedSound bool
	}{
		{"good answers", "0", true},
		{"refusals", "201", false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/queues/q/requests" {
					w.Header().Set("Mango-Code", s.code)
				}
				time.Sleep(2 * time.Millisecond)
			}))
			defer server.Close()
			address := []string{server.Listener.Addr().String()}
			c, err := Compare(t.Context(), Spec{
				Workers: address, Gates: address, Queue: "q", Callers: 4, Duration: 100 * time.Millisecond,
			})
			assert.NilError(t, err)
			assert.Assert(t, c.w.Direct.P50Ms >= 2)
			if !s.expectedSound {
				assert.Equal(t, c.IsValid(), false)
				assert.Equal(t, c.w.Gate.Throughput, 0.0)
				return
			}
			assert.Equal(t, c.w.Gate.Errors, 0)
			assert.Assert(t, c.w.Gate.Throughput > 0)
		})
	}
	_, err := Compare(t.Context(), Spec{})
	assert.ErrorContains(t, err, "expected workers")
}

func TestLatencyIncludesDelayPastDueTime(t *testing.T) {
	p := &phase{rate: 10, duration: time.Hour, startedAt: time.Now().Add(-time.Second)}
	start, ok := p.waitUntilDue(5)
	assert.Assert(t, ok)
	assert.Equal(t, start.Sub(p.startedAt), 500*time.Millisecond)
	p.duration = time.Second
	_, ok = p.waitUntilDue(5)
	assert.Assert(t, !ok)
}

func TestReportFormats(t *testing.T) {
	direct, gate := newMeasurement(), newMeasurement()
	for i := range 100 {
		assert.NilError(t, direct.latencies.RecordValue(int64(1000+i)))
		assert.NilError(t, gate.latencies.RecordValue(int64(1500+10*i)))
	}
	direct.succeeded, direct.elapsed = 100, time.Second
	gate.succeeded, gate.elapsed, gate.errors = 80, time.Second, 3
	c := &Comparison{comparisonWire{Rate: 100, Direct: newSideWire(direct, direct), Gate: newSideWire(gate, gate)}}
	c.computeRatios(gate)
	var b strings.Builder
	assert.NilError(t, c.WriteTable(&b))
	assert.NilError(t, c.WriteJSON(&b))
	golden.Assert(t, b.String(), "table.golden")
}
