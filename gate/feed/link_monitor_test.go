package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/timer"
	"mangowing/gate/owner"
	"mangowing/gate/peers"
	"mangowing/gate/ports"
)

// linkFakes is a log and a network between gates. While they are down, calls get no answer.
type linkFakes struct {
	ports.Log
	down  atomic.Bool
	calls atomic.Int32
}

// Read returns an empty page after the wait.
func (f *linkFakes) Read(ctx context.Context, _ string, _ int, from int64, wait time.Duration) (ports.Page, error) {
	if f.down.Load() {
		<-ctx.Done()
		return ports.Page{}, ports.ErrOutcomeUnknown
	}
	timer.Sleep(ctx, wait)
	return ports.Page{StartOffset: from}, nil
}

// Call counts the call and answers nothing of use.
func (f *linkFakes) Call(ctx context.Context, _, _ string, _, _ any) error {
	f.calls.Add(1)
	if f.down.Load() {
		<-ctx.Done()
		return peers.ErrNoAnswer
	}
	return nil
}

// DropIfIdle does nothing.
func (f *linkFakes) DropIfIdle(string, time.Duration) {}

// spectator claims no ownership.
type spectator struct{}

// IsEligible returns false.
func (spectator) IsEligible() bool { return false }

// ClaimDelay returns 0.
func (spectator) ClaimDelay() time.Duration { return 0 }

// Guards against a monitor that asks too late, or keeps asking while the log answers, and against one that misses the link's return
// since a call of before it hangs.
func TestLinkMonitorAsksTheLogAndOtherDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, m, start := &linkFakes{}, NewLinkMonitor(), time.Now()
		m.now = func() time.Duration { return time.Since(start) + time.Second }
		log := m.Observe(f)
		elector := owner.New(log, "a-1", "10.0.0.1:7000", spectator{})
		p := NewPeers(log, f, elector, "a-1", "10.0.0.1:7000", "a", 1)
		p.gates = []gateEntry{{Address: "10.0.0.2:7000", DataCentre: "a"}, {Address: "10.0.1.1:7000", DataCentre: "b"}}
		m.Connect(p, NewConfigs(nil, p))
		go func() { _ = elector.Follow(t.Context()) }()
		go func() { _ = m.Serve(t.Context()) }()
		time.Sleep(time.Second)
		callsAtStart := f.calls.Load()
		time.Sleep(5 * time.Second)
		assert.Assert(t, !m.IsCutOff())
		assert.Equal(t, f.calls.Load(), callsAtStart, "queries while the log answers")

		f.down.Store(true)
		time.Sleep(1100 * time.Millisecond)
		assert.Assert(t, m.IsCutOff())
		time.Sleep(6 * time.Second)
		assert.Assert(t, m.IsCutOff())
		f.down.Store(false)
		time.Sleep(time.Second)
		assert.Assert(t, !m.IsCutOff())
	})
}

// Guards against queries that all go to one data centre, and against a gate without a data centre that counts as remote.
func TestQueriedGatesAreSpreadOverDataCentres(t *testing.T) {
	p := NewPeers(nil, nil, nil, "a-1", "10.0.0.1:7000", "a", 1)
	for _, g := range []string{"a", "b", "b", "b", "b", "c", ""} {
		p.gates = append(p.gates, gateEntry{DataCentre: g})
	}
	remote, local := p.gatesByPlace()
	assert.Equal(t, len(remote), 5)
	assert.Equal(t, len(local), 2)
	assert.Assert(t, remote[0].DataCentre != remote[1].DataCentre)
}
