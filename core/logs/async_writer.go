package logs

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// AsyncWriter queues writes for another writer and never blocks: writes that do not fit the queue are dropped and counted.
type AsyncWriter struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	pending atomic.Int64 // lines that are queued or being written
}

// NewAsyncWriter returns a writer that queues up to capacity writes for w.
func NewAsyncWriter(w io.Writer, capacity int) *AsyncWriter {
	b := &AsyncWriter{w: w, lines: make(chan []byte, capacity)}
	go b.writeQueued()
	return b
}

// Write queues a copy of p, or drops it if the queue is full. It never returns an error.
func (b *AsyncWriter) Write(p []byte) (int, error) {
	line := append([]byte(nil), p...)
	b.pending.Add(1)
	select {
	case b.lines <- line:
	default:
		b.pending.Add(-1)
		b.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many writes were dropped since the last report of drops in the output.
func (b *AsyncWriter) Dropped() uint64 { return b.dropped.Load() }

func (b *AsyncWriter) writeQueued() {
	for line := range b.lines {
		_, _ = b.w.Write(line)
		if n := b.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(b.w, "{\"msg\":\"log-lines-dropped\",\"lines\":%d}\n", n)
		}
		b.pending.Add(-1)
	}
}

const flushPollInterval = 5 * time.Millisecond

// Flush waits until all queued writes are done, but no longer than the limit.
func (b *AsyncWriter) Flush(limit time.Duration) {
	for end := time.Now().Add(limit); b.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(flushPollInterval)
	}
}
