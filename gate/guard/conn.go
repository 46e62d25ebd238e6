package guard

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"time"
)

const (
	// The server reads this much at once, so that the bytes of a header may be followed by others.
	readBufferBytes = 4 << 10
	// Memory of a header: its text is held twice, and each line takes an entry of a map.
	headerCopies    = 2
	headerLineBytes = 200
	// The decoder's buffer doubles while it grows, and the parameters of a message are copied out of it.
	messageCopies = 4
	// For this long a connection that was ended stays open for an answer.
	answerTime = time.Second
	// What a client still sends is read for this long after a refusal, so that the answer isn't lost by a reset.
	drainTime     = 300 * time.Millisecond
	maxDrainReads = 64

	// A client must take this much within the write timeout. A configuration of several megabytes takes longer than that as a whole on a slow link.
	writePartBytes = 64 << 10

	headerTooLargeAnswer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

type connKey struct{}

// connOf returns the guarded connection of a request, nil if there is none.
func connOf(r *http.Request) *Conn { return fromContext(r.Context()) }

func fromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Conn is a connection within the bounds of its Guard.
type Conn struct {
	net.Conn
	guard *Guard
	entry *Entry
	// A message was finished, and the line end that follows it was not read yet. Used by the reader only.
	isLineEndDue bool

	mu      sync.Mutex
	isEnded bool
	closing sync.Once
}

// Read reads from the client. It fails like a timeout once the guard has ended the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	isLineEnd := c.isLineEndDue && n == 1 && p[0] == '\n'
	c.isLineEndDue = false
	if isLineEnd {
		return n, err
	}
	now := time.Now()
	header, goesOn := c.guard.table.Receive(c.entry, n, now)
	if !goesOn {
		return 0, os.ErrDeadlineExceeded
	}
	if header == 0 || header > readBufferBytes {
		// Requests of one read go before those that send more and more.
		runtime.Gosched()
	}
	if header == 0 {
		return n, err
	}
	if limit := c.guard.options.Limits().HeaderBytes; limit > 0 && header > int64(limit+readBufferBytes) {
		c.refuseHeader()
		return 0, os.ErrDeadlineExceeded
	}
	if !c.charge(c.guard.headerCost(p[:n]), now) {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// headerCost returns the memory that a part of a header or message takes.
func (g *Guard) headerCost(part []byte) int64 {
	if !g.isHTTP {
		return messageCopies * int64(len(part))
	}
	return headerCopies*int64(len(part)) + headerLineBytes*int64(bytes.Count(part, []byte{'\n'}))
}

// charge takes memory for the connection's request, and reports whether the request goes on.
func (c *Conn) charge(bytes int64, now time.Time) bool {
	victims, goesOn := c.guard.table.Charge(c.entry, bytes, now)
	c.guard.endAll(victims)
	return goesOn
}

// refuseHeader answers that the header is too large. A peer's message gets no answer.
func (c *Conn) refuseHeader() {
	if !c.guard.table.End(c.entry, HeaderTooLarge) {
		return
	}
	c.guard.Count(HeaderTooLarge)
	if !c.guard.isHTTP {
		_ = c.Conn.Close()
		return
	}
	_ = c.SetWriteDeadline(time.Now().Add(drainTime))
	if _, err := c.Conn.Write([]byte(headerTooLargeAnswer)); err != nil || c.CloseWrite() != nil {
		return
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(drainTime))
	var discarded [readBufferBytes]byte
	for range maxDrainReads {
		if _, err := c.Conn.Read(discarded[:]); err != nil {
			return
		}
	}
}

// Write writes to the client. A client that takes nothing for the write timeout loses its connection, so that what waits for this write fails too.
func (c *Conn) Write(p []byte) (int, error) {
	defer c.guard.table.SetWriting(c.entry, time.Time{})
	written := 0
	for {
		part := p[written:min(len(p), written+writePartBytes)]
		n, err := c.writePart(part)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// writePart writes a part of an answer within the write timeout.
func (c *Conn) writePart(part []byte) (int, error) {
	now := time.Now()
	if timeout := c.guard.options.Limits().WriteTimeout; timeout > 0 {
		if err := c.SetWriteDeadline(now.Add(timeout)); err != nil {
			return 0, err
		}
	}
	c.guard.table.SetWriting(c.entry, now)
	n, err := c.Conn.Write(part)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.guard.table.End(c.entry, WriteTimeout) {
		c.end(WriteTimeout)
	}
	return n, err
}

// SetReadDeadline sets the read deadline, unless the guard has ended the connection.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isEnded {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite closes the sending side, if the connection has sides.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and gives its memory back.
func (c *Conn) Close() error {
	var err error
	c.closing.Do(func() {
		err = c.Conn.Close()
		c.guard.table.Close(c.entry)
	})
	return err
}

// FinishMessage notes that a whole message of a peer was read. The line end after it may arrive later, and doesn't begin another message. It must
// not be called during a Read.
func (c *Conn) FinishMessage() {
	c.isLineEndDue = true
	c.guard.table.FinishMessage(c.entry, time.Now())
}

// end carries out what the table has decided. A request whose header was read can still be answered.
func (c *Conn) end(reason Reason) {
	c.guard.Count(reason)
	if reason == Connections || reason == WriteTimeout || !c.entry.canReply {
		_ = c.Conn.Close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isEnded = true
	_ = c.Conn.SetReadDeadline(time.Now())
	time.AfterFunc(answerTime, func() { _ = c.Conn.Close() })
}
