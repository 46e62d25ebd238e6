package ports

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of the log, possibly wrapped.
var (
	// ErrFenced says that the producer was used under a higher epoch.
	ErrFenced = eris.New("a higher epoch was used")
	// ErrMoved says that the partition did not end where the condition said.
	ErrEndMismatch = eris.New("the partition has moved on")
	// ErrSequence says that the append does not follow the producer's last one.
	ErrSequence = eris.New("the append does not follow the last one")
	// ErrNotDone says that the log did surely nothing and may do so later.
	ErrRejected = eris.New("the log turned the call away")
	// ErrUnknown says that the call may have had its effect, or still may.
	ErrOutcomeUnknown = eris.New("the log did not answer")
	// ErrTrimmed says that the records asked for are no longer kept.
	ErrTrimmed = eris.New("the records are no longer kept")
)

// NoCondition lets an append happen wherever the partition ends.
const AnyEnd = -1

// Append is a call that adds records to the first partition of a topic, all or none.
type Append struct {
	Topic       string
	Records     [][]byte
	ExpectedEnd int64  // the partition must end at this offset; NoCondition for any
	Producer    string // empty for none
	Epoch       int64
	Sequence    int64
}

// Page is an answer to a read.
type Page struct {
	Records      [][]byte
	StartOffset  int64 // offset of the first record
	OldestOffset int64 // oldest offset kept
	EndOffset    int64 // offset after the last record of the partition
}

// Next returns the offset that follows the page's records.
func (p Page) NextOffset() int64 { return p.StartOffset + int64(len(p.Records)) }

// Entry is the newest record of a key.
type Entry struct {
	Key   string
	Value []byte
}

// Log is the platform's log; each topic is used with its first partition only.
type Log interface {
	// Append returns the offset of the first record. The error wraps ErrFenced, ErrMoved, ErrSequence, ErrNotDone or
	// ErrUnknown.
	Append(ctx context.Context, a Append) (offset int64, err error)
	// Read returns the records from an offset on, waiting for the first one if there is none; the page is empty when
	// the wait is over. The error wraps ErrTrimmed, ErrNotDone or ErrUnknown; with ErrTrimmed the page tells First.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
	// Trim drops the records before the offset.
	Trim(ctx context.Context, topic string, before int64) error
	// Put writes the newest value of a key to a keyed topic.
	Put(ctx context.Context, topic string, e Entry) error
	// Newest returns the newest value of each key of a keyed topic.
	Newest(ctx context.Context, topic string) ([]Entry, error)
}
