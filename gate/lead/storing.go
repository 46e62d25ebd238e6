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

// commitGroup is what waits until its records are stored: batches of the scheduler and replies.
type commitGroup struct {
	batches       []sched.Batch
	replies       []pendingReply
	records       [][]byte
	snapshotIndex int // index of the snapshot's first record, -1 for none
}

type commitResult struct {
	commitGroup
	first    int64         // offset of the first record
	switched *switchResult // set if the group was stored by a switch of the journal
	err      error
}

// storeNextGroup starts to append the scheduler's batch, and a snapshot if one is due. A group without records is complete
// at once.
func (t *term) storeNextGroup(ctx context.Context) {
	batch := t.scheduler.TakeBatch()
	g := commitGroup{batches: []sched.Batch{batch}, replies: t.pendingReplies, snapshotIndex: -1}
	t.pendingReplies = nil
	t.encode(&g, batch.Records)
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
		t.commitResults <- commitResult{commitGroup: g, first: first, err: err}
	}()
}

// switchJournal continues the journal on another partition after the append of the group has stalled. Instead of the group's records and
// those since then it stores a snapshot, which holds their effect.
func (t *term) switchJournal(ctx context.Context, g commitGroup) {
	g.batches = append(g.batches, t.scheduler.TakeBatch())
	g.replies = append(g.replies, t.pendingReplies...)
	t.pendingReplies = nil
	g.records, g.snapshotIndex = nil, 0
	t.encode(&g, t.scheduler.Snapshot())
	t.lastSnapshotAt, t.bytesSinceSnapshot, t.lastSnapshotBytes = time.Now(), 0, totalBytes(g.records)
	t.appendInFlight = true
	klog.InfoS("journal-stalled", "epoch", t.epoch, "stalled-ms", time.Since(t.appendStartedAt).Milliseconds(), "snapshot-bytes", t.lastSnapshotBytes)
	go func() {
		switched, err := t.journal.switchSegment(ctx, g.records)
		t.commitResults <- commitResult{commitGroup: g, first: switched.segment.Start, switched: &switched, err: err}
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
	if errors.Is(result.err, errStalled) {
		t.switchJournal(ctx, result.commitGroup)
		return ""
	}
	if result.err != nil {
		for _, r := range result.replies {
			r.to <- NewRefusal(codes.JobUnsettled, 0)
		}
		if errors.Is(result.err, ports.ErrFenced) {
			return "the journal is fenced"
		}
		return "the journal can't be written: " + result.err.Error()
	}
	if result.switched != nil {
		recordSwitch(*result.switched, time.Since(t.appendStartedAt), totalBytes(result.records))
	}
	if result.snapshotIndex >= 0 {
		go t.journal.markSnapshot(ctx, t.journal.snapshotStored(result.first+int64(result.snapshotIndex)))
	}
	t.completeGroup(ctx, result.commitGroup)
	return ""
}

// completeGroup sends the replies and orders that waited for the group's records to be stored.
func (t *term) completeGroup(ctx context.Context, g commitGroup) {
	for _, b := range g.batches {
		t.scheduler.ConfirmStored(b)
	}
	for _, r := range g.replies {
		r.to <- r.answer
	}
	for _, b := range g.batches {
		for _, o := range b.DeferredOrders {
			t.dispatch(ctx, o)
		}
	}
}
