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
	checkPeriod        = 200 * time.Millisecond
	checkTimeout       = time.Second
	dialTimeout        = time.Second
	idleConnsPerTarget = 64
)

var (
	// errUnsent means that no gate took a byte of the request.
	errUnsent = errors.New("no gate reached")
	// errNoneReady means that no gate said that it is ready.
	errNoneReady = errors.New("no gate ready")
)

// Balancer sends requests to the gates that are ready, by turns.
type Balancer struct {
	client *http.Client
	gates  []string
	mu     sync.Mutex
	ready  map[string]bool
	next   int
}

// NewBalancer returns a balancer over the callers' addresses of gates; none is ready before the first check.
func NewBalancer(gates []string) *Balancer {
	dialer := net.Dialer{Timeout: dialTimeout}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnsPerTarget,
	}}
	return &Balancer{client: client, gates: gates, ready: map[string]bool{}}
}

// CheckAll asks each gate's /readyz once.
func (b *Balancer) CheckAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, gate := range b.gates {
		wg.Go(func() { b.setReady(gate, b.check(ctx, gate)) })
	}
	wg.Wait()
}

// Run asks each gate's /readyz by turns until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, gate := range b.gates {
		wg.Go(func() { b.watch(ctx, gate) })
	}
	wg.Wait()
}

func (b *Balancer) watch(ctx context.Context, gate string) {
	ticks := time.NewTicker(checkPeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
			b.setReady(gate, b.check(ctx, gate))
		}
	}
}

func (b *Balancer) check(ctx context.Context, gate string) bool {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
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

func (b *Balancer) setReady(gate string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[gate] = ok
}

// turn returns the ready gates, the one whose turn it is first.
func (b *Balancer) turn() []string {
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

// Do sends the request that build makes for a gate, and goes on to the next gate where no byte was sent.
func (b *Balancer) Do(ctx context.Context, build func(gate string) (*http.Request, error)) (*http.Response, error) {
	gates := b.turn()
	if len(gates) == 0 {
		return nil, errNoneReady
	}
	for _, gate := range gates {
		req, err := build(gate)
		if err != nil {
			return nil, err
		}
		resp, sent, err := b.send(ctx, req)
		if err == nil || sent {
			return resp, err
		}
		b.setReady(gate, false)
	}
	return nil, errUnsent
}

func (b *Balancer) send(ctx context.Context, req *http.Request) (resp *http.Response, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	resp, err = b.client.Do(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	return resp, connected.Load(), err
}
