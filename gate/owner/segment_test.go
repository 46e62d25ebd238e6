package owner

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/gate/ports"
	"mangowing/gate/segs"
)

// topicLog is the owner topic. It loses the answers to the given number of appends, which take effect. Records before oldest are deleted.
type topicLog struct {
	ports.Log
	mu      sync.Mutex
	records [][]byte
	lost    int
	oldest  int64
}

// Append appends if the topic ends as expected.
func (l *topicLog) Append(_ context.Context, a ports.Append) (int64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	end := int64(len(l.records))
	if a.ExpectedEnd != end {
		return 0, ports.ErrEndMismatch
	}
	l.records = append(l.records, a.Records...)
	if l.lost > 0 {
		l.lost--
		return 0, ports.ErrOutcomeUnknown
	}
	return end, nil
}

// Read returns all records from the offset on.
func (l *topicLog) Read(_ context.Context, _ string, _ int, from int64, _ time.Duration) (ports.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.oldest {
		return ports.Page{OldestOffset: l.oldest}, ports.ErrTrimmed
	}
	return ports.Page{Records: l.records[from:], StartOffset: from, EndOffset: int64(len(l.records))}, nil
}

// Guards against a segment that counts for its owner but not for a successor, or the other way round: the answer to the commit is lost, or
// another gate has claimed the ownership before it.
func TestCommitOfASegment(t *testing.T) {
	next := segs.Segment{Number: 1, Partition: 3, Epoch: 2, Start: 40, Snapshot: 40}
	scenarios := []struct {
		testName string
		lost     int
		claimed  bool // by another gate before the commit
	}{
		{"confirmed", 0, false},
		{"its answer is lost", 1, false},
		{"after another gate's claim", 0, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			log := &topicLog{}
			first, other := New(log, "gate-1", "127.0.0.1:1", nil), New(log, "gate-2", "127.0.0.1:2", nil)
			first.claim(t.Context())
			assert.NilError(t, first.readTopic(t.Context()))
			epoch, err := first.NextEpoch(t.Context(), 1)
			assert.NilError(t, err)
			assert.Equal(t, epoch, int64(2))
			assert.NilError(t, other.readTopic(t.Context()))
			if s.claimed {
				other.claim(t.Context())
			}
			log.lost = s.lost
			done := make(chan error, 1)
			go func() { done <- first.CommitSegment(t.Context(), 1, next) }()
			time.Sleep(commitRetryPause / 3)
			assert.NilError(t, first.readTopic(t.Context()))
			assert.Equal(t, <-done == nil, !s.claimed)
			assert.NilError(t, other.readTopic(t.Context()))
			known, found := other.Segment()
			assert.Equal(t, found, !s.claimed)
			assert.Equal(t, known == next, !s.claimed)
			other.claim(t.Context())
			assert.NilError(t, first.readTopic(t.Context()))
			assert.Assert(t, first.CommitSegment(t.Context(), 1, segs.Segment{Number: 2, Epoch: 3}) == ErrNotOwner)
		})
	}
}

// Guards against a successor that replays from an old snapshot or takes over an old segment: heartbeats name the newest one, also in what is
// left of a trimmed topic.
func TestHeartbeatsCarryTheSegment(t *testing.T) {
	log := &topicLog{}
	e := New(log, "gate-1", "127.0.0.1:1", nil)
	e.claim(t.Context())
	assert.NilError(t, e.readTopic(t.Context()))
	assert.Assert(t, e.sendHeartbeat(t.Context(), 1))
	assert.Equal(t, string(log.records[1]), `{"kind":"beat","name":"gate-1","address":"127.0.0.1:1","life":"`+e.instance+`","number":2}`)
	next := segs.Segment{Number: 1, Partition: 3, Epoch: 2, Start: 40, Snapshot: 40}
	assert.NilError(t, e.CommitSegment(t.Context(), 1, next))
	next.Snapshot = 70
	e.MarkSegment(1, next)
	assert.Assert(t, e.sendHeartbeat(t.Context(), 1))
	successor := New(log, "gate-2", "127.0.0.1:2", nil)
	successor.nextOffset = 3
	assert.NilError(t, successor.readTopic(t.Context()))
	known, _ := successor.Segment()
	assert.Equal(t, known, next)
}

// Guards against an owner that gives up, or a successor that falls back to an old mark, because records were deleted that held nothing new; and
// against one that goes on although another gate's claim may be among the deleted records.
func TestDeletedRecordsOfTheOwnerTopic(t *testing.T) {
	next := segs.Segment{Number: 1, Partition: 3, Epoch: 2, Start: 40, Snapshot: 40}
	scenarios := []struct {
		testName string
		foreign  bool // the last deleted record is another gate's claim
	}{
		{"own records", false},
		{"another gate's claim", true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			log := &topicLog{}
			e, other := New(log, "gate-1", "127.0.0.1:1", nil), New(log, "gate-2", "127.0.0.1:2", nil)
			e.claim(t.Context())
			assert.NilError(t, e.readTopic(t.Context()))
			assert.NilError(t, e.CommitSegment(t.Context(), 1, next))
			assert.Assert(t, e.sendHeartbeat(t.Context(), 1))
			if s.foreign {
				assert.NilError(t, other.readTopic(t.Context()))
				other.claim(t.Context())
			}
			log.oldest = int64(len(log.records))
			assert.NilError(t, e.readTopic(t.Context()))
			assert.Equal(t, e.OwnEpoch() == 1, !s.foreign)
			known, isCurrent := e.Segment()
			assert.Equal(t, known, next)
			assert.Equal(t, isCurrent, !s.foreign)
			assert.Equal(t, e.knownSegment() != nil, !s.foreign)
		})
	}
}

// Guards against a gate that keeps a segment with a higher number although the owner has continued an earlier one since, as after a takeover
// with an old mark; and against one that returns to an earlier record read late.
func TestNewestRecordNamesTheSegment(t *testing.T) {
	third, second := segs.Segment{Number: 3, Partition: 3, Epoch: 9}, segs.Segment{Number: 2, Partition: 2, Epoch: 5}
	e := New(&topicLog{}, "gate-1", "127.0.0.1:1", nil)
	e.applySegment(10, third)
	e.applySegment(12, second)
	e.applySegment(11, third)
	known, isCurrent := e.Segment()
	assert.Equal(t, known, second)
	assert.Assert(t, isCurrent)
}
