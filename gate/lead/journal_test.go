package lead

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/sched"
	"mangowing/gate/ports"
	"mangowing/gate/segs"
)

// invalidatingLog takes every append with a record for invalid.
type invalidatingLog struct {
	ports.Log
	appends int
}

// Append fails unless the append has no records.
func (l *invalidatingLog) Append(_ context.Context, a ports.Append) (int64, error) {
	l.appends++
	if len(a.Records) > 0 {
		return 0, ports.ErrInvalid
	}
	return 0, nil
}

// Guards against an owner that repeats an append for ever that can't succeed, while nothing else is scheduled (review/1).
func TestAppendThatTheLogTakesForInvalidIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &invalidatingLog{}
		j := newJournal(log, &fakeOwner{}, 1, 0)
		_, err := j.fence(t.Context(), segs.Segment{})
		assert.NilError(t, err)
		assert.NilError(t, j.writer.Fenced())
		_, err = j.append(t.Context(), [][]byte{[]byte("record")})
		assert.Assert(t, errors.Is(err, ports.ErrInvalid), "%v", err)
		assert.Equal(t, log.appends, 2)
	})
}

// emptyLog has no records, and a mark of a snapshot.
type emptyLog struct {
	ports.Log
	mark string
}

// Append returns the end of the journal.
func (l *emptyLog) Append(context.Context, ports.Append) (int64, error) { return 1, nil }

// Newest returns the mark.
func (l *emptyLog) Newest(context.Context, string) ([]ports.KeyValue, error) {
	return []ports.KeyValue{{Key: snapshotMark, Value: []byte(l.mark)}}, nil
}

// Read returns one record of the journal, and fails if the offset is out of range.
func (l *emptyLog) Read(_ context.Context, _ string, _ int, from int64, _ time.Duration) (ports.Page, error) {
	if from != 0 {
		return ports.Page{}, ports.ErrInvalid
	}
	return ports.Page{Records: [][]byte{[]byte("record")}, EndOffset: 1}, nil
}

// Guards against a mark that names no offset of the journal, so that nothing was replayed.
func TestOddSnapshotMarkIsIgnored(t *testing.T) {
	for _, mark := range []string{"0", "-7", "99", "1e999", "soon", ""} {
		j := newJournal(&emptyLog{mark: mark}, &fakeOwner{}, 1, 0)
		_, size, err := j.takeOver(t.Context(), sched.New(sched.Options{}))
		assert.NilError(t, err)
		assert.Equal(t, size, len("record"), "mark %q", mark)
	}
}
