package cloud

import (
	"context"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"mangowing/core/codes"
	"mangowing/core/sched"
	"mangowing/core/setup"
	"mangowing/gate/intake"
	"mangowing/gate/node"
	"mangowing/gate/ports"
)

// script drives some gates on loopback over one platform in memory.
type script struct {
	t         *testing.T
	log       *Log
	workers   *Workers
	operators *Operators
	gates     map[string]*runningGate
	ids       int
}

type runningGate struct {
	node *node.Node
	stop context.CancelFunc
}

func testConfig(version int64, keys ...string) *setup.Config {
	return setup.New(version, []setup.Queue{{
		Name: "plans", Host: "cups.test", Prefix: "/plans/", Pool: "pots", MaxAttempts: 2, SlackFactor: 1.6, TargetLatency: 600 * time.Millisecond,
	}}, []setup.Pool{{Name: "pots", EnforcesCapacity: true}}, []setup.Team{{Name: "retail", Weight: 100, Keys: keys}}, setup.Limits{})
}

// newScript starts gates that are alike.
func newScript(t *testing.T, gates int) *script {
	return newScriptOf(t, slices.Repeat([]float64{1}, gates)...)
}

// newScriptOf starts a gate for each of the processors given, in cores.
func newScriptOf(t *testing.T, processors ...float64) *script {
	s := &script{
		t: t, log: NewLog(), workers: NewWorkers(4, "pots", 300*time.Millisecond),
		operators: NewOperators(testConfig(1, "key-1", "key-2")), gates: map[string]*runningGate{},
	}
	for i, processor := range processors {
		s.startGate(fmt.Sprintf("gate-%d", i+1), processor)
	}
	s.waitForOwner()
	time.Sleep(acquaintance)
	return s
}

// acquaintance is how long gates that start together take to learn of each other.
const acquaintance = 400 * time.Millisecond

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (s *script) startGate(name string, processor float64) {
	n := node.New(node.Options{Name: name, PeerAddress: freeAddress(s.t), Processor: processor}, node.Platform{
		Log: s.log.View(name), Workers: s.workers, Machines: Machines{}, Advisor: Advisor{},
		Directory: s.workers, Operators: s.operators.View(name),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Serve(ctx)
	}()
	s.gates[name] = &runningGate{n, cancel}
	s.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// owner returns the gate that schedules, empty if none or several do.
func (s *script) owner() string {
	found := ""
	for name, g := range s.gates {
		if g.node.IsOwner() {
			if found != "" {
				return ""
			}
			found = name
		}
	}
	return found
}

func (s *script) waitForOwner() string {
	var owner string
	s.until("an owner", func() bool {
		owner = s.owner()
		return owner != ""
	})
	return owner
}

func (s *script) until(what string, ok func() bool) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(12*time.Second), poll.WithDelay(20*time.Millisecond))
}

// other returns a gate that is not the named one.
func (s *script) other(name string) string {
	for other := range s.gates {
		if other != name {
			return other
		}
	}
	return ""
}

func (s *script) call(path, key string) intake.Call {
	return intake.Call{Host: "cups.test", Path: path, Key: key, Received: time.Now(), Deadline: time.Now().Add(3 * time.Second)}
}

func (s *script) newID() string {
	s.ids++
	return fmt.Sprintf("%016x", s.ids)
}

func (s *script) submit(gate, id, key string) intake.Reply {
	steps := []sched.StepSpec{
		{Count: 3, CPU: 500, EstimateMs: 300},
		{Count: 2, CPU: 500, EstimateMs: 300, DependsOn: []int{0}},
	}
	return s.gates[gate].node.Intake().Submit(context.Background(), s.call("/plans/"+id, key), sched.JobSpec{Steps: steps})
}

func (s *script) state(gate, id string) string {
	reply, _ := s.gates[gate].node.Intake().State(context.Background(), s.call("/plans/"+id, "key-1"))
	if reply.Code() != codes.OK {
		return reply.Code().String()
	}
	return reply.State().String()
}

// completes waits until the job is done and checks that each of its tasks ran once.
func (s *script) completes(id string) {
	s.t.Helper()
	s.until("job "+id, func() bool {
		for name := range s.gates {
			return s.state(name, id) == "completed"
		}
		return false
	})
	for step, count := range []int{3, 2} {
		for i := range count {
			assert.Equal(s.t, s.workers.Runs(sched.TaskID{Job: id, Step: step, Index: i}), 1)
		}
	}
	assert.Equal(s.t, len(s.workers.Doubled()), 0)
}

func TestJobIsDoneOnceByWayOfAnyGate(t *testing.T) {
	t.Parallel()
	s := newScript(t, 3)
	for gate := range s.gates {
		id := s.newID()
		assert.Equal(t, s.submit(gate, id, "key-1").Code(), codes.OK)
		assert.Equal(t, s.submit(s.other(gate), id, "key-1").Code(), codes.OK, "the same job again")
		s.completes(id)
	}
}

func TestCallsThatAreNotLetIn(t *testing.T) {
	t.Parallel()
	s := newScript(t, 1)
	scenarios := []struct {
		testName string
		path     string
		key      string
		expected codes.Code
	}{
		{"no such queue", "/nowhere/0000000000000001", "key-1", codes.QueueUnknown},
		{"no key", "/plans/0000000000000001", "", codes.KeyUnknown},
		{"unknown key", "/plans/0000000000000001", "key-9", codes.KeyUnknown},
		{"no job's id", "/plans/xyz", "key-1", codes.MalformedRequest},
	}
	for _, c := range scenarios {
		t.Run(c.testName, func(t *testing.T) {
			reply := s.gates["gate-1"].node.Intake().Submit(context.Background(), s.call(c.path, c.key), sched.JobSpec{})
			assert.Equal(t, reply.Code(), c.expected)
		})
	}
	assert.Equal(t, s.state("gate-1", "00000000000000ff"), codes.JobUnknown.String())
}

func TestWorkGoesOnWhenTheOwnerIsLost(t *testing.T) {
	t.Parallel()
	s := newScript(t, 3)
	owner := s.waitForOwner()
	id := s.newID()
	assert.Equal(t, s.submit(s.other(owner), id, "key-1").Code(), codes.OK)
	s.gates[owner].stop()
	delete(s.gates, owner)
	s.completes(id)
}

func TestOwnershipIsHandedOverInAPlannedStop(t *testing.T) {
	t.Parallel()
	s := newScript(t, 2)
	owner := s.waitForOwner()
	id := s.newID()
	assert.Equal(t, s.submit(owner, id, "key-1").Code(), codes.OK)
	began := time.Now()
	s.gates[owner].node.Stop(context.Background())
	assert.Assert(t, !s.gates[owner].node.IsReady())
	s.until("the other gate", func() bool { return s.gates[s.other(owner)].node.IsOwner() })
	assert.Assert(t, time.Since(began) < time.Second, "without waiting for silence")
	s.completes(id)
}

// Pattern: gates of different strength, the weak ones up first.
func TestWeakOwnerYieldsToAStrongGate(t *testing.T) {
	t.Parallel()
	s := newScriptOf(t, 0.2, 0.2)
	id := s.newID()
	assert.Equal(t, s.submit("gate-1", id, "key-1").Code(), codes.OK)
	s.startGate("gate-3", 0.8)
	s.until("the strong gate", func() bool { return s.owner() == "gate-3" })
	s.completes(id)
}

// Pattern: the strong owner is lost, and gates of both strengths are left.
func TestWeakGatesLetAStrongOneClaimFirst(t *testing.T) {
	t.Parallel()
	s := newScriptOf(t, 0.2, 0.2, 0.8, 0.8)
	s.until("a strong owner", func() bool { return s.owner() == "gate-3" || s.owner() == "gate-4" })
	owner := s.owner()
	s.gates[owner].stop()
	delete(s.gates, owner)
	next := s.waitForOwner()
	assert.Assert(t, next == "gate-3" || next == "gate-4", next)
}

func TestOwnerThatTheLogTurnsAwayHandsOver(t *testing.T) {
	t.Parallel()
	s := newScript(t, 3)
	owner := s.waitForOwner()
	s.log.Fail(owner, Refuse)
	s.operators.Cut(owner, true)
	s.until("another owner", func() bool {
		now := s.owner()
		return now != "" && now != owner
	})
	var id string
	s.until("the new owner to be known", func() bool {
		id = s.newID()
		return s.submit(owner, id, "key-1").Code() == codes.OK
	})
	s.completes(id)
}

func TestJobsAreRefusedAtOnceWhileTheLogIsAway(t *testing.T) {
	t.Parallel()
	s := newScript(t, 2)
	before := s.newID()
	assert.Equal(t, s.submit("gate-1", before, "key-1").Code(), codes.OK)
	s.log.Fail("", Refuse)
	time.Sleep(2 * time.Second)
	refused := s.newID()
	began := time.Now()
	reply := s.submit("gate-1", refused, "key-1")
	assert.Equal(t, reply.Code(), codes.JobStoreAway)
	assert.Assert(t, reply.RetryAfter() > 0)
	assert.Assert(t, time.Since(began) < 1200*time.Millisecond)
	s.log.Fail("", None)
	s.completes(before)
	assert.Equal(t, s.workers.Runs(sched.TaskID{Job: refused}), 0, "a refused job never runs")
}

func TestLostAnswersOfTheLogDoubleNothing(t *testing.T) {
	t.Parallel()
	s := newScript(t, 2)
	owner := s.waitForOwner()
	id := s.newID()
	s.log.Fail(owner, Lose)
	go func() {
		time.Sleep(700 * time.Millisecond)
		s.log.Fail(owner, None)
	}()
	code := s.submit(s.other(owner), id, "key-1").Code()
	assert.Assert(t, code == codes.OK || code == codes.JobUnsettled, "never said to be refused: %s", code)
	s.completes(id)
}

// Pattern: gates put jobs into the inbox while there is no owner, and callers ask for them as soon as there is one.
func TestJobOfTheInboxIsNeverUnknown(t *testing.T) {
	t.Parallel()
	s := newScript(t, 2)
	for range 2 {
		owner := s.waitForOwner()
		next := s.other(owner)
		s.log.Slow(next, "inbox", 300*time.Millisecond)
		id := s.newID()
		s.toInbox(id)
		s.gates[owner].node.Stop(context.Background())
		s.until("the next owner", func() bool { return s.gates[next].node.IsOwner() })
		for range 20 {
			assert.Assert(t, s.state(next, id) != codes.JobUnknown.String())
			time.Sleep(10 * time.Millisecond)
		}
		assert.Equal(t, s.state(next, "00000000000000ff"), codes.JobUnknown.String())
		s.gates[owner].stop()
		delete(s.gates, owner)
		s.startGate(owner, 1)
	}
}

// toInbox accepts a job as a gate does that reaches no owner.
func (s *script) toInbox(id string) {
	record, err := sched.Encode(sched.JobAccepted{Job: sched.JobSpec{
		ID: id, Queue: "plans", Pool: "pots", Team: "retail", MaxAttempts: 2, Steps: []sched.StepSpec{{Count: 1, CPU: 500, EstimateMs: 300}},
	}})
	assert.NilError(s.t, err)
	_, err = s.log.View("").Append(context.Background(), ports.Append{Topic: "inbox", Records: [][]byte{record}, ExpectedEnd: ports.AnyEnd})
	assert.NilError(s.t, err)
}

func TestSilentWorkersTasksRunElsewhere(t *testing.T) {
	t.Parallel()
	s := newScript(t, 1)
	id := s.newID()
	assert.Equal(t, s.submit("gate-1", id, "key-1").Code(), codes.OK)
	s.workers.Silence("vm-1", true)
	s.workers.Silence("vm-2", true)
	s.until("the job", func() bool { return s.state("gate-1", id) == "completed" })
	assert.Equal(t, len(s.workers.Doubled()), 0)
}

func TestWithdrawnKeyIsRefusedByAGateThatThePlatformTurnsAway(t *testing.T) {
	t.Parallel()
	s := newScript(t, 3)
	owner := s.waitForOwner()
	cut := s.other(owner)
	s.log.Fail(cut, Refuse)
	s.operators.Cut(cut, true)
	s.operators.Declare(testConfig(2, "key-1"))
	s.until("the refusal", func() bool { return s.submit(cut, s.newID(), "key-2").Code() == codes.KeyUnknown })
	assert.Equal(t, s.submit(cut, s.newID(), "key-1").Code(), codes.OK)
}

func TestGateThatReachesNobodyRefusesRatherThanGoingByAnOldConfiguration(t *testing.T) {
	t.Parallel()
	s := newScript(t, 1)
	s.operators.Cut("gate-1", true)
	s.until("the refusal", func() bool {
		reply := s.submit("gate-1", s.newID(), "key-1")
		return reply.Code() == codes.ConfigStale && reply.RetryAfter() > 0
	})
	assert.Assert(t, !s.gates["gate-1"].node.IsReady())
}
