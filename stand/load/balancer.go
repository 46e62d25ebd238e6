package load

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pollInterval       = 200 * time.Millisecond
	pollTimeout        = time.Second
	dialTimeout        = time.Second
	idleConnsPerTarget = 64
)

var (
	// errNotSent means that no ready gate accepted a connection, so that nothing was sent.
	errNotSent = errors.New("no gate reached")
	// errNoGateReady means that no gate is known to be ready.
	errNoGateReady = errors.New("no gate ready")
)

// Balancer distributes requests round-robin over the gates that are ready.
type Balancer struct {
	client *http.Client
	gates  []string
	mu     sync.Mutex
	ready  map[string]bool
	next   int
}

// NewBalancer returns a balancer over the given gates, by their addresses for callers. No gate is ready before it was
// polled.
func NewBalancer(gates []string) *Balancer {
	dialer := net.Dialer{Timeout: dialTimeout}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnsPerTarget,
	}}
	return &Balancer{client: client, gates: gates, ready: map[string]bool{}}
}

// PollAll polls each gate's /readyz once.
func (b *Balancer) PollAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, gate := range b.gates {
		wg.Go(func() { b.setReady(gate, b.isReady(ctx, gate)) })
	}
	wg.Wait()
}

// Run polls each gate's /readyz periodically until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, gate := range b.gates {
		wg.Go(func() { b.pollReadiness(ctx, gate) })
	}
	wg.Wait()
}

func (b *Balancer) pollReadiness(ctx context.Context, gate string) {
	ticks := time.NewTicker(pollInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			b.setReady(gate, b.isReady(ctx, gate))
		}
	}
}

func (b *Balancer) isReady(ctx context.Context, gate string) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gate+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := b.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *Balancer) setReady(gate string, isReady bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[gate] = isReady
}

// readyGates returns the ready gates, rotated by one on each call.
func (b *Balancer) readyGates() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	var out []string
	for i := range b.gates {
		gate := b.gates[(b.next+i)%len(b.gates)]
		if b.ready[gate] {
			out = append(out, gate)
		}
	}
	return out
}

// Do sends the request that build returns for a ready gate. If no connection to the gate was obtained, it marks the gate
// as not ready and tries the next one.
func (b *Balancer) Do(ctx context.Context, build func(gate string) (*http.Request, error)) (*http.Response, error) {
	gates := b.readyGates()
	if len(gates) == 0 {
		return nil, errNoGateReady
	}
	for _, gate := range gates {
		req, err := build(gate)
		if err != nil {
			return nil, err
		}
		resp, connected, err := b.send(ctx, req)
		if err == nil || connected {
			return resp, err
		}
		b.setReady(gate, false)
	}
	return nil, errNotSent
}

func (b *Balancer) send(ctx context.Context, req *http.Request) (resp *http.Response, connected bool, err error) {
	var gotConn atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	resp, err = b.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	return resp, gotConn.Load(), err
}
