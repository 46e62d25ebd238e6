package peers

import (
	"net"
	"sync/atomic"
	"time"
)

type traffic struct {
	received atomic.Uint64
	sent     atomic.Uint64
}

// lastHeard is when bytes last came over a connection.
type lastHeard struct {
	at atomic.Pointer[time.Time]
}

func (h *lastHeard) now() {
	now := time.Now()
	h.at.Store(&now)
}

func (h *lastHeard) ago() time.Duration { return time.Since(*h.at.Load()) }

type countedConn struct {
	net.Conn
	traffic *traffic
	heard   *lastHeard
}

func (t *traffic) count(conn net.Conn) countedConn {
	c := countedConn{conn, t, &lastHeard{}}
	c.heard.now()
	return c
}

// Read counts the bytes received.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	if n > 0 {
		c.heard.now()
	}
	return n, err
}

// Write counts the bytes sent.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
