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

const probePause = 20 * time.Millisecond

// Probe is a question to every gate: whether it is ready, or which code a request with a key gets.
type Probe struct {
	Gates  []string      // the gates' addresses for callers
	Queue  string        // the queue to ask, empty to ask for readiness
	Key    string        // the key that comes with the request
	Expect int           // the code that the request should get
	Within time.Duration // how long to go on asking
}

// Run asks each gate until it answers as expected, and returns how long the slowest took.
func (p Probe) Run(ctx context.Context) (time.Duration, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, p.Within)
	defer cancel()
	late := make([]bool, len(p.Gates))
	var wg sync.WaitGroup
	for i, gate := range p.Gates {
		wg.Go(func() { late[i] = !p.await(ctx, gate) })
	}
	wg.Wait()
	var names []string
	for i, isLate := range late {
		if isLate {
			names = append(names, p.Gates[i])
		}
	}
	if len(names) > 0 {
		return time.Since(began), eris.Errorf("not as expected within %s: %s", p.Within, strings.Join(names, ", "))
	}
	return time.Since(began), nil
}

func (p Probe) await(ctx context.Context, gate string) bool {
	for ctx.Err() == nil {
		if p.ask(ctx, gate) {
			return true
		}
		pause(ctx, probePause)
	}
	return false
}

func (p Probe) ask(ctx context.Context, gate string) bool {
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
