package bench

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mangowing/stand/worker"
)

const (
	maxLatency    = time.Minute
	latencyDigits = 3
	callTimeout   = 30 * time.Second
	requestPrefix = "bench-"
)

// target is one side of the comparison. Each caller uses one of the URLs throughout a phase.
type target struct {
	urls         []string
	header       http.Header
	expectedCode string
}

// measurement is the result of one or more phases.
type measurement struct {
	latencies *hdrhistogram.Histogram
	succeeded int
	errors    int
	elapsed   time.Duration
}

func newMeasurement() *measurement {
	return &measurement{latencies: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

// perSecond returns the number of successful answers per second.
func (m *measurement) perSecond() float64 {
	if m.elapsed == 0 {
		return 0
	}
	return float64(m.succeeded) / m.elapsed.Seconds()
}

func (m *measurement) merge(other *measurement) {
	m.latencies.Merge(other.latencies)
	m.succeeded += other.succeeded
	m.errors += other.errors
	m.elapsed += other.elapsed
}

// phase is a load of several callers on one target for a duration. The rate is in requests per second; with rate 0, each
// caller sends its next request as soon as the last one is answered.
type phase struct {
	target       target
	callers      int
	rate         float64
	duration     time.Duration
	body         []byte
	startedAt    time.Time
	requestCount atomic.Int64
	client       *http.Client
}

func (p *phase) run(ctx context.Context) *measurement {
	p.client = &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: p.callers},
		Timeout:   callTimeout,
	}
	defer p.client.CloseIdleConnections()
	measurements := make([]*measurement, p.callers)
	p.startedAt = time.Now()
	var wg sync.WaitGroup
	for i := range measurements {
		measurements[i] = newMeasurement()
		wg.Go(func() { p.runCaller(ctx, p.target.urls[i%len(p.target.urls)], measurements[i]) })
	}
	wg.Wait()
	total := newMeasurement()
	for _, s := range measurements {
		total.merge(s)
	}
	total.elapsed = time.Since(p.startedAt)
	return total
}

func (p *phase) runCaller(ctx context.Context, url string, result *measurement) {
	for {
		n := p.requestCount.Add(1)
		start, ok := p.waitUntilDue(n)
		if !ok || ctx.Err() != nil {
			return
		}
		if !p.send(ctx, url, n) {
			result.errors++
			continue
		}
		result.succeeded++
		_ = result.latencies.RecordValue(max(1, time.Since(start).Microseconds()))
	}
}

// waitUntilDue waits until the n-th request is due and returns the start of its latency. If all callers were busy when it
// was due, that is the due time, so that queueing in the client counts; otherwise it is now. ok is false once the phase
// is over.
func (p *phase) waitUntilDue(n int64) (start time.Time, ok bool) {
	start = time.Now()
	if p.rate > 0 {
		due := p.startedAt.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
		if wait := due.Sub(start); wait > 0 {
			time.Sleep(wait)
			start = time.Now()
		} else {
			start = due
		}
	}
	return start, time.Since(p.startedAt) < p.duration
}

// send sends one request and reports whether a complete, successful answer with the expected code came back.
func (p *phase) send(ctx context.Context, url string, n int64) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(p.body))
	if err != nil {
		return false
	}
	req.Header = p.target.header.Clone()
	req.Header.Set(worker.HeaderRequestID, requestPrefix+strconv.FormatInt(p.startedAt.UnixNano(), 36)+"-"+strconv.FormatInt(n, 10))
	resp, err := p.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("Mango-Code") == p.target.expectedCode
}
