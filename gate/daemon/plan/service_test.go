package plan

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/fold"
	"mangowing/core/record"
)

const (
	takeOverLimit = 12 * time.Second
	waveLimit     = 10 * time.Minute
)

func (c *testCluster) startWave() {
	c.applyAsOperator(record.NewWaveStep("autumn", c.State().Wave("autumn").Revision(), fold.WaveRunning, "", 0))
}

func (c *testCluster) moveVM(vm, pool string) {
	current := c.State().VM(vm)
	c.applyAsOperator(record.NewVMStep(record.VMStepSpec{
		VM: vm, Base: current.Revision(), Generation: 1, State: fold.VMDraining, Pool: current.Pool(), Target: pool,
	}))
}

func (c *testCluster) isWaveDone() bool { return c.State().Wave("autumn").State() == fold.WaveDone }

// waitFor waits until the condition holds and returns how long that took.
func waitFor(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		assert.Assert(t, time.Since(start) < limit, "%s: not within %s", what, limit)
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

func (c *testCluster) checkOutcome(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Equal(t, len(c.reboots), 11, "ten VMs of the pool and the one moved in")
	for vm, n := range c.reboots {
		assert.Equal(t, n, 1, "%s rebooted more than once", vm)
	}
	assert.Equal(t, c.minServing, 10-wavePace, "fewest serving VMs of the pool")
	assert.Equal(t, c.state.VM("spare-01").Pool(), "pour")
	for _, row := range c.rows {
		assert.Equal(t, row.Pool(), c.state.VM(row.Name()).Pool(), row.Name())
	}
}

func TestWaveAndMoveCompleteDespiteFaults(t *testing.T) {
	scenarios := []struct {
		testName string
		disturb  func(c *testCluster, gates []*testGate)
		planners int // how many held the lease, 0 for any number
	}{
		{"no fault", func(*testCluster, []*testGate) {}, 1},
		{"planner killed", func(_ *testCluster, gates []*testGate) { gates[0].kill() }, 2},
		{"planner paused past its lease", func(_ *testCluster, gates []*testGate) { gates[0].pause(30 * time.Second) }, 2},
		{"planner paused within its lease", func(_ *testCluster, gates []*testGate) { gates[0].pause(3 * time.Second) }, 1},
		{"answers lost after the change took effect", func(c *testCluster, _ []*testGate) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.lossy = true
		}, 1},
		{"log down for a minute", func(c *testCluster, _ []*testGate) {
			c.mu.Lock()
			c.logDown = true
			c.mu.Unlock()
			time.Sleep(time.Minute)
			c.mu.Lock()
			c.logDown = false
			c.mu.Unlock()
		}, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				gates := []*testGate{startGate(c, "entry-1")}
				waitFor(t, takeOverLimit, "first lease", func() bool { return c.State().Lease().Holder() != "" })
				gates = append(gates, startGate(c, "entry-2"), startGate(c, "entry-3"))
				c.startWave()
				c.moveVM("spare-01", "pour")
				time.Sleep(10 * time.Second)
				s.disturb(c, gates)
				waitFor(t, waveLimit, "wave", c.isWaveDone)
				waitFor(t, waveLimit, "move", func() bool { return c.State().VM("spare-01").State() == fold.VMServing })
				c.checkOutcome(t)
				assert.Assert(t, s.planners == 0 || len(c.seenTokens)-1 == s.planners, "%d planners held the lease", len(c.seenTokens)-1)
			})
		})
	}
}

func TestLeaseIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		first := startGate(c, "entry-1")
		waitFor(t, takeOverLimit, "first lease", func() bool { return c.State().Lease().Holder() != "" })
		startGate(c, "entry-2")
		time.Sleep(time.Minute)
		holder := c.State().Lease().Holder()
		first.kill()
		took := waitFor(t, takeOverLimit, "take-over", func() bool { return c.State().Lease().Holder() != holder })
		assert.Assert(t, took >= 5*time.Second, "taken over after %s, before the lease can have lapsed", took)
	})
}

func TestResumedPlannerHasNoEffect(t *testing.T) {
	scenarios := []struct {
		testName string
		pause    func(*testGate, time.Duration)
		fenced   bool
	}{
		{"paused before its plan: it does nothing", (*testGate).pauseAtList, false},
		{"paused while it appends: its steps are fenced off", (*testGate).pauseAtAppend, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				first := startGate(c, "entry-1")
				waitFor(t, takeOverLimit, "first lease", func() bool { return c.State().Lease().Holder() != "" })
				holder := c.State().Lease().Holder()
				startGate(c, "entry-2")
				time.Sleep(5 * time.Second)
				s.pause(first, 30*time.Second)
				c.startWave()
				time.Sleep(time.Second)
				c.applyAsOperator(record.NewWaveStep("autumn", c.State().Wave("autumn").Revision(), fold.WaveCancelled, "", 0))
				waitFor(t, takeOverLimit, "take-over", func() bool { return c.State().Lease().Holder() != holder })
				time.Sleep(30 * time.Second)
				c.mu.Lock()
				defer c.mu.Unlock()
				assert.Equal(t, c.fencedCount > 0, s.fenced)
				assert.Equal(t, c.minServing, 10, "no step of the first planner took effect")
			})
		})
	}
}
