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

// aheadBy returns a clock whose stamps are that far in the future.
func aheadBy(d time.Duration) *event.Clock {
	clock := &event.Clock{}
	clock.Observe(event.TimestampAt(time.Now().Add(d)))
	return clock
}

func TestCallsCarryTheClock(t *testing.T) {
	scenarios := []struct {
		testName       string
		caller, server *event.Clock
		failure        error
	}{
		{"the caller's clock is ahead", aheadBy(time.Hour), aheadBy(0), nil},
		{"the server's clock is ahead", aheadBy(0), aheadBy(time.Hour), nil},
		{"the server's clock is ahead and it refuses", aheadBy(0), aheadBy(time.Hour), codes.Errorf(codes.TeamLimit, "full")},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var there event.Timestamp
			address := serveMethods(t, NewNetwork(freeAddress(t), nil, s.server), "echo",
				func(context.Context, json.RawMessage) (any, error) {
					there = s.server.Now()
					return "here", s.failure
				})
			before := s.caller.Now()
			caller := NewNetwork("", nil, s.caller)
			var answer string
			err := callWhenUp(caller, address, &answer)
			assert.Equal(t, codes.Of(err), codes.Of(s.failure))
			after := s.caller.Now()
			assert.Assert(t, before < there, "the server's stamp %d does not follow the caller's %d", there, before)
			assert.Assert(t, there < after, "the caller's stamp %d does not follow the server's %d", after, there)
		})
	}
}

// serveMethods serves one method until the test ends and returns the address.
func serveMethods(t *testing.T, n *Network, method string, h Handler) string {
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
