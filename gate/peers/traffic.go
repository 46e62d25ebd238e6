package peers

import (
	"net"
	"sync/atomic"
)

type traffic struct {
	received atomic.Uint64
	sent     atomic.Uint64
}

type countedConn struct {
	net.Conn
	traffic *traffic
}

func (t *traffic) count(conn net.Conn) net.Conn { return countedConn{conn, t} }

// Read counts the bytes received.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write counts the bytes sent.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.sent.Add(uint64(n))
	return n, err
}
