package lead

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/codes"
	"mangowing/core/sched"
	"mangowing/gate/ports"
)

const (
	snapshotPeriod = 60 * time.Second
	// A new owner on the slowest network link replays this much in half a second.
	snapshotBytes = 512 << 10
	// By size, a snapshot is due only once the journal has grown by this many times the previous snapshot.
	snapshotGrowth = 2
)

// pendingReply is an answer to a call that is held back until the current records are stored.
type pendingReply struct {
	to     chan<- Answer
	answer Answer
}

// commitGroup is a batch of the scheduler with the replies that wait until its records are stored.
type commitGroup struct {
	batch         sched.Batch
	replies       []pendingReply
	records       [][]byte
	snapshotIndex int // index of the snapshot's first record, -1 for none
}

type commitResult struct {
	commitGroup
	first int64 // offset of the first record
	err   error
}

// storeNextGroup starts to append the scheduler's batch, and a snapshot if one is due. A group without records is complete
// at once.
func (t *term) storeNextGroup(ctx context.Context) {
	g := commitGroup{batch: t.scheduler.TakeBatch(), replies: t.pendingReplies, snapshotIndex: -1}
	t.pendingReplies = nil
	t.encode(&g, g.batch.Records)
	t.bytesSinceSnapshot += totalBytes(g.records)
	if now := time.Now(); now.Sub(t.lastSnapshotAt) >= snapshotPeriod || t.bytesSinceSnapshot >= max(snapshotBytes, snapshotGrowth*t.lastSnapshotBytes) {
		g.snapshotIndex = len(g.records)
		t.encode(&g, t.scheduler.Snapshot())
		t.lastSnapshotAt, t.bytesSinceSnapshot, t.lastSnapshotBytes = now, 0, totalBytes(g.records[g.snapshotIndex:])
	}
	if len(g.records) == 0 {
		t.completeGroup(ctx, g)
		return
	}
	t.appendInFlight, t.appendStartedAt = true, time.Now()
	go func() {
		appendStart := time.Now()
		first, err := t.journal.append(ctx, g.records)
		recordAppend(len(g.records), time.Since(appendStart))
		t.commitResults <- commitResult{g, first, err}
	}()
}

func totalBytes(records [][]byte) int {
	size := 0
	for _, r := range records {
		size += len(r)
	}
	return size
}

func (t *term) encode(g *commitGroup, records []sched.Record) {
	for _, r := range records {
		raw, err := sched.Encode(r)
		if err != nil {
			klog.ErrorS(err, "record-not-encoded")
			continue
		}
		g.records = append(g.records, raw)
	}
}

// finishCommit handles the result of an append. It returns the reason if the ownership ends, else an empty text.
func (t *term) finishCommit(ctx context.Context, result commitResult) string {
	t.appendInFlight = false
	if result.err != nil {
		for _, r := range result.replies {
			r.to <- NewRefusal(codes.JobUnsettled, 0)
		}
		if errors.Is(result.err, ports.ErrFenced) {
			return "the journal is fenced"
		}
		return "the journal can't be written: " + result.err.Error()
	}
	if result.snapshotIndex >= 0 {
		go t.journal.markSnapshot(ctx, result.first+int64(result.snapshotIndex))
	}
	t.completeGroup(ctx, result.commitGroup)
	return ""
}

// completeGroup sends the replies and orders that waited for the group's records to be stored.
func (t *term) completeGroup(ctx context.Context, g commitGroup) {
	t.scheduler.ConfirmStored(g.batch)
	for _, r := range g.replies {
		r.to <- r.answer
	}
	for _, o := range g.batch.DeferredOrders {
		t.dispatch(ctx, o)
	}
}
