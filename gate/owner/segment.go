package owner

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"mangowing/core/timer"
	"mangowing/gate/segs"
)

// commitRetryPause is the pause between two tries of a record that a switch of the journal waits for.
const commitRetryPause = 30 * time.Millisecond

// ErrNotOwner means that this gate doesn't have the epoch under which it wanted to append.
var ErrNotOwner = eris.New("this gate is not the owner any more")

// Segment returns the segment of the journal that the newest record known to this gate names, the zero Segment if none does. isCurrent is false
// if a later one may count: no record has named a segment, or records were deleted before this gate has read them.
func (e *Elector) Segment() (s segs.Segment, isCurrent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.segment, e.knowsSegment()
}

// knowsSegment reports whether the segment is the one that counts. The lock must be held.
func (e *Elector) knowsSegment() bool { return e.hasSegment && !e.mayMissSegment }

// MarkSegment records the place of a whole snapshot in the current segment, which the next heartbeats carry. It does nothing if this
// gate isn't owner under the epoch.
func (e *Elector) MarkSegment(epoch int64, s segs.Segment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.ownEpoch != epoch:
	case !e.knowsSegment():
		e.segment, e.hasSegment, e.mayMissSegment = s, true, false
	case e.segment.Number == s.Number:
		e.segment = e.segment.Merge(s)
	}
}

// applySegment adopts the segment that the record at the offset names, unless a later record was applied before. Records are ordered by their
// offsets rather than by the segments' numbers: an owner that knew only an old mark may have continued an earlier segment. The lock must be held.
func (e *Elector) applySegment(offset int64, s segs.Segment) {
	if !s.IsValid() {
		klog.InfoS("owner-record-unreadable", "why", "segment out of range", "segment", s.Number, "partition", s.Partition)
		return
	}
	if e.hasSegment && offset < e.segmentOffset {
		return
	}
	if s.Number != e.segment.Number || s.Epoch != e.segment.Epoch {
		klog.InfoS("journal-segment", "segment", s.Number, "partition", s.Partition, "epoch", s.Epoch, "start", s.Start)
	} else if e.hasSegment {
		s = e.segment.Merge(s)
	}
	e.segment, e.segmentOffset, e.hasSegment, e.mayMissSegment = s, offset, true, false
}

// knownSegment returns the segment to be carried by a record, nil if none is known. The lock must be held.
func (e *Elector) knownSegment() *segs.Segment {
	if !e.knowsSegment() {
		return nil
	}
	s := e.segment
	return &s
}

// HeartbeatLatency returns whether a heartbeat that was sent after the given time since boot is confirmed, and the greatest latency of the
// recent heartbeats.
func (e *Elector) HeartbeatLatency(since time.Duration) (isLogAlive bool, latency time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.latencies.IsAliveSince(since), e.latencies.Greatest(timer.SinceBoot())
}

// NextEpoch appends a heartbeat and returns the offset after it, which is above all epochs that the owners have used so far. It repeats the
// heartbeat until it is confirmed. It fails with ErrNotOwner once the ownership under the epoch is lost, or when the context ends.
func (e *Elector) NextEpoch(ctx context.Context, epoch int64) (int64, error) {
	for {
		offset, err := e.appendAsOwner(ctx, epoch, ownerRecord{Kind: kindHeartbeat})
		if err == nil {
			return offset + 1, nil
		}
		if err := e.waitToRetry(ctx, epoch); err != nil {
			return 0, err
		}
	}
}

// CommitSegment puts the segment on the topic as the one that counts, under the epoch of this gate's claim. It returns nil only once its
// record is known to be there, and fails with ErrNotOwner once the ownership is lost, or when the context ends. Each try has another end of the
// topic as its condition, so that one without an answer either fails for good or is read.
func (e *Elector) CommitSegment(ctx context.Context, epoch int64, s segs.Segment) error {
	for {
		_, err := e.appendAsOwner(ctx, epoch, ownerRecord{Kind: kindSegment, Segment: &s})
		if err == nil || e.isCommitted(epoch, s) {
			return nil
		}
		klog.InfoS("journal-commit-repeated", "segment", s.Number, "epoch", epoch, "error", err.Error())
		if err := e.waitToRetry(ctx, epoch); err != nil {
			return err
		}
		if e.isCommitted(epoch, s) {
			return nil
		}
	}
}

// isCommitted reports whether this gate is owner under the epoch and has read the commit of the segment.
func (e *Elector) isCommitted(epoch int64, s segs.Segment) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ownEpoch == epoch && e.hasSegment && e.segment.Number == s.Number && e.segment.Epoch == s.Epoch
}

func (e *Elector) waitToRetry(ctx context.Context, epoch int64) error {
	timer.Sleep(ctx, commitRetryPause)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if e.OwnEpoch() != epoch {
		return ErrNotOwner
	}
	return nil
}
