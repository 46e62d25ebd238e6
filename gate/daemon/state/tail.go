package state

import (
	"context"
	"sync"
	"time"
)

const (
	tailKept  = 4096
	tailBytes = 8 << 20
)

type entry struct {
	Offset uint64 `json:"offset"`
	Data   string `json:"data"`
}

// tail keeps the last entries for other gates and wakes those that wait for more.
type tail struct {
	mu      sync.Mutex
	entries []entry
	bytes   int
	next    uint64
	changed chan struct{}
}

func (t *tail) init() {
	t.next = 1
	t.changed = make(chan struct{})
}

func (t *tail) add(e entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = append(t.entries, e)
	t.bytes += len(e.Data)
	t.next = e.Offset + 1
	for len(t.entries) > tailKept || t.bytes > tailBytes && len(t.entries) > 1 {
		t.bytes -= len(t.entries[0].Data)
		t.entries = t.entries[1:]
	}
}

// restart empties the tail after a state was adopted at the offset.
func (t *tail) restart(offset uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = nil
	t.bytes = 0
	t.next = offset + 1
}

func (t *tail) wakeAll() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.changed)
	t.changed = make(chan struct{})
}

// read returns up to most entries from an offset and the oldest and next offset held.
func (t *tail) read(from uint64, most int) (found []entry, oldest, next uint64, changed chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	oldest = t.next - uint64(len(t.entries))
	if from < oldest || from >= t.next {
		return nil, oldest, t.next, t.changed
	}
	first := int(from - oldest)
	last := min(len(t.entries), first+most)
	return append([]entry(nil), t.entries[first:last]...), oldest, t.next, t.changed
}

// await returns entries from an offset, waiting for the first of them at most the given time.
func (t *tail) await(ctx context.Context, from uint64, most int, wait time.Duration) (found []entry, oldest, next uint64) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		found, oldest, next, changed := t.read(from, most)
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
