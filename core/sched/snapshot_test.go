package sched

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against jobs that were accepted and not known: an owner lost the log in the middle of a snapshot, and its
// successor took what was there of it for the whole state.
func TestSnapshotThatBrokeOffLosesNothing(t *testing.T) {
	b := newBench(t, 3)
	b.submit("open", oneCore(2))
	b.submit("done", oneCore(1))
	b.m.AddWave(b.now, Wave{Number: 7})
	starts := b.answerStarts(OK)
	b.m.CancelEarly(b.now, "early")
	b.settle()
	for _, o := range starts {
		if o.Task.Job == "done" {
			b.end(o, Done)
		}
	}
	snapshot := b.m.Snapshot()
	before := len(b.records)
	b.submit("later", oneCore(1))
	later := b.records[before:]
	for stored := range len(snapshot) + 1 {
		next := New(Options{})
		for _, records := range [][]Record{b.records[:before], snapshot[:stored], later} {
			for _, r := range records {
				assert.NilError(t, next.Replay(r))
			}
		}
		assert.Equal(t, len(next.jobs), 3, "%d of %d records of the snapshot", stored, len(snapshot))
		assert.Equal(t, len(next.open), 2)
		assert.Assert(t, next.early["early"])
		assert.Equal(t, next.jobs["done"].outcome, Completed)
		assert.Equal(t, next.jobs["open"].running, 2)
		assert.Equal(t, next.jobs["later"].rounds[0].steps[0].undone, 1)
		assert.DeepEqual(t, next.waveSeen, b.m.waveSeen)
	}
}

// Guards against a snapshot that lacks jobs taking the place of the state before it.
func TestSnapshotOfTheWrongSizeIsNotTaken(t *testing.T) {
	b := newBench(t, 1)
	b.submit("a", oneCore(1))
	b.submit("b", oneCore(1))
	next := New(Options{})
	for _, r := range b.records {
		assert.NilError(t, next.Replay(r))
	}
	assert.NilError(t, next.Replay(SnapshotBegun{}))
	assert.NilError(t, next.Replay(saveJob(b.m.jobs["a"])))
	assert.ErrorContains(t, next.Replay(SnapshotEnded{Jobs: 2}), "snapshot of 2 jobs has 1")
	assert.Equal(t, len(next.jobs), 2)
}
