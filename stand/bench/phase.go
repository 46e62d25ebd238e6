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
	longest       = time.Minute
	digits        = 3
	callTimeout   = 30 * time.Second
	requestPrefix = "bench-"
)

// target is one side of the comparison: each caller keeps to one of the URLs.
type target struct {
	urls   []string
	header http.Header
	code   string
}

// sample is what one or more phases measured.
type sample struct {
	took   *hdrhistogram.Histogram
	count  int
	errors int
	spent  time.Duration
}

func newSample() *sample {
	return &sample{took: hdrhistogram.New(1, longest.Microseconds(), digits)}
}

// perSecond returns the good answers a second.
func (s *sample) perSecond() float64 {
	if s.spent == 0 {
		return 0
	}
	return float64(s.count) / s.spent.Seconds()
}

func (s *sample) merge(o *sample) {
	s.took.Merge(o.took)
	s.count += o.count
	s.errors += o.errors
	s.spent += o.spent
}

// phase is a load of several callers on one target for a duration; rate is 0 for as fast as answers come.
type phase struct {
	target   target
	callers  int
	rate     float64
	duration time.Duration
	body     []byte
	began    time.Time
	turn     atomic.Int64
	client   *http.Client
}

func (p *phase) run(ctx context.Context) *sample {
	p.client = &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: p.callers},
		Timeout:   callTimeout,
	}
	defer p.client.CloseIdleConnections()
	samples := make([]*sample, p.callers)
	p.began = time.Now()
	var wg sync.WaitGroup
	for i := range samples {
		samples[i] = newSample()
		wg.Go(func() { p.call(ctx, p.target.urls[i%len(p.target.urls)], samples[i]) })
	}
	wg.Wait()
	out := newSample()
	for _, s := range samples {
		out.merge(s)
	}
	out.spent = time.Since(p.began)
	return out
}

func (p *phase) call(ctx context.Context, url string, s *sample) {
	for {
		n := p.turn.Add(1)
		start, ok := p.await(n)
		if !ok || ctx.Err() != nil {
			return
		}
		if !p.ask(ctx, url, n) {
			s.errors++
			continue
		}
		s.count++
		_ = s.took.RecordValue(max(1, time.Since(start).Microseconds()))
	}
}

// await waits for a request's turn and returns when its time begins to count: when it was due if all callers were busy
// then, else now.
func (p *phase) await(n int64) (start time.Time, ok bool) {
	start = time.Now()
	if p.rate > 0 {
		due := p.began.Add(time.Duration(float64(n) / p.rate * float64(time.Second)))
		if wait := due.Sub(start); wait > 0 {
			time.Sleep(wait)
			start = time.Now()
		} else {
			start = due
		}
	}
	return start, time.Since(p.began) < p.duration
}

// ask makes one call and tells whether a good and whole answer came.
func (p *phase) ask(ctx context.Context, url string, n int64) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(p.body))
	if err != nil {
		return false
	}
	req.Header = p.target.header.Clone()
	req.Header.Set(worker.HeaderRequestID, requestPrefix+strconv.FormatInt(p.began.UnixNano(), 36)+"-"+strconv.FormatInt(n, 10))
	resp, err := p.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("Mango-Code") == p.target.code
}
