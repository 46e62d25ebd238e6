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

// receiveTime is when bytes were last received over a connection. Safe for concurrent use.
type receiveTime struct {
	at atomic.Pointer[time.Time]
}

func (t *receiveTime) set() {
	now := time.Now()
	t.at.Store(&now)
}

func (t *receiveTime) elapsed() time.Duration { return time.Since(*t.at.Load()) }

type measuredConn struct {
	net.Conn
	traffic      *traffic
	lastReceived *receiveTime
}

func (t *traffic) wrap(conn net.Conn) measuredConn {
	c := measuredConn{conn, t, &receiveTime{}}
	c.lastReceived.set()
	return c
}

// Read counts the received bytes and records the time.
func (c measuredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	if n > 0 {
		c.lastReceived.set()
	}
	return n, err
}

// Write counts the sent bytes.
func (c measuredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
