package load

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const probeInterval = 20 * time.Millisecond

// Probe waits for every gate to be ready, or to answer a request with an expected code.
type Probe struct {
	Gates  []string      // the gates' addresses for callers
	Queue  string        // the queue to send a request to; if empty, readiness is polled
	Key    string        // the API key of the request, may be empty
	Expect int           // the expected code
	Within time.Duration // the time limit for all gates together
}

// Run polls each gate until it answers as expected, and returns how long the slowest took. If some gates do
// not answer as expected in time, the error holds their addresses.
func (p Probe) Run(ctx context.Context) (time.Duration, error) {
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(ctx, p.Within)
	defer cancel()
	timedOut := make([]bool, len(p.Gates))
	var wg sync.WaitGroup
	for i, gate := range p.Gates {
		wg.Go(func() { timedOut[i] = !p.awaitExpected(ctx, gate) })
	}
	wg.Wait()
	var names []string
	for i, hasTimedOut := range timedOut {
		if hasTimedOut {
			names = append(names, p.Gates[i])
		}
	}
	if len(names) > 0 {
		return time.Since(startedAt), eris.Errorf("not as expected within %s: %s", p.Within, strings.Join(names, ", "))
	}
	return time.Since(startedAt), nil
}

func (p Probe) awaitExpected(ctx context.Context, gate string) bool {
	for ctx.Err() == nil {
		if p.isAsExpected(ctx, gate) {
			return true
		}
		sleep(ctx, probeInterval)
	}
	return false
}

func (p Probe) isAsExpected(ctx context.Context, gate string) bool {
	method, path := http.MethodGet, "/readyz"
	if p.Queue != "" {
		method, path = http.MethodPost, "/v1/queues/"+p.Queue+"/requests"
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+gate+path, nil)
	if err != nil {
		return false
	}
	if p.Key != "" {
		req.Header.Set("Authorization", "Bearer "+p.Key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if p.Queue == "" {
		return resp.StatusCode == http.StatusOK
	}
	return resp.Header.Get("Mango-Code") == strconv.Itoa(p.Expect)
}
