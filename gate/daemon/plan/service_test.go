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

func (c *cluster) startWave() {
	c.operate(record.NewWaveStep("autumn", c.State().Wave("autumn").Revision(), fold.WaveRunning, "", 0))
}

func (c *cluster) move(vm, pool string) {
	current := c.State().VM(vm)
	c.operate(record.NewVMStep(record.VMStepSpec{
		VM: vm, Base: current.Revision(), Generation: 1, State: fold.VMDraining, Pool: current.Pool(), Target: pool,
	}))
}

func (c *cluster) waveDone() bool { return c.State().Wave("autumn").State() == fold.WaveDone }

// await waits until the condition holds and returns how long that took.
func await(t *testing.T, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	start := time.Now()
	for !condition() {
		assert.Assert(t, time.Since(start) < limit, "%s: not within %s", what, limit)
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

func (c *cluster) checkOutcome(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Equal(t, len(c.reboots), 11, "ten VMs of the pool and the one moved in")
	for vm, n := range c.reboots {
		assert.Equal(t, n, 1, "%s rebooted more than once", vm)
	}
	assert.Equal(t, c.worst, 10-wavePace, "fewest VMs of the pool agreed to be serving")
	assert.Equal(t, c.state.VM("spare-01").Pool(), "pour")
	for _, row := range c.rows {
		assert.Equal(t, row.Pool(), c.state.VM(row.Name()).Pool(), row.Name())
	}
}

func TestOutcomeHolds(t *testing.T) {
	scenarios := []struct {
		testName string
		disturb  func(c *cluster, gates []*gate)
		planners int // how many held the lease, 0 for any number
	}{
		{"nothing happens", func(*cluster, []*gate) {}, 1},
		{"planner killed", func(_ *cluster, gates []*gate) { gates[0].kill() }, 2},
		{"planner paused past its lease", func(_ *cluster, gates []*gate) { gates[0].pause(30 * time.Second) }, 2},
		{"planner paused within its lease", func(_ *cluster, gates []*gate) { gates[0].pause(3 * time.Second) }, 1},
		{"answers lost after the change took effect", func(c *cluster, _ []*gate) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.lossy = true
		}, 1},
		{"log down for a minute", func(c *cluster, _ []*gate) {
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
				gates := []*gate{startGate(c, "entry-1")}
				await(t, takeOverLimit, "first lease", func() bool { return c.State().Lease().Holder() != "" })
				gates = append(gates, startGate(c, "entry-2"), startGate(c, "entry-3"))
				c.startWave()
				c.move("spare-01", "pour")
				time.Sleep(10 * time.Second)
				s.disturb(c, gates)
				await(t, waveLimit, "wave", c.waveDone)
				await(t, waveLimit, "move", func() bool { return c.State().VM("spare-01").State() == fold.VMServing })
				c.checkOutcome(t)
				assert.Assert(t, s.planners == 0 || len(c.tokens)-1 == s.planners, "%d planners held the lease", len(c.tokens)-1)
			})
		})
	}
}

func TestLeaseIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t)
		first := startGate(c, "entry-1")
		await(t, takeOverLimit, "first lease", func() bool { return c.State().Lease().Holder() != "" })
		startGate(c, "entry-2")
		time.Sleep(time.Minute)
		holder := c.State().Lease().Holder()
		first.kill()
		took := await(t, takeOverLimit, "take-over", func() bool { return c.State().Lease().Holder() != holder })
		assert.Assert(t, took >= 5*time.Second, "taken over after %s, before the lease can have lapsed", took)
	})
}

func TestPlannerThatWakesUp(t *testing.T) {
	scenarios := []struct {
		testName string
		pause    func(*gate, time.Duration)
		fenced   bool
	}{
		{"before its plan: it does nothing", (*gate).pauseAtList, false},
		{"while it appends: the fold refuses the steps", (*gate).pauseAtAppend, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t)
				first := startGate(c, "entry-1")
				await(t, takeOverLimit, "first lease", func() bool { return c.State().Lease().Holder() != "" })
				holder := c.State().Lease().Holder()
				startGate(c, "entry-2")
				time.Sleep(5 * time.Second)
				s.pause(first, 30*time.Second)
				c.startWave()
				time.Sleep(time.Second)
				c.operate(record.NewWaveStep("autumn", c.State().Wave("autumn").Revision(), fold.WaveCancelled, "", 0))
				await(t, takeOverLimit, "take-over", func() bool { return c.State().Lease().Holder() != holder })
				time.Sleep(30 * time.Second)
				c.mu.Lock()
				defer c.mu.Unlock()
				assert.Equal(t, c.fencedN > 0, s.fenced)
				assert.Equal(t, c.worst, 10, "no step of the first planner took effect")
			})
		})
	}
}
