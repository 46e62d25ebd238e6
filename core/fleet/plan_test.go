package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/core/fold"
	"mangowing/core/record"
)

const (
	maxWaveTicks  = 3000
	shortRunTicks = 200
)

func autumnWave() record.Object {
	return record.NewObject("wave", "autumn", 0).WithField("pools", "pour").WithField("min-serving", "8").WithField("pace", "4").WithField("abort-faults", "1")
}

func TestManualMoveCompletesAfterWorkEnds(t *testing.T) {
	sim := newTwoPoolSimulation(t)
	sim.running["spare-01"] = 3
	sim.startMove("spare-01", "pour")
	for range shortRunTicks {
		sim.tick()
	}
	assert.Equal(t, sim.state().VM("spare-01").State(), fold.VMDraining, "work still runs")
	sim.running["spare-01"] = 0
	sim.runUntil(shortRunTicks, sim.isServing("spare-01", "pour"))
	assert.Equal(t, sim.rows["spare-01"].Pool, "pour")
	assert.Assert(t, sim.state().VM("spare-01").MovedManually())
}

func TestMoveWaitsForEveryGate(t *testing.T) {
	sim := newTwoPoolSimulation(t)
	sim.withholdAcks = true
	sim.startMove("spare-01", "pour")
	for range shortRunTicks {
		sim.tick()
	}
	assert.Equal(t, sim.state().VM("spare-01").State(), fold.VMDraining, "a gate may still send to the VM")
	staleInput := sim.planInput()
	staleInput.DrainAcks = []DrainAck{NewDrainAck("spare-01", sim.state().VM("spare-01").Revision()-1, true, 0)}
	assert.Equal(t, len(Plan(staleInput)), 0, "an acknowledgement of another revision")
}

func TestTransferIsCancelledWhenFailuresLeaveThePoolShort(t *testing.T) {
	sim := newTwoPoolSimulation(t)
	sim.withholdAcks = true
	sim.transfers = []Transfer{NewTransfer("spare", "pour", 4)}
	sim.tick()
	sim.transfers = nil
	assert.Equal(t, sim.countServing("spare"), 6)
	sim.editRow("spare-10", func(r *VMRowSpec) { r.State = PlatformGone })
	sim.editRow("spare-09", func(r *VMRowSpec) { r.State = PlatformGone })
	sim.tick()
	assert.Equal(t, sim.countServing("spare"), 6)
}

func TestUnresponsiveDataCentreGetsNoFurtherDrains(t *testing.T) {
	sim := newTwoPoolSimulation(t)
	sim.withholdAcks = true
	sim.transfers = []Transfer{NewTransfer("spare", "pour", 1)}
	sim.tick()
	sim.transfers = nil
	for range 11 {
		sim.tick()
	}
	drained := NewIndex(sim.state(), sim.rowList()).DrainingVMs()
	assert.Equal(t, len(drained), 1)
	sim.transfers = []Transfer{NewTransfer("spare", "pour", 9)}
	actions := Plan(sim.planInput())
	assert.Equal(t, len(actions), 3, "the pool's minimum leaves room for three")
	for _, a := range actions {
		dc := sim.rows[a.(VMStep).Spec().VM].DataCentre
		assert.Assert(t, dc != sim.rows[drained[0]].DataCentre, "a further drain in an unresponsive data centre")
	}
}

func TestDrainEndsWhenAllWorkLeasesLapsed(t *testing.T) {
	sim := newTwoPoolSimulation(t)
	sim.running["spare-01"] = 3
	sim.health["spare-01"] = NewHealth("spare-01", false, true)
	sim.startMove("spare-01", "pour")
	sim.runUntil(shortRunTicks, sim.isServing("spare-01", "pour"))
}

func TestWaveMaintainsEveryVMWithinItsBudgets(t *testing.T) {
	sim := newTwoPoolSimulation(t, autumnWave())
	sim.startWave("autumn")
	sim.runUntil(maxWaveTicks, func() bool {
		out := sim.inMaintenance("autumn")
		assert.Assert(t, len(out) <= 2, "minimum of 8 leaves room for 2, out are %v", out)
		for _, name := range out {
			assert.Equal(t, sim.rows[name].Rack, sim.rows[out[0]].Rack, "one failure domain at a time")
		}
		return sim.waveIs("autumn", fold.WaveDone)()
	})
	assert.Equal(t, len(sim.reboots), 10)
	for vm, n := range sim.reboots {
		assert.Equal(t, n, 1, vm)
	}
	assert.Equal(t, sim.lowestServing["pour"], 8)
}

func TestWaveKeepsItsPaceInOneFailureDomain(t *testing.T) {
	wave := record.NewObject("wave", "winter", 0).WithField("pace", "3").WithField("min-serving", "2")
	scenarios := []struct {
		testName string
		wave     record.Object
		expected int
	}{
		{"pace of the wave", wave, 3},
		{"a rack holds four", record.NewObject("wave", "winter", 0).WithField("pace", "9").WithField("min-serving", "2"), 4},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			sim := newSimulation(t, record.NewObject("fleet", "vlnka", 0).WithField("data-centres", "dc-0"), s.wave,
				record.NewObject("pool", "pour", 0).WithField("vms", "pour-[01-30]"))
			sim.startWave("winter")
			most := 0
			sim.runUntil(maxWaveTicks, func() bool {
				most = max(most, len(sim.inMaintenance("winter")))
				return sim.waveIs("winter", fold.WaveDone)()
			})
			assert.Equal(t, most, s.expected)
		})
	}
}

func TestWaveCountsVMsLostToFailures(t *testing.T) {
	sim := newTwoPoolSimulation(t, autumnWave())
	sim.startWave("autumn")
	sim.runUntil(shortRunTicks, func() bool { return len(sim.inMaintenance("autumn")) == 2 })
	for _, vm := range []string{"pour-05", "pour-06", "pour-07", "pour-08"} {
		sim.editRow(vm, func(r *VMRowSpec) { r.State = PlatformGone })
	}
	sim.tick()
	sim.tick()
	assert.Equal(t, len(sim.inMaintenance("autumn")), 0, "drains end early when the VM is needed")
	for range shortRunTicks {
		sim.tick()
		assert.Equal(t, len(sim.inMaintenance("autumn")), 0, "nothing starts while VMs are lost")
	}
	for _, vm := range []string{"pour-05", "pour-06", "pour-07", "pour-08"} {
		sim.editRow(vm, func(r *VMRowSpec) { r.State, r.Generation = PlatformLive, r.Generation+1 })
	}
	sim.runUntil(maxWaveTicks, sim.waveIs("autumn", fold.WaveDone))
}

func TestWavePausesAfterTooManyFailures(t *testing.T) {
	sim := newTwoPoolSimulation(t, autumnWave())
	for _, vm := range []string{"pour-01", "pour-02"} {
		sim.failsToReturn[vm] = true
	}
	sim.startWave("autumn")
	sim.runUntil(maxWaveTicks, sim.waveIs("autumn", fold.WavePaused))
	assert.Equal(t, sim.state().Wave("autumn").Reason(), "2 VMs did not come back, last pour-02")
	assert.Equal(t, sim.state().VM("pour-01").State(), fold.VMQuarantined)
	for range shortRunTicks {
		sim.tick()
	}
	assert.Equal(t, len(sim.reboots), 2, "nothing more starts")
	sim.failsToReturn = map[string]bool{}
	sim.runUntil(shortRunTicks, sim.isServing("pour-01", "pour"))
	sim.startWave("autumn")
	sim.runUntil(maxWaveTicks, sim.waveIs("autumn", fold.WaveDone))
}

func TestFreezeWindow(t *testing.T) {
	scenarios := []struct {
		testName string
		freeze   string
		atMs     int64
		started  bool
	}{
		{"no window", "", startMs, true},
		{"before it", "12:30-13:00", startMs, true},
		{"inside it", "11:00-13:00", startMs, false},
		{"its end is open", "11:00-12:00", startMs, true},
		{"past midnight", "22:00-05:00", 4 * time.Hour.Milliseconds(), false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			wave := autumnWave()
			if s.freeze != "" {
				wave = wave.WithField("freeze", s.freeze)
			}
			sim := newTwoPoolSimulation(t, wave)
			sim.nowMs = s.atMs
			sim.startWave("autumn")
			sim.tick()
			assert.Equal(t, len(sim.inMaintenance("autumn")) > 0, s.started)
		})
	}
}

func TestFreezeWindowEndsDrains(t *testing.T) {
	sim := newTwoPoolSimulation(t, autumnWave().WithField("freeze", "12:01-13:00"))
	sim.running["pour-01"], sim.running["pour-02"] = 1, 1
	sim.startWave("autumn")
	sim.tick()
	assert.Equal(t, len(sim.inMaintenance("autumn")), 2)
	sim.nowMs += time.Minute.Milliseconds()
	sim.tick()
	assert.Equal(t, len(sim.inMaintenance("autumn")), 0)
}

func TestPlannerReplacedAtEveryTick(t *testing.T) {
	sim := newTwoPoolSimulation(t, autumnWave())
	sim.startWave("autumn")
	sim.startMove("spare-01", "pour")
	holder := 0
	sim.runUntil(maxWaveTicks, func() bool {
		holder++
		sim.append(record.NewLease("gate-"+string(rune('a'+holder%26)), sim.state().Lease().Revision(), 6000))
		if holder%3 == 0 {
			sim.answered = &RequestIDs{}
			sim.answersToLose = 1
		}
		return sim.waveIs("autumn", fold.WaveDone)()
	})
	for vm, n := range sim.reboots {
		assert.Equal(t, n, 1, "a repeated call has the same request id: %s", vm)
	}
	assert.Equal(t, sim.state().VM("spare-01").Pool(), "pour")
	assert.Assert(t, sim.lowestServing["pour"] >= 8)
}

func TestStalePlannerIsFenced(t *testing.T) {
	sim := newTwoPoolSimulation(t, autumnWave())
	sim.startWave("autumn")
	stale := Plan(sim.planInput())
	assert.Equal(t, len(stale), 2)
	sim.append(record.NewLease("gate-2", sim.state().Lease().Revision(), 6000))
	sim.execute(stale)
	assert.Equal(t, sim.resultCounts[codes.FencedOff], 2)
	sim.runUntil(maxWaveTicks, sim.waveIs("autumn", fold.WaveDone))
	assert.Assert(t, sim.lowestServing["pour"] >= 8)
}

func TestTwoPlannersAndAnOperatorKeepTheBudget(t *testing.T) {
	sim := newTwoPoolSimulation(t, autumnWave())
	sim.startWave("autumn")
	first, second := Plan(sim.planInput()), Plan(sim.planInput())
	sim.startMove("pour-09", "spare")
	sim.execute(first)
	sim.execute(second)
	assert.Equal(t, sim.resultCounts[codes.BudgetSpent], 2, "the operator's move took one of two places: both planners' second drain is refused")
	sim.runUntil(maxWaveTicks, sim.waveIs("autumn", fold.WaveDone))
	assert.Assert(t, sim.lowestServing["pour"] >= 8)
}

func TestVMIsDeadOnTwoSigns(t *testing.T) {
	scenarios := []struct {
		testName string
		health   Health
		list     string
		expected string
		fenced   bool
	}{
		{"healthy", Health{}, PlatformLive, fold.VMServing, false},
		{"unreachable only", NewHealth("pour-01", true, false), PlatformLive, fold.VMServing, false},
		{"leases lapsed only", NewHealth("pour-01", false, true), PlatformLive, fold.VMServing, false},
		{"unreachable and leases lapsed", NewHealth("pour-01", true, true), PlatformLive, fold.VMQuarantined, true},
		{"leaving", Health{}, PlatformLeaving, fold.VMLeaving, false},
		{"gone", Health{}, PlatformGone, fold.VMLeaving, false},
		{"gone and unreachable", NewHealth("pour-01", true, false), PlatformGone, fold.VMLeaving, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			sim := newTwoPoolSimulation(t)
			sim.health["pour-01"] = s.health
			if s.health == (Health{}) {
				delete(sim.health, "pour-01")
			}
			sim.editRow("pour-01", func(r *VMRowSpec) { r.State = s.list })
			sim.tick()
			sim.tick()
			assert.Equal(t, sim.state().VM("pour-01").State(), s.expected)
			assert.Equal(t, len(sim.executedCalls) == 1, s.fenced)
			delete(sim.health, "pour-01")
			sim.editRow("pour-01", func(r *VMRowSpec) { r.State, r.Generation = PlatformLive, 2 })
			sim.runUntil(shortRunTicks, sim.isServing("pour-01", "pour"))
		})
	}
}

func TestRestartedVMServesWhileReportedUnreachable(t *testing.T) {
	scenarios := []struct {
		testName string
		lose     func(sim *simulation)
	}{
		{"rebooted", func(sim *simulation) {
			sim.startWave("autumn")
			sim.runUntil(shortRunTicks, func() bool { return sim.reboots["pour-01"] == 1 })
		}},
		{"gone and back", func(sim *simulation) {
			sim.editRow("pour-01", func(r *VMRowSpec) { r.State = PlatformGone })
			sim.tick()
			sim.editRow("pour-01", func(r *VMRowSpec) { r.State = PlatformLive })
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			sim := newTwoPoolSimulation(t, autumnWave())
			s.lose(sim)
			sim.runUntil(shortRunTicks, func() bool {
				sim.health["pour-01"] = NewHealth("pour-01", true, false)
				return sim.isServing("pour-01", "pour")()
			})
		})
	}
}

func TestVMThatLeavesWhileMovingReturnsToItsRecordedPool(t *testing.T) {
	sim := newTwoPoolSimulation(t)
	sim.startMove("spare-01", "pour")
	sim.answersToLose = 1
	sim.runUntil(shortRunTicks, func() bool { return sim.rows["spare-01"].Pool == "pour" })
	sim.editRow("spare-01", func(r *VMRowSpec) { r.State = PlatformLeaving })
	sim.runUntil(shortRunTicks, func() bool { return sim.state().VM("spare-01").State() == fold.VMLeaving })
	sim.editRow("spare-01", func(r *VMRowSpec) { r.State = PlatformLive })
	sim.runUntil(shortRunTicks, sim.isServing("spare-01", "spare"))
	assert.Equal(t, sim.rows["spare-01"].Pool, "spare")
}

func TestTransfersKeepMinServingAndMinimumStay(t *testing.T) {
	sim := newTwoPoolSimulation(t)
	sim.transfers = []Transfer{NewTransfer("spare", "pour", 9)}
	sim.runUntil(shortRunTicks, func() bool { return sim.countServing("pour") == 14 })
	assert.Equal(t, sim.lowestServing["spare"], 6)
	sim.transfers = []Transfer{NewTransfer("pour", "spare", 4)}
	sim.tick()
	for _, name := range sim.state().VMNames() {
		vm := sim.state().VM(name)
		assert.Assert(t, vm.State() != fold.VMDraining || sim.state().Config().HomePool(name) == "pour", "%s has just moved", name)
	}
}

func TestVMsOfAnUndeclaredPoolMoveToTheirDeclaredPool(t *testing.T) {
	sim := newTwoPoolSimulation(t)
	base := func(kind, name string) uint64 { _, r := sim.state().Object(kind, name); return r }
	v := sim.append(record.NewChange([]record.Object{
		record.NewObject("pool", "pour", base("pool", "pour")).AsRemoved(),
		record.NewObject("pool", "press", 0).WithField("vms", "pour-[01-10]").WithField("min-serving", "4"),
	}, ""))
	assert.Equal(t, v.Code(), codes.OK, "%v", v.Faults())
	sim.runUntil(shortRunTicks, func() bool { return sim.countServing("press") == 10 })
}

func TestPlanIsEmptyWithoutLeaseOrVMList(t *testing.T) {
	sim := newTwoPoolSimulation(t, autumnWave())
	sim.startWave("autumn")
	v := sim.planInput()
	v.Token = 0
	assert.Equal(t, len(Plan(v)), 0, "no lease")
	sim.rows = map[string]VMRowSpec{}
	assert.Equal(t, len(Plan(sim.planInput())), 0, "no VM list: the wave is not called done")
}

func TestPoolLoads(t *testing.T) {
	sim := newTwoPoolSimulation(t, autumnWave())
	sim.startMove("spare-01", "pour")
	sim.startWave("autumn")
	loads := PoolLoads(sim.planInput())
	assert.Equal(t, len(loads), 2)
	pour, spare := loads[0].spec, loads[1].spec
	assert.Equal(t, pour, PoolLoadSpec{Pool: "pour", Serving: 10, VMs: 11, Movable: 2, DeclaredVMs: 10, SlotsPerVM: 8, VMsForWavePace: 12})
	assert.Equal(t, spare, PoolLoadSpec{Pool: "spare", Serving: 9, VMs: 9, Movable: 3, DeclaredVMs: 10, SlotsPerVM: 8})
}
