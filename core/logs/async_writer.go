package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter writes to another writer from a queue and never blocks: what does not fit is dropped and counted.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	waiting atomic.Int64 // lines that are queued or being written
}

// NewAsyncWriter returns a writer with room for so many writes that wait.
func NewAsyncWriter(w io.Writer, room int) *AsyncWriter {
	b := &AsyncWriter{w: w, lines: make(chan []byte, room)}
	go b.drain()
	return b
}

// Write queues a copy of the bytes, or drops them; it never fails.
func (b *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	b.waiting.Add(1)
	select {
	case b.lines <- line:
	default:
		b.waiting.Add(-1)
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many writes were dropped and not yet told.
func (b *AsyncWriter) Dropped() uint64 { return b.dropped.Load() }

func (b *AsyncWriter) drain() {
	for line := range b.lines {
		_, _ = b.w.Write(line)
		if n := b.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(b.w, "{\"msg\":\"log-lines-dropped\",\"lines\":%d}\n", n)
		}
		b.waiting.Add(-1)
	}
}

const flushLook = 5 * time.Millisecond

// Flush waits until what is queued is written, but no longer than the time given.
func (b *AsyncWriter) Flush(limit time.Duration) {
	for end := time.Now().Add(limit); b.waiting.Load() > 0 && time.Now().Before(end); {
		time.Sleep(flushLook)
	}
}
