package lead

import (
	"context"
	"errors"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/logs"
	"mangowing/core/sched"
	"mangowing/core/timer"
	"mangowing/gate/ports"
)

const (
	journalTopic     = "journal"
	inboxTopic       = "inbox"
	marksTopic       = "marks"
	snapshotMark     = "snapshot"
	producer         = "journal"
	maxAppendBytes   = 512 << 10
	appendTimeout    = 2500 * time.Millisecond
	hedgeDelay       = 250 * time.Millisecond // delay before another try is started in parallel
	appendRetryPause = 120 * time.Millisecond
	readTimeout      = 3 * time.Second
	inboxReadWait    = 700 * time.Millisecond
	maxHedgedTries   = 6
	readRetryPause   = 150 * time.Millisecond
)

// journal appends the records of one term to the journal topic, in order.
type journal struct {
	log       ports.Log
	epoch     int64
	sequence  int64
	endOffset int64
}

// fence makes the log refuse the appends of all earlier owners, and reads the journal's end offset. An empty append under the
// new epoch does both.
func (j *journal) fence(ctx context.Context) error {
	offset, err := j.appendChunk(ctx, nil)
	if err == nil {
		j.endOffset = offset
	}
	return err
}

// append stores the records and returns the offset of the first. It returns only when all are stored, the ownership is lost, the
// log takes a record for invalid or the context ends.
func (j *journal) append(ctx context.Context, records [][]byte) (first int64, err error) {
	first = -1
	for len(records) > 0 {
		n, size := 0, 0
		for n < len(records) && (n == 0 || size+len(records[n]) <= maxAppendBytes) {
			size += len(records[n])
			n++
		}
		offset, err := j.appendChunk(ctx, records[:n])
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

// appendChunk repeats one append until it is confirmed or can't be. All tries carry the same sequence number, so that the log stores
// the records only once.
func (j *journal) appendChunk(ctx context.Context, records [][]byte) (int64, error) {
	a := ports.Append{
		Topic: journalTopic, Records: records, ExpectedEnd: ports.AnyEnd,
		Producer: producer, Epoch: j.epoch, Sequence: j.sequence,
	}
	for {
		offset, err := Hedged(ctx, hedgeDelay, maxHedgedTries, func(ctx context.Context) (int64, error) {
			ctx, cancel := context.WithTimeout(ctx, appendTimeout)
			defer cancel()
			return j.log.Append(ctx, a)
		})
		switch {
		case err == nil:
			j.sequence++
			return offset, nil
		case errors.Is(err, ports.ErrFenced), errors.Is(err, ports.ErrSequence), errors.Is(err, ports.ErrInvalid), ctx.Err() != nil:
			return 0, err
		}
		klog.V(1).InfoS("journal-append-repeated", "epoch", j.epoch, "records", len(records), "error", err.Error())
		timer.Sleep(ctx, appendRetryPause)
	}
}

// replay applies the journal's records from the last snapshot to the end, and returns their size in bytes.
func (j *journal) replay(ctx context.Context, sc *sched.Scheduler) (size int, err error) {
	from, err := j.snapshotOffset(ctx)
	if err != nil {
		return 0, err
	}
	if from < 0 || from > j.endOffset {
		klog.InfoS("snapshot-mark-out-of-range", "offset", from, "end", j.endOffset)
		from = 0
	}
	n := 0
	for from < j.endOffset {
		page, err := readPage(ctx, j.log, journalTopic, from)
		if errors.Is(err, ports.ErrTrimmed) && page.OldestOffset > from {
			klog.ErrorS(err, "journal-trimmed", "from", from, "first", page.OldestOffset)
			from = page.OldestOffset
			continue
		}
		if err != nil {
			return 0, err
		}
		for _, raw := range page.Records {
			n++
			size += len(raw)
			replayRecord(sc, raw)
		}
		from = page.NextOffset()
	}
	klog.InfoS("journal-replayed", "epoch", j.epoch, "records", n, "bytes", size, "end", j.endOffset)
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
func readPage(ctx context.Context, log ports.Log, topic string, from int64) (ports.Page, error) {
	for {
		page, err := Hedged(ctx, hedgeDelay, maxHedgedTries, func(ctx context.Context) (ports.Page, error) {
			ctx, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			return log.Read(ctx, topic, 0, from, 0)
		})
		if err == nil || errors.Is(err, ports.ErrTrimmed) || ctx.Err() != nil {
			return page, err
		}
		timer.Sleep(ctx, readRetryPause)
	}
}

// snapshotOffset returns the offset of the last complete snapshot, 0 if there is none.
func (j *journal) snapshotOffset(ctx context.Context) (int64, error) {
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
			return 0, err
		}
		timer.Sleep(ctx, readRetryPause)
	}
}

func parseSnapshotMark(entries []ports.KeyValue) int64 {
	for _, e := range entries {
		if e.Key != snapshotMark {
			continue
		}
		offset, err := strconv.ParseInt(string(e.Value), 10, 64)
		if err != nil {
			klog.ErrorS(err, "snapshot-mark-unreadable", "value", string(e.Value))
			return 0
		}
		return offset
	}
	return 0
}

// markSnapshot stores the offset of a complete snapshot and trims the journal before it.
func (j *journal) markSnapshot(ctx context.Context, offset int64) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value := strconv.FormatInt(offset, 10)
	if err := j.log.Put(ctx, marksTopic, ports.KeyValue{Key: snapshotMark, Value: []byte(value)}); err != nil {
		klog.InfoS("snapshot-not-marked", "offset", offset, "error", err.Error())
		return
	}
	if err := j.log.Trim(ctx, journalTopic, 0, offset); err != nil {
		klog.InfoS("journal-not-trimmed", "offset", offset, "error", err.Error())
	}
	klog.InfoS("snapshot-marked", "offset", offset)
}
