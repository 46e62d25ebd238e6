package segs

import (
	"encoding/json"
	"strconv"

	"github.com/rotisserie/eris"
)

// Segment is a run of journal records on one partition. The zero value is the journal without segments: partition 0 from its first
// record on.
type Segment struct {
	Number    int64 `json:"number"`    // rises by one with each segment
	Partition int   `json:"partition"` // partition of the journal's topic
	Epoch     int64 `json:"epoch"`     // under which it was opened, 0 if it has no header
	Start     int64 `json:"start"`     // offset of its header
	Snapshot  int64 `json:"snapshot"`  // offset from which its newest whole snapshot is replayed
}

// HasHeader reports whether the segment's first record is a header.
func (s Segment) HasHeader() bool { return s.Epoch != 0 }

// IsValid reports whether the segment's fields are in range.
func (s Segment) IsValid() bool {
	return s.Number >= 0 && s.Partition >= 0 && s.Epoch >= 0 && s.Start >= 0 && s.Snapshot >= s.Start
}

// Merge returns the segment that counts after the other one was read or written: the one with the higher number, and of the same segment
// the one with the newer snapshot.
func (s Segment) Merge(other Segment) Segment {
	switch {
	case other.Number > s.Number:
		return other
	case other.Number == s.Number && other.Epoch == s.Epoch:
		s.Snapshot = max(s.Snapshot, other.Snapshot)
	}
	return s
}

// Mark returns the value that marks the segment and its snapshot. For the journal without segments it is the snapshot's offset alone.
func (s Segment) Mark() string {
	if s == (Segment{Snapshot: s.Snapshot}) {
		return strconv.FormatInt(s.Snapshot, 10)
	}
	value, err := json.Marshal(s)
	if err != nil {
		return ""
	}
	return string(value)
}

// ParseMark returns the segment that Mark has encoded. It fails on a value that is no mark, or has fields out of range.
func ParseMark(value string) (Segment, error) {
	if offset, err := strconv.ParseInt(value, 10, 64); err == nil {
		s := Segment{Snapshot: offset}
		if !s.IsValid() {
			return Segment{}, eris.Errorf("mark of the offset %d", offset)
		}
		return s, nil
	}
	var s Segment
	if err := json.Unmarshal([]byte(value), &s); err != nil {
		return Segment{}, eris.Wrap(err, "mark")
	}
	if !s.IsValid() {
		return Segment{}, eris.Errorf("mark of the invalid segment %+v", s)
	}
	return s, nil
}

// header is the first record of a segment.
type header struct {
	Segment int64 `json:"segment"`
	Epoch   int64 `json:"epoch"`
}

// encodeHeader returns the segment's first record. It starts with '{', unlike all records of the scheduler.
func encodeHeader(s Segment) ([]byte, error) {
	return json.Marshal(header{Segment: s.Number, Epoch: s.Epoch})
}

// CheckHeader fails if the record isn't the segment's header.
func (s Segment) CheckHeader(record []byte) error {
	var h header
	if err := json.Unmarshal(record, &h); err != nil {
		return eris.Wrap(err, "header of a segment")
	}
	if h != (header{Segment: s.Number, Epoch: s.Epoch}) {
		return eris.Errorf("header of segment %d, epoch %d, where segment %d, epoch %d begins", h.Segment, h.Epoch, s.Number, s.Epoch)
	}
	return nil
}
