package event

import (
	"sync"
	"time"
)

const (
	counterBits = 16
	counterMask = 1<<counterBits - 1
)

// Timestamp is a hybrid logical time: Unix milliseconds above 16 bits of counter.
type Timestamp uint64

// TimestampAt returns the first stamp of a wall-clock time.
func TimestampAt(t time.Time) Timestamp { return Timestamp(t.UnixMilli()) << counterBits }

// Time returns the stamp's wall-clock part.
func (s Timestamp) Time() time.Time { return time.UnixMilli(int64(s >> counterBits)) }

// Clock issues stamps that never go back and follow every stamp observed; the zero value works.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
}

// Now returns a stamp above all issued or observed before.
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

// Observe makes later stamps follow one that came from another process.
func (c *Clock) Observe(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s > c.last {
		c.last = s
	}
}
