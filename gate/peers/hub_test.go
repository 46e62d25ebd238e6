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

// linkState is how the hub treats calls to an address.
type linkState int

const (
	linkUp linkState = iota
	linkRefused
	linkSilent
)

// hub joins gates in memory.
type hub struct {
	mu       sync.Mutex
	handlers map[string]Handler
	states   map[string]linkState
	calls    map[string]int
}

func newHub() *hub {
	return &hub{handlers: map[string]Handler{}, states: map[string]linkState{}, calls: map[string]int{}}
}

func (h *hub) set(address string, s linkState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.states[address] = s
}

func (h *hub) count(from, to string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls[from+">"+to]
}

// port is one gate's side of the hub.
type port struct {
	hub     *hub
	address string
}

func (p port) Handle(method string, h Handler) {
	p.hub.mu.Lock()
	defer p.hub.mu.Unlock()
	p.hub.handlers[p.address+method] = h
}

func (p port) Call(ctx context.Context, address, method string, params, result any) error {
	p.hub.mu.Lock()
	p.hub.calls[p.address+">"+address]++
	state, handle := p.hub.states[address], p.hub.handlers[address+method]
	if p.hub.states[p.address] != linkUp {
		state = linkSilent
	}
	p.hub.mu.Unlock()
	switch {
	case state == linkRefused || handle == nil:
		return ErrRefused
	case state == linkSilent:
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

func (port) Drop(string) {}

// testGate is one gate's membership that runs in the bubble.
type testGate struct {
	*Membership
	facts   GateStatus
	changes atomic.Int64
}

var declared = []Member{NewMember("a", "one", "a"), NewMember("b", "one", "b"), NewMember("c", "two", "c")}

// startGate runs a gate until the test ends or the returned function is called.
func startGate(t *testing.T, h *hub, name string, members ...Member) (*testGate, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	process := proc.New(name)
	h.set(name, linkRefused)
	g := &testGate{facts: GateStatus{Ready: true}}
	g.Membership = NewMembership(process, port{h, name}, append([]Member(nil), members...), testPeriod, func() GateStatus { return g.facts })
	g.OnChange(func(*View) { g.changes.Add(1) })
	h.set(name, linkUp)
	go func() { _ = process.Timers().Serve(ctx) }()
	go func() { _ = g.Serve(ctx) }()
	return g, cancel
}

// pass lets virtual time pass and everything that it sets off settle.
func pass(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

func (g *testGate) sees(name string) (Member, bool) {
	for _, m := range g.View().Members() {
		if m.Name() == name {
			return m, g.View().IsReachable(m)
		}
	}
	return Member{}, false
}
