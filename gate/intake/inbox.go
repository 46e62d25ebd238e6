package intake

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"mangowing/gate/lead"
	"mangowing/gate/ports"
)

const (
	inboxTopic         = "inbox"
	inboxAppendTimeout = 1200 * time.Millisecond
	inboxHedgeDelay    = 250 * time.Millisecond
	maxInboxAppends    = 3
)

// inboxWriter appends to the inbox. Each try uses the partition after that of the one before, and so does a try that is rejected. A record
// may be stored more than once: the owner takes the first record of an id.
type inboxWriter struct {
	log   ports.Log
	parts int
	next  atomic.Int32 // partition of the next record: the one that answered last
}

// append fails with ports.ErrRejected only if nothing can have been stored.
func (w *inboxWriter) append(ctx context.Context, record []byte) error {
	parts, first := max(1, w.parts), int(w.next.Load())
	var tries atomic.Int32
	partition, err := lead.Hedged(ctx, inboxHedgeDelay, maxInboxAppends, func(ctx context.Context) (int, error) {
		ctx, cancel := context.WithTimeout(ctx, inboxAppendTimeout)
		defer cancel()
		p := (first + int(tries.Add(1)) - 1) % parts
		for rejected := 0; ; rejected++ {
			_, err := w.log.Append(ctx, ports.Append{Topic: inboxTopic, Partition: p, Records: [][]byte{record}, ExpectedEnd: ports.AnyEnd})
			if !errors.Is(err, ports.ErrRejected) || rejected == parts-1 {
				return p, err
			}
			p = (p + 1) % parts
		}
	})
	if err == nil {
		w.next.Store(int32(partition))
	}
	return err
}
