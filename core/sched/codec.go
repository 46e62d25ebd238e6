package sched

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// codecVersion is the first byte of every encoded record.
const codecVersion = 1

// recordTag is the second byte of every encoded record and names its type. The numbers must not change, since journals
// contain them.
type recordTag uint8

const (
	tagJobAccepted recordTag = iota + 1
	tagJobCancelled
	tagTaskStarted
	tagTaskEnded
	tagInboxAdvanced
	tagSnapshotStarted
	tagJobSnapshot
	tagSnapshotEnded
	tagWaveSeen
	tagMaintenanceDone
	tagSurgeSeen
	tagMaintenanceOrdered
	tagTasksSnapshot
	tagTaskCrashes
	tagEvacuationChanged
)

// The numbers between are left to other records.
const (
	tagInboxPartitionAdvanced recordTag = iota + 32
	tagTasksDone
	tagRoundsDone
)

var decoders = map[recordTag]func(body []byte) (Record, error){
	tagJobAccepted:        decodeAs[JobAccepted],
	tagJobCancelled:       decodeAs[JobCancelled],
	tagTaskStarted:        decodeAs[TaskStarted],
	tagTaskEnded:          decodeAs[TaskEnded],
	tagInboxAdvanced:      decodeAs[InboxAdvanced],
	tagSnapshotStarted:    decodeAs[SnapshotStarted],
	tagJobSnapshot:        decodeAs[JobSnapshot],
	tagSnapshotEnded:      decodeAs[SnapshotEnded],
	tagWaveSeen:           decodeAs[WaveSeen],
	tagMaintenanceDone:    decodeAs[MaintenanceDone],
	tagSurgeSeen:          decodeAs[SurgeSeen],
	tagMaintenanceOrdered: decodeAs[MaintenanceOrdered],
	tagTasksSnapshot:      decodeAs[TasksSnapshot],
	tagTaskCrashes:        decodeAs[TaskCrashes],
	tagEvacuationChanged:  decodeAs[EvacuationChanged],

	tagInboxPartitionAdvanced: decodeAs[InboxPartitionAdvanced],
	tagTasksDone:              decodeAs[TasksDone],
	tagRoundsDone:             decodeAs[RoundsDone],
}

// Encode returns the binary form of the record: codec version, tag and CBOR body.
func Encode(r Record) ([]byte, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return nil, eris.Wrap(err, "encode a record")
	}
	return append([]byte{codecVersion, byte(r.tag())}, body...), nil
}

// Decode parses a record that Encode returned. It fails on an unknown codec version or tag and on an invalid body.
func Decode(b []byte) (Record, error) {
	if len(b) < 2 || b[0] != codecVersion {
		return nil, eris.Errorf("record of %d bytes has no known codec version", len(b))
	}
	decode, known := decoders[recordTag(b[1])]
	if !known {
		return nil, eris.Errorf("record has the unknown tag %d", b[1])
	}
	return decode(b[2:])
}

func decodeAs[R Record](body []byte) (Record, error) {
	var r R
	if err := cbor.Unmarshal(body, &r); err != nil {
		return nil, eris.Wrap(err, "decode a record")
	}
	return r, nil
}
