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
	// A successor behind the narrowest link replays this much in half a second.
	snapshotBytes = 512 << 10
	// A snapshot is taken no sooner than when the journal has grown by this many times the one before.
	snapshotGrowth = 2
)

// reply is an answer that waits for records to be stored.
type pendingReply struct {
	to     chan<- Answer
	answer Answer
}

// group is a batch of the machine with the answers that wait for it.
type commitGroup struct {
	batch    sched.Batch
	replies  []pendingReply
	records  [][]byte
	snapshot int // index of the snapshot's first record, -1 for none
}

type commitResult struct {
	commitGroup
	first int64
	err   error
}

// store appends the next group, if there is anything to store.
func (t *term) storeNextGroup(ctx context.Context) {
	g := commitGroup{batch: t.scheduler.TakeBatch(), replies: t.pendingReplies, snapshot: -1}
	t.pendingReplies = nil
	t.encode(&g, g.batch.Records)
	t.bytesSinceSnapshot += totalBytes(g.records)
	if now := time.Now(); now.Sub(t.lastSnapshotAt) >= snapshotPeriod || t.bytesSinceSnapshot >= max(snapshotBytes, snapshotGrowth*t.lastSnapshotBytes) {
		g.snapshot = len(g.records)
		t.encode(&g, t.scheduler.Snapshot())
		t.lastSnapshotAt, t.bytesSinceSnapshot, t.lastSnapshotBytes = now, 0, totalBytes(g.records[g.snapshot:])
	}
	if len(g.records) == 0 {
		t.completeGroup(ctx, g)
		return
	}
	t.storing, t.storingSince = true, time.Now()
	go func() {
		began := time.Now()
		first, err := t.journal.append(ctx, g.records)
		recordAppend(len(g.records), time.Since(began))
		t.commits <- commitResult{g, first, err}
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

// finish takes the outcome of an append; the text says why the ownership ends, if it does.
func (t *term) finishCommit(ctx context.Context, s commitResult) string {
	t.storing = false
	if s.err != nil {
		for _, r := range s.replies {
			r.to <- Refuse(codes.JobUnsettled, 0)
		}
		if errors.Is(s.err, ports.ErrFenced) {
			return "the journal is fenced"
		}
		return "the journal can't be written: " + s.err.Error()
	}
	if s.snapshot >= 0 {
		go t.journal.markSnapshot(ctx, s.first+int64(s.snapshot))
	}
	t.completeGroup(ctx, s.commitGroup)
	return ""
}

// complete does what waited for the group to be stored.
func (t *term) completeGroup(ctx context.Context, g commitGroup) {
	t.scheduler.ConfirmStored(g.batch)
	for _, r := range g.replies {
		r.to <- r.answer
	}
	for _, o := range g.batch.DeferredOrders {
		t.dispatch(ctx, o)
	}
}
