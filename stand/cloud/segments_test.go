package cloud

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
)

// Guards against a fleet that stops while one partition of the journal is down, and against a successor that misses what was stored on another
// one: two partitions fail one after the other, the owner ends, and the first partition is used again.
func TestJournalGoesOnWhenItsPartitionFails(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, 3, 1, 1)
	ids := []string{d.newID()}
	assert.Equal(t, d.submit("gate-1", ids[0], "key-1").Code(), codes.OK)
	for partition, fault := range []Fault{FaultNoResponse, FaultReject} {
		d.log.SetPartitionFault("journal", partition, fault)
		id := d.newID()
		startedAt := time.Now()
		assert.Equal(t, d.submit("gate-1", id, "key-1").Code(), codes.OK)
		assert.Assert(t, time.Since(startedAt) < 2*time.Second)
		ids = append(ids, id)
	}
	for _, id := range ids {
		d.assertCompletes(id)
	}
	owner := d.waitForOwner()
	d.gates[owner].stop()
	delete(d.gates, owner)
	next := d.waitForOwner()
	ids = append(ids, d.newID(), d.newID())
	assert.Equal(t, d.submit(next, ids[3], "key-1").Code(), codes.OK)
	d.assertCompletes(ids[3])
	d.log.SetPartitionFault("journal", 0, FaultNone)
	d.log.SetPartitionFault("journal", 2, FaultLoseResponse)
	assert.Equal(t, d.submit(next, ids[4], "key-1").Code(), codes.OK)
	for _, id := range ids {
		d.assertCompletes(id)
	}
}

// Guards against an owner that goes on storing elsewhere while the topic of the owner itself is down.
func TestJournalDoesNotSwitchWhileTheOwnerTopicIsDown(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, 3, 1)
	d.log.SetPartitionFault("owner", 0, FaultNoResponse)
	d.log.SetPartitionFault("journal", 0, FaultNoResponse)
	_ = d.submit("gate-1", d.newID(), "key-1")
	time.Sleep(2 * time.Second)
	page, _, err := d.log.readPage("journal", 1, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Records), 0)
}
