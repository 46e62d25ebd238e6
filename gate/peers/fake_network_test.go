package peers

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"mangowing/core/proc"
)

const testPeriod = time.Second

// linkState is how the fake network handles calls to an address.
type linkState int

const (
	linkUp linkState = iota
	linkRefused
	linkNoAnswer
)

// fakeNetwork connects gates in memory.
type fakeNetwork struct {
	mu       sync.Mutex
	handlers map[string]Handler
	states   map[string]linkState
	calls    map[string]int
}

func newFakeNetwork() *fakeNetwork {
	return &fakeNetwork{handlers: map[string]Handler{}, states: map[string]linkState{}, calls: map[string]int{}}
}

func (n *fakeNetwork) setState(address string, s linkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.states[address] = s
}

func (n *fakeNetwork) count(from, to string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.calls[from+">"+to]
}

// fakeTransport is one gate's access to the fake network.
type fakeTransport struct {
	network *fakeNetwork
	address string
}

func (p fakeTransport) Handle(method string, h Handler) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.handlers[p.address+method] = h
}

func (p fakeTransport) Call(ctx context.Context, address, method string, params, result any) error {
	p.network.mu.Lock()
	p.network.calls[p.address+">"+address]++
	state, handle := p.network.states[address], p.network.handlers[address+method]
	if p.network.states[p.address] != linkUp {
		state = linkNoAnswer
	}
	p.network.mu.Unlock()
	switch {
	case state == linkRefused || handle == nil:
		return ErrRefused
	case state == linkNoAnswer:
		<-ctx.Done()
		return ErrNoAnswer
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := handle(ctx, raw)
	if err != nil {
		return err
	}
	raw, err = json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

func (fakeTransport) Drop(string) {}

// testGate is a gate's membership in a synctest bubble.
type testGate struct {
	*Membership
	status  GateStatus
	changes atomic.Int64
}

var declaredGates = []Member{NewMember("a", "one", "a"), NewMember("b", "one", "b"), NewMember("c", "two", "c")}

// startGate runs a gate until the test ends or the returned function is called.
func startGate(t *testing.T, network *fakeNetwork, name string, members ...Member) (*testGate, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	process := proc.New(name)
	network.setState(name, linkRefused)
	g := &testGate{status: GateStatus{Ready: true}}
	g.Membership = NewMembership(process, fakeTransport{network, name}, append([]Member(nil), members...), testPeriod, func() GateStatus { return g.status })
	g.OnChange(func(*View) { g.changes.Add(1) })
	network.setState(name, linkUp)
	go func() { _ = process.Timers().Serve(ctx) }()
	go func() { _ = g.Serve(ctx) }()
	return g, cancel
}

// advance advances the virtual time and waits until all goroutines are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (g *testGate) member(name string) (Member, bool) {
	for _, m := range g.View().Members() {
		if m.Name() == name {
			return m, g.View().IsReachable(m)
		}
	}
	return Member{}, false
}
