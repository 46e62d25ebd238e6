package state

import (
	"context"
	"sync"
	"time"
)

const (
	maxTailEntries = 4096
	maxTailBytes   = 8 << 20
)

type entry struct {
	Offset uint64 `json:"offset"`
	Data   string `json:"data"`
}

// logTail holds the most recent log entries for other gates and notifies calls that wait for more.
type logTail struct {
	mu      sync.Mutex
	entries []entry
	bytes   int
	next    uint64
	changed chan struct{}
}

func (t *logTail) init() {
	t.next = 1
	t.changed = make(chan struct{})
}

func (t *logTail) add(e entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = append(t.entries, e)
	t.bytes += len(e.Data)
	t.next = e.Offset + 1
	for len(t.entries) > maxTailEntries || t.bytes > maxTailBytes && len(t.entries) > 1 {
		t.bytes -= len(t.entries[0].Data)
		t.entries = t.entries[1:]
	}
}

// reset empties the tail after a state with the offset was adopted.
func (t *logTail) reset(offset uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = nil
	t.bytes = 0
	t.next = offset + 1
}

func (t *logTail) notifyAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// read returns up to limit entries from an offset, the oldest offset held and the next one to come, and a channel that is
// closed when entries were added.
func (t *logTail) read(from uint64, limit int) (found []entry, oldest, next uint64, changed chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	oldest = t.next - uint64(len(t.entries))
	if from < oldest || from >= t.next {
		return nil, oldest, t.next, t.changed
	}
	first := int(from - oldest)
	last := min(len(t.entries), first+limit)
	return append([]entry(nil), t.entries[first:last]...), oldest, t.next, t.changed
}

// await is like read, but waits at most the given time if there is no entry yet.
func (t *logTail) await(ctx context.Context, from uint64, limit int, wait time.Duration) (found []entry, oldest, next uint64) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		found, oldest, next, changed := t.read(from, limit)
		if len(found) > 0 || from < oldest {
			return found, oldest, next
		}
		select {
		case <-changed:
		case <-deadline.C:
			return found, oldest, next
		case <-ctx.Done():
			return found, oldest, next
		}
	}
}
