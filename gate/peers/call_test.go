package peers

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/core/event"
)

const (
	largeBody       = 1 << 20
	hangLimit       = 5 * time.Second
	concurrentCalls = 50
)

func newTestNetwork(address string) *Network { return NewNetwork(address, nil, &event.Clock{}) }

func TestCallReturnsAnswerOrErrorOfServer(t *testing.T) {
	scenarios := []struct {
		testName, method string
		failure          error
		expected         codes.Code
		detail           string
	}{
		{"an answer", "echo", nil, codes.OK, ""},
		{"a coded error keeps code and detail", "echo", codes.Errorf(codes.TeamLimit, "3 of 3"), codes.TeamLimit, "3 of 3"},
		{"another error is an internal one", "echo", errors.New("broken"), codes.Internal, "broken"},
		{"an unknown method is an internal error", "missing", nil, codes.Internal, "missing"},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			address := serveMethod(t, newTestNetwork(freeAddress(t)), "echo",
				func(context.Context, json.RawMessage) (any, error) { return "here", s.failure })
			caller := newTestNetwork("")
			var answer string
			assert.NilError(t, waitForListener(caller, address))
			err := caller.Call(t.Context(), address, s.method, struct{}{}, &answer)
			assert.Equal(t, codes.Of(err), s.expected)
			assert.Equal(t, answer == "here", s.expected == codes.OK)
			var coded *codes.Error
			if errors.As(err, &coded) {
				assert.Equal(t, coded.Detail(), s.detail)
			}
		})
	}
}

// A panic in a handler must not end the gate's process.
func TestPanicInHandlerFailsOnlyItsCall(t *testing.T) {
	address := serveMethod(t, newTestNetwork(freeAddress(t)), "index",
		func(_ context.Context, params json.RawMessage) (any, error) {
			var list []int
			if err := json.Unmarshal(params, &list); err != nil {
				return nil, err
			}
			return list[2], nil
		})
	caller := newTestNetwork("")
	assert.NilError(t, waitForListener(caller, address))
	answer := 0
	assert.Equal(t, codes.Of(caller.Call(t.Context(), address, "index", []int{1}, &answer)), codes.Internal)
	assert.NilError(t, caller.Call(t.Context(), address, "index", []int{1, 2, 3}, &answer))
	assert.Equal(t, answer, 3)
}

// waitForListener calls an unknown method until the address accepts connections.
func waitForListener(n *Network, address string) error {
	for {
		err := n.Call(context.Background(), address, "nothing", struct{}{}, nil)
		if errors.Is(err, ErrNoAnswer) {
			return err
		}
		if !errors.Is(err, ErrRefused) {
			return nil
		}
	}
}

func TestCallToUnusedAddressIsRefused(t *testing.T) {
	err := newTestNetwork("").Call(t.Context(), freeAddress(t), "echo", struct{}{}, nil)
	assert.ErrorIs(t, err, ErrRefused)
}

func TestCallReturnsErrNoAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		cancel()
	}()
	err = newTestNetwork("").Call(ctx, listener.Addr().String(), "echo", struct{}{}, nil)
	assert.ErrorIs(t, err, ErrNoAnswer)
}

func TestCallWithLargeBody(t *testing.T) {
	address := serveMethod(t, newTestNetwork(freeAddress(t)), "echo",
		func(_ context.Context, raw json.RawMessage) (any, error) { return raw, nil })
	caller := newTestNetwork("")
	assert.NilError(t, waitForListener(caller, address))
	sent := strings.Repeat("é", largeBody/2)
	var answer string
	assert.NilError(t, caller.Call(t.Context(), address, "echo", sent, &answer))
	assert.Assert(t, answer == sent)
	received, out := caller.Bytes()
	assert.Assert(t, received > largeBody && out > largeBody, "%d %d", received, out)
}

// Each handler waits for all the others, so no call would end if one handler blocked the connection.
func TestCallsRunConcurrentlyOverOneConnection(t *testing.T) {
	var arrived sync.WaitGroup
	arrived.Add(concurrentCalls)
	server := newTestNetwork(freeAddress(t))
	address := serveMethod(t, server, "meet", func(_ context.Context, raw json.RawMessage) (any, error) {
		arrived.Done()
		arrived.Wait()
		return raw, nil
	})
	caller := newTestNetwork("")
	assert.NilError(t, waitForListener(caller, address))
	ctx, cancel := context.WithTimeout(t.Context(), hangLimit)
	defer cancel()
	answers := make([]int, concurrentCalls)
	var calls sync.WaitGroup
	for i := range concurrentCalls {
		calls.Go(func() { _ = caller.Call(ctx, address, "meet", i, &answers[i]) })
	}
	calls.Wait()
	for i, answer := range answers {
		assert.Equal(t, answer, i)
	}
	server.mu.Lock()
	defer server.mu.Unlock()
	assert.Equal(t, len(server.incoming), 1)
}

func TestCallReturnsErrNoAnswerWhenConnectionCloses(t *testing.T) {
	scenarios := []struct {
		testName string
		drop     func(server, caller *Network)
	}{
		{"the server ends", func(server, _ *Network) { server.closeAll() }},
		{"the caller drops the address", func(server, caller *Network) { caller.Drop(server.address) }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			server, caller := newTestNetwork(freeAddress(t)), newTestNetwork("")
			held := make(chan struct{})
			address := serveMethod(t, server, "hold", func(context.Context, json.RawMessage) (any, error) {
				s.drop(server, caller)
				<-held
				return "late", nil
			})
			defer close(held)
			assert.NilError(t, waitForListener(caller, address))
			assert.ErrorIs(t, caller.Call(t.Context(), address, "hold", struct{}{}, nil), ErrNoAnswer)
		})
	}
}

func TestCallReconnectsToNewProcessAtSameAddress(t *testing.T) {
	address, caller := freeAddress(t), newTestNetwork("")
	for _, name := range []string{"first", "second", "third"} {
		ctx, cancel := context.WithCancel(t.Context())
		server, served := newTestNetwork(address), make(chan error, 1)
		server.Handle("echo", func(context.Context, json.RawMessage) (any, error) { return name, nil })
		go func() { served <- server.Serve(ctx) }()
		var answer string
		assert.NilError(t, callWhenUp(caller, address, &answer))
		assert.Equal(t, answer, name)
		gone := caller.outgoingTo(address).conn.DisconnectNotify()
		cancel()
		<-served
		<-gone
		assert.ErrorIs(t, caller.Call(t.Context(), address, "echo", struct{}{}, nil), ErrRefused)
	}
}
