package peers

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/proc"
)

const (
	methodBeat      = "peers/beat"
	beatsUntilLost  = 5
	beatTimeoutPart = 2
	farPeriods      = 2
)

// GateStatus is the status that a gate sends in each heartbeat.
type GateStatus struct {
	Offset      uint64 // last log offset folded
	Digest      uint64 // hash of the state at that offset
	StalenessMs int64  // milliseconds since the log's end was last seen
	Ready       bool   // whether the balancer may send work
	Stopping    bool   // whether a planned stop began
	Withdrawn   uint64 // digest of withdrawals not yet on the log
}

type beatWire struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Offset      uint64 `json:"offset"`
	Digest      uint64 `json:"digest"`
	StalenessMs int64  `json:"staleness-ms"`
	Ready       bool   `json:"ready"`
	Stopping    bool   `json:"stopping"`
	Withdrawn   uint64 `json:"withdrawn"`
}

// caller is what the membership needs of the network.
type caller interface {
	Handle(method string, h Handler)
	Call(ctx context.Context, address, method string, params, result any) error
	Drop(address string)
}

// Membership exchanges heartbeats with every declared gate and publishes a view.
type Membership struct {
	process    *proc.Process
	network    caller
	dataCentre string
	period     time.Duration
	facts      func() GateStatus
	view       atomic.Pointer[View]
	mu         sync.Mutex
	members    []Member
	onChange   []func(*View)
	onBeat     []func(m Member, withdrawn uint64)
	announce   []chan struct{}
}

// NewMembership returns the membership of the declared gates; facts is asked before each heartbeat.
func NewMembership(process *proc.Process, network caller, members []Member, period time.Duration, facts func() GateStatus) *Membership {
	m := &Membership{process: process, network: network, period: period, facts: facts, members: members}
	for i := range m.members {
		if m.members[i].name == process.Name() {
			m.members[i].self = true
			m.dataCentre = m.members[i].dataCentre
		}
		m.announce = append(m.announce, make(chan struct{}, 1))
	}
	m.refreshSelf()
	m.publish()
	network.Handle(methodBeat, m.answer)
	return m
}

// View returns the current view.
func (m *Membership) View() *View { return m.view.Load() }

// Self returns this gate's own member.
func (m *Membership) Self() Member {
	for _, member := range m.View().members {
		if member.self {
			return member
		}
	}
	return Member{}
}

// OnChange registers a function that is called after reachability, incarnation or role flags of a gate changed; call before Serve.
func (m *Membership) OnChange(f func(*View)) { m.onChange = append(m.onChange, f) }

// OnHeartbeat registers a function that is called with each heartbeat received; call before Serve.
func (m *Membership) OnHeartbeat(f func(m Member, withdrawn uint64)) { m.onBeat = append(m.onBeat, f) }

// Serve sends heartbeats until the context ends.
func (m *Membership) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	for i := range m.members {
		if m.members[i].self {
			continue
		}
		wg.Go(func() { m.beatOne(ctx, i) })
	}
	tick := m.process.Timers().Subscribe(m.period)
	defer tick.Close()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-tick.C():
			m.refreshSelf()
			m.publish()
		}
	}
	wg.Wait()
	return ctx.Err()
}

// beatOne exchanges heartbeats with one gate. Of each pair the gate with the lower name begins, less often across data
// centres; the other one begins only after silence, so that it too learns whether the address refuses connections.
func (m *Membership) beatOne(ctx context.Context, i int) {
	tick := m.process.Timers().Subscribe(m.periodOf(i))
	defer tick.Close()
	m.exchange(ctx, i)
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.announce[i]:
			m.exchange(ctx, i)
		case <-tick.C():
			if m.begins(i) {
				m.exchange(ctx, i)
			}
		}
	}
}

func (m *Membership) periodOf(i int) time.Duration {
	if m.members[i].dataCentre != m.dataCentre {
		return m.period * farPeriods
	}
	return m.period
}

func (m *Membership) begins(i int) bool {
	if m.process.Name() < m.members[i].name {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.members[i].heard) > m.periodOf(i)*3/2
}

func (m *Membership) exchange(ctx context.Context, i int) {
	callCtx, cancel := context.WithTimeout(ctx, m.period*beatTimeoutPart)
	defer cancel()
	address := m.members[i].address
	var answer beatWire
	err := m.network.Call(callCtx, address, methodBeat, m.ownBeat(), &answer)
	switch {
	case err == nil:
		m.hear(answer)
	case errors.Is(err, ErrRefused):
		m.markRefused(i)
	case ctx.Err() == nil:
		m.network.Drop(address)
	}
}

func (m *Membership) ownBeat() beatWire {
	f := m.facts()
	return beatWire{
		m.process.Name(), m.process.Incarnation(), f.Offset, f.Digest, f.StalenessMs,
		f.Ready, f.Stopping, f.Withdrawn,
	}
}

func (m *Membership) answer(_ context.Context, raw json.RawMessage) (any, error) {
	var beat beatWire
	if err := json.Unmarshal(raw, &beat); err != nil {
		return nil, err
	}
	m.hear(beat)
	return m.ownBeat(), nil
}

func (m *Membership) hear(beat beatWire) {
	m.mu.Lock()
	changed := false
	var heard Member
	for i := range m.members {
		member := &m.members[i]
		if member.name != beat.Name || member.self {
			continue
		}
		old := *member
		member.beat, member.heard, member.refused = beat, time.Now(), false
		heard = *member
		changed = old.refused || old.heard.IsZero() || old.Incarnation() != beat.Incarnation ||
			old.IsReady() != beat.Ready || old.IsStopping() != beat.Stopping
	}
	m.mu.Unlock()
	if changed {
		klog.V(1).InfoS("gate-heard", "gate", beat.Name, "incarnation", beat.Incarnation, "ready", beat.Ready, "stopping", beat.Stopping)
	}
	m.publishIf(changed)
	for _, f := range m.onBeat {
		f(heard, beat.Withdrawn)
	}
}

func (m *Membership) markRefused(i int) {
	m.mu.Lock()
	changed := !m.members[i].refused
	m.members[i].refused = true
	m.mu.Unlock()
	m.publishIf(changed)
}

// Announce tells every gate this gate's facts at once, such as that it is ready or that its planned stop began.
func (m *Membership) Announce() {
	m.refreshSelf()
	m.publish()
	for _, c := range m.announce {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (m *Membership) refreshSelf() {
	beat := m.ownBeat()
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.members {
		if m.members[i].self {
			m.members[i].beat = beat
			m.members[i].heard = time.Now()
		}
	}
}

func (m *Membership) publishIf(changed bool) {
	if changed {
		m.publish()
	}
}

func (m *Membership) publish() {
	m.mu.Lock()
	v := &View{append([]Member(nil), m.members...), time.Now(), m.period * beatsUntilLost}
	m.mu.Unlock()
	old := m.view.Swap(v)
	if old != nil && !sameRoles(old, v) {
		for _, f := range m.onChange {
			f(v)
		}
	}
}

func sameRoles(a, b *View) bool {
	for i := range a.members {
		x, y := a.members[i], b.members[i]
		if a.IsReachable(x) != b.IsReachable(y) || x.Incarnation() != y.Incarnation() || x.IsReady() != y.IsReady() || x.IsStopping() != y.IsStopping() {
			return false
		}
	}
	return true
}
