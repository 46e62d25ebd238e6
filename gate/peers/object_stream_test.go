package peers

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/gate/guard"
)

// textConn is a connection over which a text arrives.
type textConn struct{ *strings.Reader }

func (textConn) Write(p []byte) (int, error) { return len(p), nil }
func (textConn) Close() error                { return nil }

// Guards against bytes that are lost or read twice when the decoder is replaced.
func TestMessagesOfAllSizesInOneStream(t *testing.T) {
	var text strings.Builder
	sizes := []int{1, maxKeptBytes, 2, 3 * maxKeptBytes, 40 * maxKeptBytes, 5, 40 * maxKeptBytes, maxKeptBytes + 1, 7, 8}
	for n, size := range sizes {
		fmt.Fprintf(&text, "%q%s", strings.Repeat(string(rune('a'+n)), size), strings.Repeat("\n", n%3))
	}
	s := newObjectStream(textConn{strings.NewReader(text.String())})
	for n, size := range sizes {
		var message string
		assert.NilError(t, s.ReadObject(&message))
		assert.Assert(t, message == strings.Repeat(string(rune('a'+n)), size), "message %d", n)
	}
}

// Guards against connections that each keep the memory of the largest message that ever came: 256 of them kept some 1 MB each, beyond any budget.
func TestLargeMessagesAreNotKept(t *testing.T) {
	const streams, size = 100, 256 << 10
	heap := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	text := `"` + strings.Repeat("a", size) + `" 1 `
	before := heap()
	var open []*objectStream
	for range streams {
		s := newObjectStream(textConn{strings.NewReader(text)})
		var large, small json.RawMessage
		assert.NilError(t, s.ReadObject(&large))
		assert.NilError(t, s.ReadObject(&small))
		assert.ErrorIs(t, s.ReadObject(&small), io.EOF, "a connection always waits for its next message")
		open = append(open, s)
	}
	kept := heap() - before
	runtime.KeepAlive(open)
	assert.Assert(t, kept < streams*size/4, "%d bytes", kept)
}

// Guards against messages whose memory counts as free while they wait to be handled: each connection could hold one of the largest.
func TestMessageIsChargedUntilItIsHandled(t *testing.T) {
	n := newTestNetwork(freeAddress(t))
	g := guard.New(guard.Options{Port: t.Name(), Memory: 1 << 20, Connections: 4, Limits: func() guard.Limits { return guard.Limits{} }})
	n.Protect(g)
	for range cap(n.requests.slots) {
		n.requests.slots <- struct{}{}
	}
	address := serveMethod(t, n, "echo", func(context.Context, json.RawMessage) (any, error) { return "here", nil })
	var conn net.Conn
	assert.NilError(t, eventually(func() (err error) {
		conn, err = net.Dial("tcp", address)
		return err
	}))
	defer func() { _ = conn.Close() }()
	const size = 20 << 10
	_, err := fmt.Fprintf(conn, `{"jsonrpc":"2.0","id":1,"method":"echo","params":%q}`, strings.Repeat("a", size))
	assert.NilError(t, err)
	used := func(isExpected func(int64) bool) error {
		return eventually(func() error {
			if memory, _ := g.Used(); !isExpected(memory) {
				return fmt.Errorf("%d bytes", memory)
			}
			return nil
		})
	}
	assert.NilError(t, used(func(memory int64) bool { return memory >= size }))
	time.Sleep(50 * time.Millisecond)
	assert.NilError(t, used(func(memory int64) bool { return memory >= size }), "while it waits")
	for range cap(n.requests.slots) {
		<-n.requests.slots
	}
	assert.NilError(t, used(func(memory int64) bool { return memory == 0 }), "once it is handled")
}

// eventually repeats the check until it succeeds or hangLimit has passed, and returns its last error.
func eventually(check func() error) error {
	deadline := time.Now().Add(hangLimit)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// Guards against closing a quiet connection because the line end of its last message was read apart from it: the guard took that for the beginning
// of another message, which never came.
func TestLineEndReadApartBeginsNoMessage(t *testing.T) {
	const messageTime = 100 * time.Millisecond
	n := newTestNetwork(freeAddress(t))
	n.Protect(guard.New(guard.Options{Port: t.Name(), Memory: 1 << 20, Connections: 4, Limits: func() guard.Limits {
		return guard.Limits{HeaderTimeout: messageTime}
	}}))
	address := serveMethod(t, n, "echo", func(context.Context, json.RawMessage) (any, error) { return "here", nil })
	var conn net.Conn
	assert.NilError(t, eventually(func() (err error) {
		conn, err = net.Dial("tcp", address)
		return err
	}))
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(hangLimit)))
	answers := json.NewDecoder(conn)
	for range 2 {
		var answer struct{ Result string }
		_, err := fmt.Fprint(conn, `{"jsonrpc":"2.0","id":1,"method":"echo"}`)
		assert.NilError(t, err)
		assert.NilError(t, answers.Decode(&answer))
		assert.Equal(t, answer.Result, "here")
		_, err = fmt.Fprint(conn, "\n")
		assert.NilError(t, err)
		time.Sleep(5 * messageTime)
	}
}
