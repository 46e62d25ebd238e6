package lead

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/sched"
	"mangowing/core/timer"
	"mangowing/gate/owner"
	"mangowing/gate/ports"
	"mangowing/gate/segs"
)

// fakeOwner is the elector of an owner whose commits end as given.
type fakeOwner struct {
	segment   segs.Segment
	known     bool
	epoch     int64
	commitEnd error
	beats     int // epochs asked for
}

func (o *fakeOwner) Segment() (segs.Segment, bool)       { return o.segment, o.known }
func (o *fakeOwner) MarkSegment(_ int64, s segs.Segment) { o.segment, o.known = s, true }
func (o *fakeOwner) HeartbeatLatency(time.Duration) (bool, time.Duration) {
	return true, time.Millisecond
}

// NextEpoch returns a higher epoch with each call.
func (o *fakeOwner) NextEpoch(ctx context.Context, _ int64) (int64, error) {
	o.epoch += 10
	o.beats++
	return o.epoch, ctx.Err()
}

// CommitSegment adopts the segment unless the commit is to fail.
func (o *fakeOwner) CommitSegment(_ context.Context, _ int64, s segs.Segment) error {
	if o.commitEnd == nil {
		o.segment, o.known = s, true
	}
	return o.commitEnd
}

// partitionedLog keeps the journal's partitions and a mark. Those that have failed end each call as given. Each append takes the
// latency and transferTime per maxAppendBytes. Put fails as often as failedMarks tells.
type partitionedLog struct {
	ports.Log
	mu           sync.Mutex
	parts        [3][][]byte
	failed       map[int]error
	latency      time.Duration
	transferTime time.Duration
	mark         string
	failedMarks  int
}

// Newest returns the mark.
func (l *partitionedLog) Newest(context.Context, string) ([]ports.KeyValue, error) {
	return []ports.KeyValue{{Key: snapshotMark, Value: []byte(l.mark)}}, nil
}

// Put stores the mark.
func (l *partitionedLog) Put(_ context.Context, _ string, e ports.KeyValue) error {
	if l.failedMarks > 0 {
		l.failedMarks--
		return ports.ErrRejected
	}
	l.mark = string(e.Value)
	return nil
}

// Trim does nothing.
func (l *partitionedLog) Trim(context.Context, string, int, int64) error { return nil }

// Append appends to a partition.
func (l *partitionedLog) Append(ctx context.Context, a ports.Append) (int64, error) {
	timer.Sleep(ctx, l.latency+time.Duration(totalBytes(a.Records))*l.transferTime/maxAppendBytes)
	if ctx.Err() != nil {
		return 0, ports.ErrOutcomeUnknown
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.failed[a.Partition]; err != nil {
		return 0, err
	}
	end := len(l.parts[a.Partition])
	l.parts[a.Partition] = append(l.parts[a.Partition], a.Records...)
	return int64(end), nil
}

// Read returns a partition's records.
func (l *partitionedLog) Read(_ context.Context, _ string, partition int, from int64, _ time.Duration) (ports.Page, error) {
	return ports.Page{Records: l.parts[partition][from:], StartOffset: from, EndOffset: int64(len(l.parts[partition]))}, nil
}

// Guards against a switch that ends although its partition failed, or that counts although another gate became owner; and against a successor
// that doesn't find the new segment.
func TestSwitchOfTheJournal(t *testing.T) {
	scenarios := []struct {
		testName  string
		failed    map[int]error
		commitEnd error
		expected  int // partition of the new segment
	}{
		{"next partition", map[int]error{0: ports.ErrRejected}, nil, 1},
		{"the next one fails too", map[int]error{0: ports.ErrRejected, 1: ports.ErrOutcomeUnknown}, nil, 2},
		{"only the old one is back", map[int]error{1: ports.ErrRejected, 2: ports.ErrRejected}, nil, 0},
		{"another gate is owner", map[int]error{0: ports.ErrRejected}, owner.ErrNotOwner, 0},
		{"fenced by a successor", map[int]error{0: ports.ErrRejected, 1: ports.ErrFenced}, nil, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := &partitionedLog{failed: map[int]error{}}
				log.parts[1] = [][]byte{[]byte("void"), []byte("void")}
				o := &fakeOwner{known: true, epoch: 7, commitEnd: s.commitEnd}
				j := newJournal(log, o, 5, 3)
				_, _, err := j.takeOver(t.Context(), sched.New(sched.Options{}))
				assert.NilError(t, err)
				log.failed = s.failed
				snapshot, err := sched.Encode(sched.SnapshotStarted{Offset: 9})
				assert.NilError(t, err)
				end, err := sched.Encode(sched.SnapshotEnded{})
				assert.NilError(t, err)
				r, err := j.switchSegment(t.Context(), [][]byte{snapshot, end})
				if s.commitEnd != nil || errors.Is(s.failed[1], ports.ErrFenced) {
					assert.Assert(t, err != nil && !j.writer.MayAcknowledge(), "%v", err)
					assert.Equal(t, o.segment, segs.Segment{})
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, r.segment.Partition, s.expected)
				assert.Assert(t, j.writer.MayAcknowledge())
				successor := sched.New(sched.Options{})
				_, size, err := newJournal(log, o, 100, 3).takeOver(t.Context(), successor)
				assert.NilError(t, err)
				assert.Equal(t, successor.InboxOffset(0), int64(9))
				assert.Equal(t, r.segment.Start, int64(len(log.parts[s.expected])-3))
				assert.Assert(t, size > 0)
			})
		})
	}
}

// Guards against a successor that goes on without knowing what was stored on the journal's partition: it answers nothing, or doesn't begin as the
// topic of the owner says.
func TestTakeoverNeedsTheCurrentSegment(t *testing.T) {
	current := segs.Segment{Number: 2, Partition: 1, Epoch: 3, Start: 0, Snapshot: 0}
	scenarios := []struct {
		testName string
		failed   map[int]error
		header   string
	}{
		{"the partition is down", map[int]error{1: ports.ErrOutcomeUnknown}, `{"segment":2,"epoch":3}`},
		{"another segment begins there", nil, `{"segment":2,"epoch":9}`},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), takeOverTimeout)
				defer cancel()
				log := &partitionedLog{failed: s.failed}
				log.parts[1] = [][]byte{[]byte(s.header)}
				_, _, err := newJournal(log, &fakeOwner{segment: current, known: true}, 7, 3).takeOver(ctx, sched.New(sched.Options{}))
				assert.Assert(t, err != nil)
			})
		})
	}
}

// Guards against a takeover without records of the owner topic that waits for partition 0 although the mark names another one, that prefers an
// old mark to a later segment this gate has read of, or that acknowledges records before the topic names the segment.
func TestTakeoverFromTheMark(t *testing.T) {
	older := segs.Segment{Number: 1, Partition: 1, Epoch: 3}
	later := segs.Segment{Number: 2, Partition: 2, Epoch: 5}
	scenarios := []struct {
		testName string
		read     segs.Segment // what this gate has read of before records were deleted
		mark     string
		expected segs.Segment
	}{
		{"only the mark", segs.Segment{}, later.Mark(), later},
		{"an old mark", later, older.Mark(), later},
		{"a later mark", older, later.Mark(), later},
		{"an unreadable mark", later, "soon", later},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			log := &partitionedLog{failed: map[int]error{0: ports.ErrRejected}, mark: s.mark}
			log.parts[1] = [][]byte{[]byte(`{"segment":1,"epoch":3}`)}
			log.parts[2] = [][]byte{[]byte(`{"segment":2,"epoch":5}`)}
			o := &fakeOwner{segment: s.read, epoch: 7}
			ctx, cancel := context.WithTimeout(t.Context(), takeOverTimeout)
			defer cancel()
			_, _, err := newJournal(log, o, 7, 3).takeOver(ctx, sched.New(sched.Options{}))
			assert.NilError(t, err)
			assert.Equal(t, o.segment, s.expected)
			assert.Equal(t, o.beats, 1)
		})
	}
}

// Guards against a switch that tries partitions for ever, because this gate's link carries no part of a snapshot within the limit, or because the
// journal's topic is slow on all partitions while heartbeats are fast.
func TestSwitchToSlowPartitions(t *testing.T) {
	scenarios := []struct {
		testName              string
		latency, transferTime time.Duration
	}{
		{"thin link", 0, time.Second},
		{"slow topic", 700 * time.Millisecond, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), takeOverTimeout)
			defer cancel()
			log := &partitionedLog{failed: map[int]error{}}
			j := newJournal(log, &fakeOwner{known: true, epoch: 7}, 5, 3)
			_, _, err := j.takeOver(ctx, sched.New(sched.Options{}))
			assert.NilError(t, err)
			log.latency, log.transferTime = s.latency, s.transferTime
			r, err := j.switchSegment(ctx, [][]byte{make([]byte, maxAppendBytes-100)})
			assert.NilError(t, err)
			assert.Assert(t, r.attempts > 1)
			assert.Equal(t, j.limitFactor, 1)
		})
	}
}

// Guards against a mark that names an earlier segment until the next snapshot, because the marks failed during the switch; and against a
// repeated mark that replaces a later one.
func TestMarkOfASegmentIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := segs.Segment{Number: 1, Partition: 1, Epoch: 3}
		log := &partitionedLog{failedMarks: 2}
		o := &fakeOwner{segment: s, known: true}
		j := newJournal(log, o, 2, 3)
		j.markSnapshot(t.Context(), s)
		assert.Equal(t, log.mark, s.Mark())
		log.mark, log.failedMarks = "", 1
		o.segment.Snapshot = 9
		j.markSnapshot(t.Context(), s)
		assert.Equal(t, log.mark, "")
	})
}
