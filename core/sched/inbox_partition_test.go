package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a successor that skips accepted jobs of an inbox partition, since the offset after them was in a snapshot that has no end
// while the jobs were in none of its records; and against one that reads a partition again from its start.
func TestOffsetsOfInboxPartitions(t *testing.T) {
	sc := New(Options{})
	assert.NilError(t, sc.Replay(InboxPartitionAdvanced{Partition: 1, Offset: 5}))
	assert.Equal(t, sc.InboxOffset(1), int64(5))
	assert.Equal(t, sc.InboxPartitions(), 2)
	assert.NilError(t, sc.Replay(SnapshotStarted{Offset: 3}))
	assert.NilError(t, sc.Replay(InboxPartitionAdvanced{Partition: 1, Offset: 9}))
	assert.Equal(t, sc.InboxOffset(1), int64(5))
	assert.NilError(t, sc.Replay(SnapshotEnded{}))
	assert.Equal(t, sc.InboxOffset(1), int64(9))
	sc.AdvanceInbox(1, 12)
	successor := New(Options{})
	for _, r := range sc.Snapshot() {
		raw, err := Encode(r)
		assert.NilError(t, err)
		decoded, err := Decode(raw)
		assert.NilError(t, err)
		assert.NilError(t, successor.Replay(decoded))
	}
	assert.Equal(t, successor.InboxOffset(0), int64(3))
	assert.Equal(t, successor.InboxOffset(1), int64(12))
}

// Guards against a job that runs again because it was forgotten while a partition of the inbox with a second copy of it was not read.
func TestEndedJobIsKeptWhileAnInboxPartitionIsUnread(t *testing.T) {
	now := time.Unix(1000, 0)
	sc := New(Options{})
	sc.TakeOwnership(now, 0)
	spec := JobSpec{ID: "5c0e7a21d94b36f8", Pool: "pots", Steps: []StepSpec{{Count: 1, CPU: 1}}}
	sc.AcceptFromInbox(now, spec)
	sc.CancelFromInbox(now, spec.ID)
	later := now.Add(2 * defaultRetention)
	sc.KeepEndedSince(now.Add(-time.Second))
	sc.Decide(later)
	assert.Assert(t, sc.HasJob(spec.ID))
	sc.KeepEndedSince(now)
	sc.Decide(later.Add(time.Second))
	assert.Assert(t, !sc.HasJob(spec.ID))
}
