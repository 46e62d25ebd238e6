package sizing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/decl"
	"mangowing/core/fleet"
)

func load(pool string, vms, movable, demand, peak int) fleet.PoolLoad {
	return fleet.NewPoolLoad(fleet.PoolLoadSpec{
		Pool: pool, Serving: vms, VMs: vms, Movable: movable, DeclaredVMs: 10, SlotsPerVM: 8, Demand: demand, RecentPeak: peak,
	})
}

func formatTransfers(transfers []fleet.Transfer) []string {
	out := []string{}
	for _, t := range transfers {
		out = append(out, fmt.Sprintf("%s to %s: %d", t.From(), t.To(), t.Count()))
	}
	return out
}

func TestDecide(t *testing.T) {
	threshold := NewThreshold(0.85, 0.30)
	joint := NewJoint(Weights{Shortfall: 1, Move: 100, Idle: 0.05}, 2*time.Minute)
	scenarios := []struct {
		testName string
		policy   Policy
		loads    []fleet.PoolLoad
		expected []string
	}{
		{"static: nothing to do", Static{}, []fleet.PoolLoad{load("pour", 10, 10, 200, 200), load("spare", 10, 10, 0, 0)}, []string{}},
		{"static: VMs return to their declared pool", Static{}, []fleet.PoolLoad{load("pour", 12, 6, 0, 0), load("spare", 8, 8, 0, 0)}, []string{"pour to spare: 2"}},
		{"threshold: below the high mark", threshold, []fleet.PoolLoad{load("pour", 10, 10, 68, 68), load("spare", 10, 10, 0, 0)}, []string{}},
		{"threshold: the spare pool gives VMs", threshold, []fleet.PoolLoad{load("plan", 10, 10, 0, 0), load("pour", 10, 10, 80, 80), load("spare", 10, 10, 0, 0)}, []string{"spare to pour: 2"}},
		{"threshold: a busy spare pool gives none", threshold, []fleet.PoolLoad{load("plan", 10, 10, 0, 0), load("pour", 10, 10, 80, 80), load("spare", 10, 10, 70, 70)}, []string{"plan to pour: 2", "plan to spare: 1"}},
		{"threshold: between the marks", threshold, []fleet.PoolLoad{load("pour", 12, 12, 40, 80), load("spare", 8, 8, 0, 0)}, []string{}},
		{"threshold: below the low mark", threshold, []fleet.PoolLoad{load("pour", 12, 12, 8, 80), load("spare", 8, 8, 0, 0)}, []string{"pour to spare: 2"}},
		{"joint: directly from the last peak to the next", joint, []fleet.PoolLoad{load("plan", 14, 14, 1, 100), load("pour", 9, 9, 100, 100), load("spare", 9, 9, 1, 100)}, []string{"plan to pour: 4"}},
		{"joint: the largest idle pool loses VMs first", joint, []fleet.PoolLoad{load("plan", 9, 9, 1, 100), load("pour", 10, 10, 96, 96), load("press", 12, 12, 1, 100)}, []string{"press to pour: 2"}},
		{"joint: no pool needs the idle VMs", joint, []fleet.PoolLoad{load("plan", 14, 14, 1, 100), load("pour", 9, 9, 1, 100), load("spare", 9, 9, 1, 100)}, []string{}},
		{"joint: a move costs more than the shortfall", NewJoint(Weights{Shortfall: 1, Move: 2000}, 2*time.Minute), []fleet.PoolLoad{load("plan", 14, 14, 1, 100), load("pour", 9, 9, 82, 100)}, []string{}},
		{"joint: no VM may move", joint, []fleet.PoolLoad{load("plan", 14, 0, 1, 100), load("pour", 9, 0, 100, 100)}, []string{}},
		{"joint: idle VMs that cost more than moves go to the spare pool", NewJoint(Weights{Shortfall: 1, Move: 1, Idle: 1}, 2*time.Minute), []fleet.PoolLoad{load("plan", 10, 2, 1, 1), load("spare", 10, 10, 1, 1)}, []string{"plan to spare: 2"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.DeepEqual(t, formatTransfers(Decide(s.policy, s.loads, "spare")), s.expected)
		})
	}
}

func TestForecastForgetsPeaks(t *testing.T) {
	var f Forecast
	start := time.Unix(0, 0)
	peakAfter := func(d time.Duration, slots int) int {
		demand := []fleet.PoolDemand{fleet.NewPoolDemand("pour", slots, 0)}
		return f.Update(start.Add(d), []fleet.PoolLoad{load("pour", 10, 10, 0, 0)}, demand)[0].RecentPeak()
	}
	assert.Equal(t, peakAfter(0, 90), 90)
	assert.Equal(t, peakAfter(peakWindow, 5), 90)
	assert.Equal(t, peakAfter(2*peakWindow, 6), 6)
	assert.Equal(t, peakAfter(9*peakWindow, 1), 1)
}

func TestDemandInSlots(t *testing.T) {
	scenarios := []struct {
		testName string
		running  int
		waiting  int
		expected int
	}{
		{"idle", 0, 0, 0},
		{"waiting for a team's limit", 30, 500, 30},
		{"full", 80, 15, 95},
		{"full with a long backlog of short requests", 80, 500, 120},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var f Forecast
			demand := []fleet.PoolDemand{fleet.NewPoolDemand("pour", s.running, s.waiting)}
			loads := f.Update(time.Unix(0, 0), []fleet.PoolLoad{load("pour", 10, 10, 0, 0), load("idle", 10, 10, 50, 0)}, demand)
			assert.Equal(t, loads[0].Demand(), s.expected)
			assert.Equal(t, loads[1].Demand(), 0, "a pool without reported demand is idle")
		})
	}
}

func TestPolicyForFleet(t *testing.T) {
	fleetOf := func(sizing string) decl.Fleet {
		objects, err := decl.ReadINI([]byte("[fleet vlnka]\ndata-centres = a\nweight-share = 8\nsizing = " + sizing))
		assert.NilError(t, err)
		cfg, faults := decl.Compile(objects)
		assert.Equal(t, len(faults), 0)
		return cfg.Fleet()
	}
	assert.Equal(t, ForFleet(fleetOf("static")), Static{})
	assert.Equal(t, ForFleet(fleetOf("threshold")), NewThreshold(0.85, 0.30))
	assert.Equal(t, ForFleet(fleetOf("joint")), NewJoint(Weights{Shortfall: 8, Move: 100, Idle: 0.05, RollOut: 0.5}, 2*time.Minute))
}

func TestJointLeavesAWaveEnoughVMs(t *testing.T) {
	maintained := fleet.NewPoolLoad(fleet.PoolLoadSpec{Pool: "done", VMs: 11, Movable: 4, DeclaredVMs: 10, SlotsPerVM: 8})
	waiting := fleet.NewPoolLoad(fleet.PoolLoadSpec{Pool: "waiting", VMs: 11, Movable: 4, DeclaredVMs: 10, SlotsPerVM: 8, VMsForWavePace: 12})
	short := load("pour", 10, 10, 88, 88)
	joint := NewJoint(Weights{Shortfall: 1, Move: 100, RollOut: 0.5}, 2*time.Minute)
	got := Decide(joint, []fleet.PoolLoad{waiting, maintained, short}, "")
	assert.DeepEqual(t, formatTransfers(got), []string{"done to pour: 1"})
}
