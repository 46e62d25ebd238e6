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
	methodHeartbeat         = "peers/beat"
	periodsUntilUnreachable = 5
	timeoutPeriods          = 2
	remotePeriodFactor      = 2
)

// GateStatus is the part of a heartbeat that the gate's services provide.
type GateStatus struct {
	Offset      uint64 // offset of the last log entry applied to the state
	Digest      uint64 // hash of the state at that offset
	StalenessMs int64  // milliseconds since the gate last read up to the log's end
	Ready       bool   // whether the load balancer may send requests
	Stopping    bool   // whether a planned stop has begun
	Withdrawn   uint64 // digest of withdrawals not yet on the log
}

type heartbeatWire struct {
	Name        string `json:"name"`
	Incarnation string `json:"incarnation"`
	Offset      uint64 `json:"offset"`
	Digest      uint64 `json:"digest"`
	StalenessMs int64  `json:"staleness-ms"`
	Ready       bool   `json:"ready"`
	Stopping    bool   `json:"stopping"`
	Withdrawn   uint64 `json:"withdrawn"`
}

// transport is the part of Network that Membership uses.
type transport interface {
	Handle(method string, h Handler)
	Call(ctx context.Context, address, method string, params, result any) error
	Drop(address string)
}

// Membership exchanges heartbeats with the other declared gates and publishes a View of all of them.
type Membership struct {
	process         *proc.Process
	network         transport
	dataCentre      string
	period          time.Duration
	status          func() GateStatus
	view            atomic.Pointer[View]
	mu              sync.Mutex
	members         []Member
	onChange        []func(*View)
	onHeartbeat     []func(m Member, withdrawn uint64)
	announceSignals []chan struct{}
}

// NewMembership returns the membership of the declared gates. status is called before each heartbeat that is sent.
func NewMembership(process *proc.Process, network transport, members []Member, period time.Duration, status func() GateStatus) *Membership {
	m := &Membership{process: process, network: network, period: period, status: status, members: members}
	for i := range m.members {
		if m.members[i].name == process.Name() {
			m.members[i].isSelf = true
			m.dataCentre = m.members[i].dataCentre
		}
		m.announceSignals = append(m.announceSignals, make(chan struct{}, 1))
	}
	m.refreshSelf()
	m.publish()
	network.Handle(methodHeartbeat, m.handleHeartbeat)
	return m
}

// View returns the latest view.
func (m *Membership) View() *View { return m.view.Load() }

// Self returns this gate's own member.
func (m *Membership) Self() Member {
	for _, member := range m.View().members {
		if member.isSelf {
			return member
		}
	}
	return Member{}
}

// OnChange registers a function that is called after a gate's reachability, incarnation, readiness or stopping flag changes. It
// must be called before Serve.
func (m *Membership) OnChange(f func(*View)) { m.onChange = append(m.onChange, f) }

// OnHeartbeat registers a function that is called with each received heartbeat's sender and its digest of withdrawals. It must
// be called before Serve.
func (m *Membership) OnHeartbeat(f func(m Member, withdrawn uint64)) {
	m.onHeartbeat = append(m.onHeartbeat, f)
}

// Serve exchanges heartbeats until the context ends.
func (m *Membership) Serve(ctx context.Context) error {
	var wg sync.WaitGroup
	for i := range m.members {
		if m.members[i].isSelf {
			continue
		}
		wg.Go(func() { m.exchangeHeartbeats(ctx, i) })
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

// exchangeHeartbeats exchanges heartbeats with one gate until the context ends. In each pair of gates the one with the lower
// name sends them, less often across data centres. The other one sends only after it has received none for a while, to find
// out as well whether the address refuses connections.
func (m *Membership) exchangeHeartbeats(ctx context.Context, i int) {
	tick := m.process.Timers().Subscribe(m.heartbeatPeriod(i))
	defer tick.Close()
	m.exchange(ctx, i)
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.announceSignals[i]:
			m.exchange(ctx, i)
		case <-tick.C():
			if m.shouldSend(i) {
				m.exchange(ctx, i)
			}
		}
	}
}

func (m *Membership) heartbeatPeriod(i int) time.Duration {
	if m.members[i].dataCentre != m.dataCentre {
		return m.period * remotePeriodFactor
	}
	return m.period
}

func (m *Membership) shouldSend(i int) bool {
	if m.process.Name() < m.members[i].name {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Since(m.members[i].lastHeartbeat) > m.heartbeatPeriod(i)*3/2
}

func (m *Membership) exchange(ctx context.Context, i int) {
	callCtx, cancel := context.WithTimeout(ctx, m.period*timeoutPeriods)
	defer cancel()
	address := m.members[i].address
	var answer heartbeatWire
	err := m.network.Call(callCtx, address, methodHeartbeat, m.ownHeartbeat(), &answer)
	switch {
	case err == nil:
		m.recordHeartbeat(answer)
	case errors.Is(err, ErrRefused):
		m.markRefused(i)
	case ctx.Err() == nil:
		m.network.Drop(address)
	}
}

func (m *Membership) ownHeartbeat() heartbeatWire {
	status := m.status()
	return heartbeatWire{
		m.process.Name(), m.process.Incarnation(), status.Offset, status.Digest, status.StalenessMs,
		status.Ready, status.Stopping, status.Withdrawn,
	}
}

func (m *Membership) handleHeartbeat(_ context.Context, raw json.RawMessage) (any, error) {
	var heartbeat heartbeatWire
	if err := json.Unmarshal(raw, &heartbeat); err != nil {
		return nil, err
	}
	m.recordHeartbeat(heartbeat)
	return m.ownHeartbeat(), nil
}

func (m *Membership) recordHeartbeat(heartbeat heartbeatWire) {
	m.mu.Lock()
	changed := false
	var sender Member
	for i := range m.members {
		member := &m.members[i]
		if member.name != heartbeat.Name || member.isSelf {
			continue
		}
		old := *member
		member.heartbeat, member.lastHeartbeat, member.refusing = heartbeat, time.Now(), false
		sender = *member
		changed = old.refusing || old.lastHeartbeat.IsZero() || old.Incarnation() != heartbeat.Incarnation ||
			old.IsReady() != heartbeat.Ready || old.IsStopping() != heartbeat.Stopping
	}
	m.mu.Unlock()
	if changed {
		klog.V(1).InfoS("gate-heard", "gate", heartbeat.Name, "incarnation", heartbeat.Incarnation, "ready", heartbeat.Ready, "stopping", heartbeat.Stopping)
	}
	m.publishIfChanged(changed)
	for _, f := range m.onHeartbeat {
		f(sender, heartbeat.Withdrawn)
	}
}

func (m *Membership) markRefused(i int) {
	m.mu.Lock()
	changed := !m.members[i].refusing
	m.members[i].refusing = true
	m.mu.Unlock()
	m.publishIfChanged(changed)
}

// Announce sends this gate's status to all gates at once, for example after it became ready or began a planned stop.
func (m *Membership) Announce() {
	m.refreshSelf()
	m.publish()
	for _, c := range m.announceSignals {
		select {
		case c <- struct{}{}:
		default:
		}
	}
}

func (m *Membership) refreshSelf() {
	heartbeat := m.ownHeartbeat()
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.members {
		if m.members[i].isSelf {
			m.members[i].heartbeat = heartbeat
			m.members[i].lastHeartbeat = time.Now()
		}
	}
}

func (m *Membership) publishIfChanged(changed bool) {
	if changed {
		m.publish()
	}
}

func (m *Membership) publish() {
	m.mu.Lock()
	v := &View{append([]Member(nil), m.members...), time.Now(), m.period * periodsUntilUnreachable}
	m.mu.Unlock()
	old := m.view.Swap(v)
	if old != nil && !hasSameStatus(old, v) {
		for _, f := range m.onChange {
			f(v)
		}
	}
}

func hasSameStatus(a, b *View) bool {
	for i := range a.members {
		x, y := a.members[i], b.members[i]
		if a.IsReachable(x) != b.IsReachable(y) || x.Incarnation() != y.Incarnation() || x.IsReady() != y.IsReady() || x.IsStopping() != y.IsStopping() {
			return false
		}
	}
	return true
}
