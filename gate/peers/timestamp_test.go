package peers

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/core/event"
)

// newClockAhead returns a clock whose timestamps are d in the future.
func newClockAhead(d time.Duration) *event.Clock {
	clock := &event.Clock{}
	clock.Observe(event.TimestampAt(time.Now().Add(d)))
	return clock
}

func TestCallsCarryTimestamps(t *testing.T) {
	scenarios := []struct {
		testName       string
		caller, server *event.Clock
		failure        error
	}{
		{"the caller's clock is ahead", newClockAhead(time.Hour), newClockAhead(0), nil},
		{"the server's clock is ahead", newClockAhead(0), newClockAhead(time.Hour), nil},
		{"the server's clock is ahead and it refuses", newClockAhead(0), newClockAhead(time.Hour), codes.Errorf(codes.TeamLimit, "full")},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var serverTime event.Timestamp
			address := serveMethod(t, NewNetwork(freeAddress(t), nil, s.server), "echo",
				func(context.Context, json.RawMessage) (any, error) {
					serverTime = s.server.Now()
					return "here", s.failure
				})
			callerBefore := s.caller.Now()
			caller := NewNetwork("", nil, s.caller)
			var answer string
			err := callWhenUp(caller, address, &answer)
			assert.Equal(t, codes.Of(err), codes.Of(s.failure))
			callerAfter := s.caller.Now()
			assert.Assert(t, callerBefore < serverTime, "server timestamp %d is not after the caller's %d", serverTime, callerBefore)
			assert.Assert(t, serverTime < callerAfter, "caller timestamp %d is not after the server's %d", callerAfter, serverTime)
		})
	}
}

// serveMethod serves one method until the test ends and returns the address.
func serveMethod(t *testing.T, n *Network, method string, h Handler) string {
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan error, 1)
	n.Handle(method, h)
	go func() { served <- n.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-served })
	return n.address
}

func BenchmarkCall(b *testing.B) {
	listener, caller := NewNetwork(freeAddress(b), nil, &event.Clock{}), NewNetwork("", nil, &event.Clock{})
	listener.Handle("echo", func(context.Context, json.RawMessage) (any, error) { return "here", nil })
	ctx, cancel := context.WithCancel(b.Context())
	served := make(chan error, 1)
	go func() { served <- listener.Serve(ctx) }()
	b.Cleanup(func() { cancel(); <-served })
	var answer string
	assert.NilError(b, callWhenUp(caller, listener.address, &answer))
	for b.Loop() {
		assert.NilError(b, caller.Call(ctx, listener.address, "echo", struct{}{}, &answer))
	}
	received, sent := caller.Bytes()
	b.ReportMetric(float64(received+sent)/float64(b.N), "bytes/call")
}
