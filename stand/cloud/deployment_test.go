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
)

// deployment runs several gates on loopback over one in-memory platform.
type deployment struct {
	t         *testing.T
	log       *Log
	workers   *Workers
	operators *Operators
	gates     map[string]*runningGate
	lastID    int
	// Partitions on which the journal may continue, 0 for none.
	journalParts int
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

// newDeployment starts gates of one core each.
func newDeployment(t *testing.T, gates int) *deployment {
	return newDeploymentWithCores(t, slices.Repeat([]float64{1}, gates)...)
}

// newDeploymentWithCores starts one gate for each number of cores.
func newDeploymentWithCores(t *testing.T, cores ...float64) *deployment {
	return startDeployment(t, 0, cores...)
}

// startDeployment starts one gate for each number of cores, whose journal may continue on the given number of partitions.
func startDeployment(t *testing.T, journalParts int, cores ...float64) *deployment {
	d := newEmptyDeployment(t)
	d.journalParts = journalParts
	for i, processor := range cores {
		d.startGate(fmt.Sprintf("gate-%d", i+1), processor)
	}
	d.waitForOwner()
	time.Sleep(discoveryTime)
	return d
}

// newEmptyDeployment returns a platform without gates.
func newEmptyDeployment(t *testing.T) *deployment {
	return &deployment{
		t: t, log: NewLog(), workers: NewWorkers(4, "pots", 300*time.Millisecond),
		operators: NewOperators(testConfig(1, "key-1", "key-2")), gates: map[string]*runningGate{},
	}
}

// discoveryTime is how long gates that start together take to discover each other.
const discoveryTime = 400 * time.Millisecond

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (d *deployment) startGate(name string, processor float64) {
	d.startGateWith(node.Options{Name: name, Processor: processor, JournalParts: d.journalParts})
}

// startGateWith starts a gate with the given options at a free address.
func (d *deployment) startGateWith(o node.Options) {
	name := o.Name
	o.PeerAddress = freeAddress(d.t)
	n := node.New(o, node.Platform{
		Log: d.log.View(name), Workers: d.workers, Machines: Machines{}, Advisor: Advisor{},
		Directory: d.workers, Operators: d.operators.View(name),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = n.Serve(ctx)
	}()
	d.gates[name] = &runningGate{n, cancel}
	d.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// owner returns the gate that owns the scheduler, empty if none or several do.
func (d *deployment) owner() string {
	found := ""
	for name, g := range d.gates {
		if g.node.IsOwner() {
			if found != "" {
				return ""
			}
			found = name
		}
	}
	return found
}

func (d *deployment) waitForOwner() string {
	var owner string
	d.waitUntil("an owner", func() bool {
		owner = d.owner()
		return owner != ""
	})
	return owner
}

func (d *deployment) waitUntil(what string, ok func() bool) {
	d.t.Helper()
	poll.WaitOn(d.t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithTimeout(12*time.Second), poll.WithDelay(20*time.Millisecond))
}

// otherThan returns a gate other than the named one.
func (d *deployment) otherThan(name string) string {
	for other := range d.gates {
		if other != name {
			return other
		}
	}
	return ""
}

func (d *deployment) call(path, key string) intake.Call {
	return intake.Call{Host: "cups.test", Path: path, Key: key, Received: time.Now(), Deadline: time.Now().Add(3 * time.Second)}
}

func (d *deployment) newID() string {
	d.lastID++
	return fmt.Sprintf("%016x", d.lastID)
}

func (d *deployment) submit(gate, id, key string) intake.Reply {
	steps := []sched.StepSpec{
		{Count: 3, CPU: 500, EstimateMs: 300},
		{Count: 2, CPU: 500, EstimateMs: 300, DependsOn: []int{0}},
	}
	return d.gates[gate].node.Intake().Submit(context.Background(), d.call("/plans/"+id, key), sched.JobSpec{Steps: steps})
}

func (d *deployment) state(gate, id string) string {
	reply, _ := d.gates[gate].node.Intake().State(context.Background(), d.call("/plans/"+id, "key-1"))
	if reply.Code() != codes.OK {
		return reply.Code().String()
	}
	return reply.State().String()
}

// assertCompletes waits until the job is completed and checks that each of its tasks ran exactly once.
func (d *deployment) assertCompletes(id string) {
	d.t.Helper()
	d.waitUntil("job "+id, func() bool {
		for name := range d.gates {
			return d.state(name, id) == "completed"
		}
		return false
	})
	for step, count := range []int{3, 2} {
		for i := range count {
			assert.Equal(d.t, d.workers.Starts(sched.TaskID{Job: id, Step: step, Index: i}), 1)
		}
	}
	assert.Equal(d.t, len(d.workers.ConcurrentRuns()), 0)
}
