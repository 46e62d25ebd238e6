package event

import (
	"sync"
	"time"
)

const (
	counterBits = 16
	counterMask = 1<<counterBits - 1
)

// Timestamp is a hybrid logical time: Unix milliseconds in the high bits and a counter in the low 16.
type Timestamp uint64

// TimestampAt returns the lowest timestamp of a wall-clock time.
func TimestampAt(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) << counterBits }

// Time returns the timestamp's wall-clock part.
func (s Timestamp) Time() time.Time { return time.UnixMilli(int64(s >> counterBits)) }

// Clock issues strictly increasing timestamps that are also above every observed one. The zero value is ready to use.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
}

// Now returns a timestamp above all those issued or observed before.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := TimestampAt(time.Now())
	if wall > c.last {
		c.last = wall
	} else {
		c.last++
	}
	return c.last
}

// Observe makes later timestamps exceed one received from another process.
func (c *Clock) Observe(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s > c.last {
		c.last = s
	}
}
