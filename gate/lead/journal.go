package lead

import (
	"context"
	"errors"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/logs"
	"mangowing/core/sched"
	"mangowing/core/timer"
	"mangowing/gate/ports"
	"mangowing/gate/segs"
)

const (
	inboxTopic       = "inbox"
	marksTopic       = "marks"
	snapshotMark     = "snapshot"
	maxAppendBytes   = 512 << 10
	appendTimeout    = 2500 * time.Millisecond
	hedgeDelay       = 250 * time.Millisecond // delay before another try is started in parallel
	appendRetryPause = 120 * time.Millisecond
	readTimeout      = 3 * time.Second
	inboxReadWait    = 700 * time.Millisecond
	maxHedgedTries   = 6
	readRetryPause   = 150 * time.Millisecond
	markRetryPause   = time.Second
	// A takeover that has waited for a partition of the journal this long logs it, and again after each further such time.
	waitLogPeriod = time.Second
)

// ownership is what the journal needs of the elector.
type ownership interface {
	Segment() (segs.Segment, bool)
	MarkSegment(epoch int64, s segs.Segment)
	NextEpoch(ctx context.Context, epoch int64) (int64, error)
	CommitSegment(ctx context.Context, epoch int64, s segs.Segment) error
	HeartbeatLatency(since time.Duration) (isLogAlive bool, latency time.Duration)
}

// journal appends the records of one term to the topic of the journal, in order. With segments it goes on on another partition when one
// fails. It is used by one goroutine at a time.
type journal struct {
	log       ports.Log
	owner     ownership
	epoch     int64 // of the claim
	parts     int   // partitions on which the journal may go on, 0 without segments
	writer    *segs.Writer
	rotation  *segs.Rotation
	lastError error // of the last append without success
	// Multiple of the usual time limits of a partition. It is above 1 during a switch whose earlier attempts failed.
	limitFactor int
}

func newJournal(log ports.Log, owner ownership, epoch int64, parts int) *journal {
	return &journal{log: log, owner: owner, epoch: epoch, parts: parts, rotation: segs.NewRotation(parts), limitFactor: 1}
}

// takeOver fences earlier owners, passes the journal's records from the last snapshot on to the scheduler, and returns their size in bytes.
func (j *journal) takeOver(ctx context.Context, sc *sched.Scheduler) (fenced time.Time, size int, err error) {
	segment, known := j.owner.Segment()
	if !known && j.canSwitch() {
		// The fence waits for its partition, so it must not go to partition 0 if the journal isn't there.
		if segment, err = j.mergeMarked(ctx, segment); err != nil {
			return time.Time{}, 0, err
		}
	}
	var end int64
	for isFenced := false; !isFenced; {
		if end, err = j.fence(ctx, segment); err != nil {
			return time.Time{}, 0, err
		}
		fenced, isFenced = time.Now(), true
		if !known {
			// No record on the owner topic tells which segment counts, so the mark does.
			partition := segment.Partition
			if segment, err = j.mergeMarked(ctx, segment); err != nil {
				return time.Time{}, 0, err
			}
			isFenced = segment.Partition == partition
		}
	}
	if segment.Snapshot > end {
		klog.InfoS("snapshot-mark-out-of-range", "offset", segment.Snapshot, "end", end)
		segment.Snapshot = segment.Start
	}
	j.writer = segs.NewWriter(segment, j.epoch)
	if err := j.writer.Fenced(); err != nil {
		return time.Time{}, 0, err
	}
	if size, err = j.replay(ctx, sc, segment, end); err != nil {
		return time.Time{}, 0, err
	}
	publishSegment(segment)
	if !j.canSwitch() && !segment.HasHeader() {
		return fenced, size, nil
	}
	j.owner.MarkSegment(j.epoch, segment)
	if !known {
		// A heartbeat names the segment before anything is acknowledged there, since other gates may know another one.
		_, err = j.owner.NextEpoch(ctx, j.epoch)
	}
	return fenced, size, err
}

// mergeMarked returns the later one of the given segment and the marked one.
func (j *journal) mergeMarked(ctx context.Context, s segs.Segment) (segs.Segment, error) {
	marked, err := j.markedSegment(ctx)
	return s.Merge(marked), err
}

// fence makes the segment's partition refuse the appends of all earlier owners, and returns its end offset. An empty append under the
// new epoch does both.
func (j *journal) fence(ctx context.Context, s segs.Segment) (end int64, err error) {
	j.writer = segs.NewWriter(s, j.epoch)
	stop := logWaits(ctx, s, "the fence")
	defer stop()
	return j.repeat(ctx, j.writer.Fence())
}

// logWaits logs, until stop is called, that a takeover waits for a partition.
func logWaits(ctx context.Context, s segs.Segment, what string) (stop func()) {
	ctx, stop = context.WithCancel(ctx)
	go func() {
		for startedAt := time.Now(); ; {
			timer.Sleep(ctx, waitLogPeriod)
			if ctx.Err() != nil {
				return
			}
			klog.InfoS("journal-waits", "segment", s.Number, "partition", s.Partition, "for", what, "waited-ms", time.Since(startedAt).Milliseconds())
		}
	}()
	return stop
}

// append stores the records and returns the offset of the first. It returns only when all are stored, the ownership is lost, the
// log takes a record for invalid, the append has stalled (errStalled) or the context ends.
func (j *journal) append(ctx context.Context, records [][]byte) (first int64, err error) {
	first = -1
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && (n == 0 || size+len(records[n]) <= maxAppendBytes) {
			size += len(records[n])
			n++
		}
		offset, err := j.appendChunk(ctx, records[:n], size)
		if err != nil {
			return 0, err
		}
		if first < 0 {
			first = offset
		}
		records = records[n:]
	}
	return first, nil
}

func (j *journal) appendChunk(ctx context.Context, records [][]byte, size int) (int64, error) {
	a, err := j.writer.Append(records)
	if err != nil {
		return 0, err
	}
	j.lastError = nil
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if j.canSwitch() {
		go j.watchStall(ctx, cancel, size, j.limitFactor)
	}
	offset, err := j.repeat(ctx, a)
	if err == nil {
		j.writer.Appended(offset)
		return offset, nil
	}
	if errors.Is(context.Cause(ctx), errStalled) && !isFinal(err) {
		return 0, errStalled
	}
	return 0, err
}

// isFinal reports whether an append that failed so can't succeed any more.
func isFinal(err error) bool {
	return errors.Is(err, ports.ErrFenced) || errors.Is(err, ports.ErrSequence) || errors.Is(err, ports.ErrInvalid)
}

// repeat repeats one append until it is confirmed or can't be. All tries carry the same sequence number, so that the log stores
// the records only once.
func (j *journal) repeat(ctx context.Context, a ports.Append) (int64, error) {
	for {
		offset, err := Hedged(ctx, hedgeDelay, maxHedgedTries, func(ctx context.Context) (int64, error) {
			ctx, cancel := context.WithTimeout(ctx, appendTimeout)
			defer cancel()
			return j.log.Append(ctx, a)
		})
		if err == nil {
			return offset, nil
		}
		if isFinal(err) || ctx.Err() != nil {
			return 0, err
		}
		j.lastError = err
		klog.V(1).InfoS("journal-append-repeated", "epoch", j.epoch, "partition", a.Partition, "records", len(a.Records), "error", err.Error())
		timer.Sleep(ctx, appendRetryPause)
	}
}

// replay applies the segment's records from its last snapshot to the given end, and returns their size in bytes.
func (j *journal) replay(ctx context.Context, sc *sched.Scheduler, s segs.Segment, end int64) (size int, err error) {
	stop := logWaits(ctx, s, "the records")
	defer stop()
	n := 0
	for from := s.Snapshot; from < end; {
		page, err := readPage(ctx, j.log, segs.Topic, s.Partition, from)
		if errors.Is(err, ports.ErrTrimmed) && page.OldestOffset > from {
			klog.ErrorS(err, "journal-trimmed", "from", from, "first", page.OldestOffset)
			from = page.OldestOffset
			continue
		}
		if err != nil {
			return 0, err
		}
		for i, raw := range page.Records {
			n++
			size += len(raw)
			if s.HasHeader() && page.StartOffset+int64(i) == s.Start {
				if err := s.CheckHeader(raw); err != nil {
					return 0, err
				}
				continue
			}
			replayRecord(sc, raw)
		}
		from = page.NextOffset()
	}
	klog.InfoS("journal-replayed", "epoch", j.epoch, "records", n, "bytes", size, "end", end, "segment", s.Number, "partition", s.Partition)
	return size, nil
}

func replayRecord(sc *sched.Scheduler, raw []byte) {
	record, err := sched.Decode(raw)
	if err == nil {
		err = sc.Replay(record)
	}
	if err != nil {
		klog.InfoS("journal-record-skipped", "why", logs.Shorten(err))
	}
}

// readPage reads the page at the offset without waiting for new records, and retries until it gets an answer.
func readPage(ctx context.Context, log ports.Log, topic string, partition int, from int64) (ports.Page, error) {
	for {
		page, err := Hedged(ctx, hedgeDelay, maxHedgedTries, func(ctx context.Context) (ports.Page, error) {
			ctx, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			return log.Read(ctx, topic, partition, from, 0)
		})
		if err == nil || errors.Is(err, ports.ErrTrimmed) || ctx.Err() != nil {
			return page, err
		}
		timer.Sleep(ctx, readRetryPause)
	}
}

// markedSegment returns the segment of the last complete snapshot, the zero Segment if there is none.
func (j *journal) markedSegment(ctx context.Context) (segs.Segment, error) {
	for {
		entries, err := Hedged(ctx, hedgeDelay, maxHedgedTries, func(ctx context.Context) ([]ports.KeyValue, error) {
			ctx, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			return j.log.Newest(ctx, marksTopic)
		})
		if err == nil {
			return parseSnapshotMark(entries), nil
		}
		if ctx.Err() != nil {
			return segs.Segment{}, err
		}
		timer.Sleep(ctx, readRetryPause)
	}
}

func parseSnapshotMark(entries []ports.KeyValue) segs.Segment {
	for _, e := range entries {
		if e.Key != snapshotMark {
			continue
		}
		s, err := segs.ParseMark(string(e.Value))
		if err != nil {
			klog.ErrorS(err, "snapshot-mark-unreadable", "value", string(e.Value))
		}
		return s
	}
	return segs.Segment{}
}

// snapshotStored records the offset of a complete snapshot in the current segment, and returns the segment to be marked.
func (j *journal) snapshotStored(offset int64) segs.Segment {
	j.writer.Marked(offset)
	s := j.writer.Current()
	if _, known := j.owner.Segment(); known {
		j.owner.MarkSegment(j.epoch, s)
	}
	return s
}

// markSnapshot stores the place of a complete snapshot and trims the journal before it. On a segment with a header it repeats a mark that
// can't be stored until it can, or another snapshot is complete: the mark before it may name another partition.
func (j *journal) markSnapshot(ctx context.Context, s segs.Segment) {
	for !j.putMark(ctx, s) {
		if !s.HasHeader() {
			return
		}
		timer.Sleep(ctx, markRetryPause)
		if current, known := j.owner.Segment(); ctx.Err() != nil || !known || current != s {
			return
		}
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := j.log.Trim(ctx, segs.Topic, s.Partition, s.Snapshot); err != nil {
		klog.InfoS("journal-not-trimmed", "offset", s.Snapshot, "error", err.Error())
	}
	klog.InfoS("snapshot-marked", "offset", s.Snapshot, "segment", s.Number, "partition", s.Partition)
}

// putMark reports whether it stored the place of a complete snapshot.
func (j *journal) putMark(ctx context.Context, s segs.Segment) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := j.log.Put(ctx, marksTopic, ports.KeyValue{Key: snapshotMark, Value: []byte(s.Mark())})
	if err != nil {
		klog.InfoS("snapshot-not-marked", "offset", s.Snapshot, "segment", s.Number, "error", err.Error())
	}
	return err == nil
}
