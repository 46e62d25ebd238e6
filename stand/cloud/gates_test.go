package cloud

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/core/sched"
	"mangowing/gate/node"
	"mangowing/gate/ports"
)

func TestJobSubmittedToAnyGateRunsOnce(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3)
	for gate := range d.gates {
		id := d.newID()
		assert.Equal(t, d.submit(gate, id, "key-1").Code(), codes.OK)
		assert.Equal(t, d.submit(d.otherThan(gate), id, "key-1").Code(), codes.OK, "resubmission of the same job")
		d.assertCompletes(id)
	}
}

func TestRejectedCalls(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	scenarios := []struct {
		testName string
		path     string
		key      string
		expected codes.Code
	}{
		{"no such queue", "/nowhere/0000000000000001", "key-1", codes.QueueUnknown},
		{"no key", "/plans/0000000000000001", "", codes.KeyUnknown},
		{"unknown key", "/plans/0000000000000001", "key-9", codes.KeyUnknown},
		{"invalid job ID", "/plans/xyz", "key-1", codes.MalformedRequest},
	}
	for _, c := range scenarios {
		t.Run(c.testName, func(t *testing.T) {
			reply := d.gates["gate-1"].node.Intake().Submit(context.Background(), d.call(c.path, c.key), sched.JobSpec{})
			assert.Equal(t, reply.Code(), c.expected)
		})
	}
	assert.Equal(t, d.state("gate-1", "00000000000000ff"), codes.JobUnknown.String())
}

func TestJobCompletesAfterOwnerCrash(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3)
	owner := d.waitForOwner()
	id := d.newID()
	assert.Equal(t, d.submit(d.otherThan(owner), id, "key-1").Code(), codes.OK)
	d.gates[owner].stop()
	delete(d.gates, owner)
	d.assertCompletes(id)
}

func TestPlannedStopHandsOverOwnership(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	owner := d.waitForOwner()
	id := d.newID()
	assert.Equal(t, d.submit(owner, id, "key-1").Code(), codes.OK)
	startedAt := time.Now()
	d.gates[owner].node.Stop(context.Background())
	assert.Assert(t, !d.gates[owner].node.IsReady())
	d.waitUntil("the other gate", func() bool { return d.gates[d.otherThan(owner)].node.IsOwner() })
	assert.Assert(t, time.Since(startedAt) < time.Second, "the next owner must not wait for the old one to time out")
	d.assertCompletes(id)
}

// Gates have different numbers of cores, and the weak ones start first.
func TestWeakOwnerHandsOverToStrongGate(t *testing.T) {
	t.Parallel()
	d := newDeploymentWithCores(t, 0.2, 0.2)
	id := d.newID()
	assert.Equal(t, d.submit("gate-1", id, "key-1").Code(), codes.OK)
	d.startGate("gate-3", 0.8)
	d.waitUntil("the strong gate", func() bool { return d.owner() == "gate-3" })
	d.assertCompletes(id)
}

// The strong owner crashes, and weak and strong gates remain.
func TestStrongGateClaimsBeforeWeakOnes(t *testing.T) {
	t.Parallel()
	d := newDeploymentWithCores(t, 0.2, 0.2, 0.8, 0.8)
	d.waitUntil("a strong owner", func() bool { return d.owner() == "gate-3" || d.owner() == "gate-4" })
	owner := d.owner()
	d.gates[owner].stop()
	delete(d.gates, owner)
	next := d.waitForOwner()
	assert.Assert(t, next == "gate-3" || next == "gate-4", next)
}

func TestOwnerRejectedByTheLogHandsOver(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3)
	owner := d.waitForOwner()
	d.log.SetFault(owner, FaultReject)
	d.operators.SetUnreachable(owner, true)
	d.waitUntil("another owner", func() bool {
		now := d.owner()
		return now != "" && now != owner
	})
	var id string
	d.waitUntil("the new owner to be known", func() bool {
		id = d.newID()
		return d.submit(owner, id, "key-1").Code() == codes.OK
	})
	d.assertCompletes(id)
}

func TestJobsAreRefusedAtOnceWhileLogIsUnavailable(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	before := d.newID()
	assert.Equal(t, d.submit("gate-1", before, "key-1").Code(), codes.OK)
	d.log.SetFault("", FaultReject)
	time.Sleep(2 * time.Second)
	refused := d.newID()
	startedAt := time.Now()
	reply := d.submit("gate-1", refused, "key-1")
	assert.Equal(t, reply.Code(), codes.JobStoreAway)
	assert.Assert(t, reply.RetryAfter() > 0)
	assert.Assert(t, time.Since(startedAt) < 1200*time.Millisecond)
	d.log.SetFault("", FaultNone)
	d.assertCompletes(before)
	assert.Equal(t, d.workers.Starts(sched.TaskID{Job: refused}), 0, "a refused job must never run")
}

func TestLostLogResponsesDuplicateNothing(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	owner := d.waitForOwner()
	id := d.newID()
	d.log.SetFault(owner, FaultLoseResponse)
	go func() {
		time.Sleep(700 * time.Millisecond)
		d.log.SetFault(owner, FaultNone)
	}()
	code := d.submit(d.otherThan(owner), id, "key-1").Code()
	assert.Assert(t, code == codes.OK || code == codes.JobUnsettled, "must not be reported as refused: %s", code)
	d.assertCompletes(id)
}

// Gates append jobs to the inbox while there is no owner, and callers ask for their state as soon as there is one, before the
// owner has read the inbox.
func TestInboxJobIsNeverUnknown(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 2)
	for range 2 {
		owner := d.waitForOwner()
		next := d.otherThan(owner)
		d.log.DelayReads(next, "inbox", 300*time.Millisecond)
		id := d.newID()
		d.appendToInbox(id)
		d.gates[owner].node.Stop(context.Background())
		d.waitUntil("the next owner", func() bool { return d.gates[next].node.IsOwner() })
		for range 20 {
			assert.Assert(t, d.state(next, id) != codes.JobUnknown.String())
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, d.state(next, "00000000000000ff"), codes.JobUnknown.String())
		d.gates[owner].stop()
		delete(d.gates, owner)
		d.startGate(owner, 1)
	}
}

// appendToInbox accepts a job as a gate does that can't reach an owner.
func (d *deployment) appendToInbox(id string) {
	record, err := sched.Encode(sched.JobAccepted{Job: sched.JobSpec{
		ID: id, Queue: "plans", Pool: "pots", Team: "retail", MaxAttempts: 2, Steps: []sched.StepSpec{{Count: 1, CPU: 500, EstimateMs: 300}},
	}})
	assert.NilError(d.t, err)
	_, err = d.log.View("").Append(context.Background(), ports.Append{Topic: "inbox", Records: [][]byte{record}, ExpectedEnd: ports.AnyEnd})
	assert.NilError(d.t, err)
}

func TestTasksOfSilentWorkersRunElsewhere(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	id := d.newID()
	assert.Equal(t, d.submit("gate-1", id, "key-1").Code(), codes.OK)
	d.workers.SetSilent("vm-1", true)
	d.workers.SetSilent("vm-2", true)
	d.waitUntil("the job", func() bool { return d.state("gate-1", id) == "completed" })
	assert.Equal(t, len(d.workers.ConcurrentRuns()), 0)
}

func TestGateCutOffFromPlatformRefusesWithdrawnKey(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 3)
	owner := d.waitForOwner()
	cut := d.otherThan(owner)
	d.log.SetFault(cut, FaultReject)
	d.operators.SetUnreachable(cut, true)
	d.operators.Declare(testConfig(2, "key-1"))
	d.waitUntil("the refusal", func() bool { return d.submit(cut, d.newID(), "key-2").Code() == codes.KeyUnknown })
	assert.Equal(t, d.submit(cut, d.newID(), "key-1").Code(), codes.OK)
}

func TestIsolatedGateRefusesCallsOnceItsConfigIsStale(t *testing.T) {
	t.Parallel()
	d := newDeployment(t, 1)
	d.operators.SetUnreachable("gate-1", true)
	d.waitUntil("the refusal", func() bool {
		reply := d.submit("gate-1", d.newID(), "key-1")
		return reply.Code() == codes.ConfigStale && reply.RetryAfter() > 0
	})
	assert.Assert(t, !d.gates["gate-1"].node.IsReady())
}

// newWatchingDeployment starts gates in data centres of their own that watch whether they are cut off.
func newWatchingDeployment(t *testing.T, gates int) *deployment {
	d := newEmptyDeployment(t)
	for i := range gates {
		d.startGateWith(node.Options{Name: fmt.Sprintf("gate-%d", i+1), Processor: 1, DataCentre: fmt.Sprintf("dc-%d", i+1), WatchCutOff: true})
	}
	d.waitForOwner()
	time.Sleep(discoveryTime)
	return d
}

// Guards against callers that come back to a gate which can't serve them, and against one that is not used again afterwards.
func TestGateThatIsCutOffIsNotReadyAndRefusesAtOnce(t *testing.T) {
	t.Parallel()
	d := newWatchingDeployment(t, 1)
	gone := ports.KeyValue{Key: "gate-2", Value: []byte(`{"address":"` + freeAddress(t) + `","processor":1,"data-centre":"dc-2"}`)}
	assert.NilError(t, d.log.View("gate-2").Put(context.Background(), "gates", gone))
	gate := d.gates["gate-1"].node
	time.Sleep(discoveryTime)
	d.waitUntil("readiness", gate.IsReady)
	before := d.newID()
	assert.Equal(t, d.submit("gate-1", before, "key-1").Code(), codes.OK)
	d.log.SetFault("gate-1", FaultNoResponse)
	d.waitUntil("the cut", gate.IsCutOff)
	assert.Assert(t, !gate.IsReady())
	startedAt, refused := time.Now(), d.newID()
	reply := d.submit("gate-1", refused, "key-1")
	assert.Equal(t, reply.Code(), codes.JobStoreAway)
	assert.Assert(t, reply.RetryAfter() > 0)
	reply = gate.Intake().Cancel(context.Background(), d.call("/plans/"+before, "key-1"))
	assert.Equal(t, reply.Code(), codes.JobStoreAway)
	assert.Assert(t, time.Since(startedAt) < 500*time.Millisecond)
	d.log.SetFault("gate-1", FaultNone)
	d.waitUntil("readiness", gate.IsReady)
	d.assertCompletes(before)
	assert.Equal(t, d.workers.Starts(sched.TaskID{Job: refused}), 0, "a refused job must never run")
}

// Guards against gates that turn callers away although no other gate is better off, or although the owner answers them.
func TestGatesThatAreNotCutOffStayReady(t *testing.T) {
	for testName, breakLog := range map[string]func(d *deployment){
		"log down for everybody":   func(d *deployment) { d.log.SetFault("", FaultNoResponse) },
		"log rejects everybody":    func(d *deployment) { d.log.SetFault("", FaultReject) },
		"one gate without the log": func(d *deployment) { d.log.SetFault(d.otherThan(d.waitForOwner()), FaultReject) },
	} {
		t.Run(testName, func(t *testing.T) {
			t.Parallel()
			d := newWatchingDeployment(t, 3)
			breakLog(d)
			for start := time.Now(); time.Since(start) < 3*time.Second; time.Sleep(20 * time.Millisecond) {
				for name, g := range d.gates {
					assert.Assert(t, g.node.IsReady(), name)
				}
			}
		})
	}
}
