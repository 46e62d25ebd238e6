package segs

import (
	"github.com/rotisserie/eris"

	"mangowing/gate/ports"
)

const (
	// Topic is the topic of the journal.
	Topic    = "journal"
	producer = "journal"
)

// ErrPhase means that a call of a Writer isn't possible in its phase. The owner must give its ownership up.
var ErrPhase = eris.New("the journal's writer is in another phase")

// phase is the phase of a Writer.
type phase uint8

const (
	phaseClaimed    phase = iota // earlier owners may still append to the current segment
	phaseWriting                 // the current segment takes records
	phaseGivenUp                 // the current segment takes no more records of this writer
	phaseOpening                 // header and snapshot of the next segment are appended
	phaseCommitting              // the commit of the next segment may be on the owner topic
)

// Writer is the state of the journal at its owner during one term. It decides what is appended where, and under which epoch and
// sequence number. What was appended may be acknowledged only while MayAcknowledge reports true.
type Writer struct {
	claim     int64
	segment   Segment
	epoch     int64 // of the appends to the current segment
	sequence  int64 // of the next append
	phase     phase
	next      Segment
	hasStart  bool  // the header of the next segment is stored
	lastEpoch int64 // highest epoch used so far
}

// NewWriter returns the writer of an owner with the epoch of its claim, which continues the given segment.
func NewWriter(current Segment, claim int64) *Writer {
	return &Writer{claim: claim, segment: current, epoch: claim, lastEpoch: claim}
}

// Current returns the segment that counts as far as the writer knows.
func (w *Writer) Current() Segment { return w.segment }

// MayAcknowledge reports whether appends that are stored count.
func (w *Writer) MayAcknowledge() bool { return w.phase == phaseWriting }

// Fence returns the append by which the partition of the current segment refuses all earlier owners.
func (w *Writer) Fence() ports.Append { return FenceAppend(w.segment.Partition, w.claim) }

// FenceAppend returns the empty append by which a partition of the journal refuses all lower epochs. Its result is the partition's end.
func FenceAppend(partition int, epoch int64) ports.Append {
	return ports.Append{Topic: Topic, Partition: partition, ExpectedEnd: ports.AnyEnd, Producer: producer, Epoch: epoch}
}

// Fenced records that the append of Fence was confirmed.
func (w *Writer) Fenced() error {
	if w.phase != phaseClaimed {
		return eris.Wrap(ErrPhase, "fenced")
	}
	w.phase, w.sequence = phaseWriting, 1
	return nil
}

// Append returns the next append: to the current segment, or to the next one between Open and Complete. It may be repeated until it is
// confirmed.
func (w *Writer) Append(records [][]byte) (ports.Append, error) {
	a := ports.Append{Topic: Topic, Records: records, ExpectedEnd: ports.AnyEnd, Producer: producer, Sequence: w.sequence}
	switch w.phase {
	case phaseWriting:
		a.Partition, a.Epoch = w.segment.Partition, w.epoch
	case phaseOpening:
		a.Partition, a.Epoch = w.next.Partition, w.next.Epoch
	default:
		return ports.Append{}, eris.Wrap(ErrPhase, "append")
	}
	return a, nil
}

// Appended records that the last append was confirmed, and the offset of its first record.
func (w *Writer) Appended(offset int64) {
	w.sequence++
	if w.phase == phaseOpening && !w.hasStart {
		w.next.Start, w.next.Snapshot, w.hasStart = offset, offset, true
	}
}

// Marked records the offset of a whole snapshot in the current segment.
func (w *Writer) Marked(offset int64) { w.segment.Snapshot = max(w.segment.Snapshot, offset) }

// GiveUp ends the appends to the current segment. What it holds of the last append is undecided until the next segment is committed.
func (w *Writer) GiveUp() error {
	if w.phase != phaseWriting {
		return eris.Wrap(ErrPhase, "give up")
	}
	w.phase = phaseGivenUp
	return nil
}

// Open begins the next segment on a partition that was fenced under the epoch, and returns its header. The epoch is the offset after a
// record that this owner has put on the owner topic since the last Open.
func (w *Writer) Open(partition int, epoch int64) ([]byte, error) {
	if w.phase != phaseGivenUp || epoch <= w.lastEpoch {
		return nil, eris.Wrapf(ErrPhase, "open under the epoch %d after %d", epoch, w.lastEpoch)
	}
	w.phase, w.lastEpoch, w.sequence, w.hasStart = phaseOpening, epoch, 1, false
	w.next = Segment{Number: w.segment.Number + 1, Partition: partition, Epoch: epoch}
	return encodeHeader(w.next)
}

// Abandon ends the attempt to open a segment. What was appended to it is void.
func (w *Writer) Abandon() error {
	if w.phase != phaseOpening {
		return eris.Wrap(ErrPhase, "abandon")
	}
	w.phase = phaseGivenUp
	return nil
}

// Complete returns the next segment, to be committed on the owner topic. Header and a whole snapshot must be stored.
func (w *Writer) Complete() (Segment, error) {
	if w.phase != phaseOpening || !w.hasStart {
		return Segment{}, eris.Wrap(ErrPhase, "complete")
	}
	w.phase = phaseCommitting
	return w.next, nil
}

// Committed records that the commit is on the owner topic: the next segment counts.
func (w *Writer) Committed() error {
	if w.phase != phaseCommitting {
		return eris.Wrap(ErrPhase, "committed")
	}
	w.phase, w.segment, w.epoch = phaseWriting, w.next, w.next.Epoch
	return nil
}
