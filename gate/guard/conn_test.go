package guard

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const testWriteTimeout = 500 * time.Millisecond

// pipeGuarded returns both ends of a connection without buffers, of which the first is guarded.
func pipeGuarded(t *testing.T) (guarded *Conn, client net.Conn) {
	g := New(Options{Port: t.Name(), Memory: 1 << 20, Connections: 1, Limits: func() Limits { return Limits{WriteTimeout: testWriteTimeout} }})
	server, client := net.Pipe()
	guarded = g.open(t.Context(), server)
	t.Cleanup(func() {
		_ = guarded.Close()
		_ = client.Close()
	})
	return guarded, client
}

// Guards against cutting a client that reads a large answer slowly: a gate that fetches a configuration of several megabytes over a slow link would
// lose its connection each time.
func TestLargeAnswerOverASlowLinkIsWritten(t *testing.T) {
	guarded, client := pipeGuarded(t)
	const parts = 8
	read := make(chan int64, 1)
	go func() {
		total := int64(0)
		for range parts {
			time.Sleep(testWriteTimeout / 5)
			n, _ := io.CopyN(io.Discard, client, writePartBytes)
			total += n
		}
		read <- total
	}()
	n, err := guarded.Write(make([]byte, parts*writePartBytes))
	assert.NilError(t, err)
	assert.Equal(t, n, parts*writePartBytes)
	assert.Equal(t, <-read, int64(n))
	assert.Equal(t, guarded.guard.table.Ended(guarded.entry), Reason(""))
}

// Guards against a client that reads the beginning of an answer and holds the rest for good.
func TestAnswerThatIsNoLongerReadEndsTheConnection(t *testing.T) {
	guarded, client := pipeGuarded(t)
	go func() { _, _ = io.CopyN(io.Discard, client, writePartBytes+1) }()
	n, err := guarded.Write(make([]byte, 4*writePartBytes))
	assert.ErrorContains(t, err, "timeout")
	assert.Equal(t, n, writePartBytes+1)
	assert.Equal(t, guarded.guard.table.Ended(guarded.entry), WriteTimeout)
}
