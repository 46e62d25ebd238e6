package ports

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// Errors of the log, possibly wrapped.
var (
	// ErrFenced means that the producer was already used under a higher epoch.
	ErrFenced = eris.New("a higher epoch was used")
	// ErrEndMismatch means that the partition did not end at Append.ExpectedEnd.
	ErrEndMismatch = eris.New("the partition does not end at the expected offset")
	// ErrSequence means that the sequence number does not follow that of the producer's last append.
	ErrSequence = eris.New("the append does not follow the last one")
	// ErrRejected means that the call surely had no effect, and may succeed later.
	ErrRejected = eris.New("the log rejected the call")
	// ErrInvalid means that the call had no effect, and can't succeed as it is.
	ErrInvalid = eris.New("the log takes no such call")
	// ErrOutcomeUnknown means that the call may have taken effect, or still may.
	ErrOutcomeUnknown = eris.New("the log did not answer")
	// ErrTrimmed means that the requested records are no longer kept.
	ErrTrimmed = eris.New("the records are no longer kept")
)

// AnyEnd as Append.ExpectedEnd appends wherever the partition ends.
const AnyEnd = -1

// Append is a call that appends records to a partition of a topic, either all or none. Epochs and sequence numbers of a producer apply
// to one partition.
type Append struct {
	Topic       string
	Partition   int
	Records     [][]byte
	ExpectedEnd int64  // offset at which the partition must end, AnyEnd for no condition
	Producer    string // empty for none
	Epoch       int64
	Sequence    int64
}

// Page is the result of a read.
type Page struct {
	Records      [][]byte
	StartOffset  int64 // offset of the first record
	OldestOffset int64 // offset of the oldest record that is kept
	EndOffset    int64 // offset after the partition's last record
}

// NextOffset returns the offset after the page's last record.
func (p Page) NextOffset() int64 { return p.StartOffset + int64(len(p.Records)) }

// KeyValue is a key of a keyed topic with its newest value.
type KeyValue struct {
	Key   string
	Value []byte
}

// Log is the platform's log. The partitions of a topic are numbered from 0 and may fail individually. Keyed topics use partition 0.
type Log interface {
	// Append returns the offset of the first record. The error wraps ErrFenced, ErrEndMismatch, ErrSequence, ErrRejected,
	// ErrInvalid or ErrOutcomeUnknown.
	Append(ctx context.Context, a Append) (offset int64, err error)
	// Read returns the records of a partition from an offset on, waiting for the first one if there is none. The page is empty if none
	// arrives in that time. The error wraps ErrTrimmed, ErrRejected or ErrOutcomeUnknown; with ErrTrimmed the page has
	// OldestOffset set.
	Read(ctx context.Context, topic string, partition int, from int64, wait time.Duration) (Page, error)
	// Trim deletes a partition's records before the offset.
	Trim(ctx context.Context, topic string, partition int, before int64) error
	// Put sets the value of a key in a keyed topic.
	Put(ctx context.Context, topic string, e KeyValue) error
	// Newest returns the newest value of each key of a keyed topic.
	Newest(ctx context.Context, topic string) ([]KeyValue, error)
}
