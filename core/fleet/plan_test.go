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
	w := newTwoPoolSimulation(t)
	w.running["spare-01"] = 3
	w.startMove("spare-01", "pour")
	for range shortRunTicks {
		w.tick()
	}
	assert.Equal(t, w.state().VM("spare-01").State(), fold.VMDraining, "work still runs")
	w.running["spare-01"] = 0
	w.runUntil(shortRunTicks, w.isServing("spare-01", "pour"))
	assert.Equal(t, w.rows["spare-01"].Pool, "pour")
	assert.Assert(t, w.state().VM("spare-01").MovedManually())
}

func TestMoveWaitsForEveryGate(t *testing.T) {
	w := newTwoPoolSimulation(t)
	w.withholdAcks = true
	w.startMove("spare-01", "pour")
	for range shortRunTicks {
		w.tick()
	}
	assert.Equal(t, w.state().VM("spare-01").State(), fold.VMDraining, "a gate may still send to the VM")
	stale := w.view()
	stale.DrainAcks = []DrainAck{NewDrainAck("spare-01", w.state().VM("spare-01").Revision()-1, true, 0)}
	assert.Equal(t, len(Plan(stale)), 0, "an acknowledgement of another revision")
}

func TestTransferIsCancelledWhenFailuresLeaveThePoolShort(t *testing.T) {
	w := newTwoPoolSimulation(t)
	w.withholdAcks = true
	w.transfers = []Transfer{NewTransfer("spare", "pour", 4)}
	w.tick()
	w.transfers = nil
	assert.Equal(t, w.countServing("spare"), 6)
	w.editRow("spare-10", func(r *VMRowSpec) { r.State = PlatformGone })
	w.editRow("spare-09", func(r *VMRowSpec) { r.State = PlatformGone })
	w.tick()
	assert.Equal(t, w.countServing("spare"), 6)
}

func TestUnresponsiveDataCentreGetsNoFurtherDrains(t *testing.T) {
	w := newTwoPoolSimulation(t)
	w.withholdAcks = true
	w.transfers = []Transfer{NewTransfer("spare", "pour", 1)}
	w.tick()
	w.transfers = nil
	for range 11 {
		w.tick()
	}
	drained := NewIndex(w.state(), w.rowList()).DrainingVMs()
	assert.Equal(t, len(drained), 1)
	w.transfers = []Transfer{NewTransfer("spare", "pour", 9)}
	actions := Plan(w.view())
	assert.Equal(t, len(actions), 3, "the pool's minimum leaves room for three")
	for _, a := range actions {
		dc := w.rows[a.(VMStep).Spec().VM].DataCentre
		assert.Assert(t, dc != w.rows[drained[0]].DataCentre, "a further drain in a silent data centre")
	}
}

func TestDrainEndsWhenAllWorkLeasesLapsed(t *testing.T) {
	w := newTwoPoolSimulation(t)
	w.running["spare-01"] = 3
	w.health["spare-01"] = NewHealth("spare-01", false, true)
	w.startMove("spare-01", "pour")
	w.runUntil(shortRunTicks, w.isServing("spare-01", "pour"))
}

func TestWaveMaintainsEveryVMWithinItsBudgets(t *testing.T) {
	w := newTwoPoolSimulation(t, autumnWave())
	w.startWave("autumn")
	w.runUntil(maxWaveTicks, func() bool {
		out := w.inMaintenance("autumn")
		assert.Assert(t, len(out) <= 2, "minimum of 8 leaves room for 2, out are %v", out)
		for _, name := range out {
			assert.Equal(t, w.rows[name].Rack, w.rows[out[0]].Rack, "one failure domain at a time")
		}
		return w.waveIs("autumn", fold.WaveDone)()
	})
	assert.Equal(t, len(w.reboots), 10)
	for vm, n := range w.reboots {
		assert.Equal(t, n, 1, vm)
	}
	assert.Equal(t, w.lowestServing["pour"], 8)
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
			w := newSimulation(t, record.NewObject("fleet", "vlnka", 0).WithField("data-centres", "dc-0"), s.wave,
				record.NewObject("pool", "pour", 0).WithField("vms", "pour-[01-30]"))
			w.startWave("winter")
			most := 0
			w.runUntil(maxWaveTicks, func() bool {
				most = max(most, len(w.inMaintenance("winter")))
				return w.waveIs("winter", fold.WaveDone)()
			})
			assert.Equal(t, most, s.expected)
		})
	}
}

func TestWaveCountsVMsLostToFailures(t *testing.T) {
	w := newTwoPoolSimulation(t, autumnWave())
	w.startWave("autumn")
	w.runUntil(shortRunTicks, func() bool { return len(w.inMaintenance("autumn")) == 2 })
	for _, vm := range []string{"pour-05", "pour-06", "pour-07", "pour-08"} {
		w.editRow(vm, func(r *VMRowSpec) { r.State = PlatformGone })
	}
	w.tick()
	w.tick()
	assert.Equal(t, len(w.inMaintenance("autumn")), 0, "drains end early when the VM is needed")
	for range shortRunTicks {
		w.tick()
		assert.Equal(t, len(w.inMaintenance("autumn")), 0, "nothing starts while VMs are lost")
	}
	for _, vm := range []string{"pour-05", "pour-06", "pour-07", "pour-08"} {
		w.editRow(vm, func(r *VMRowSpec) { r.State, r.Generation = PlatformLive, r.Generation+1 })
	}
	w.runUntil(maxWaveTicks, w.waveIs("autumn", fold.WaveDone))
}

func TestWavePausesAfterTooManyFailures(t *testing.T) {
	w := newTwoPoolSimulation(t, autumnWave())
	for _, vm := range []string{"pour-01", "pour-02"} {
		w.failsToReturn[vm] = true
	}
	w.startWave("autumn")
	w.runUntil(maxWaveTicks, w.waveIs("autumn", fold.WavePaused))
	assert.Equal(t, w.state().Wave("autumn").Reason(), "2 VMs did not come back, last pour-02")
	assert.Equal(t, w.state().VM("pour-01").State(), fold.VMQuarantined)
	for range shortRunTicks {
		w.tick()
	}
	assert.Equal(t, len(w.reboots), 2, "nothing more starts")
	w.failsToReturn = map[string]bool{}
	w.runUntil(shortRunTicks, w.isServing("pour-01", "pour"))
	w.startWave("autumn")
	w.runUntil(maxWaveTicks, w.waveIs("autumn", fold.WaveDone))
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
			w := newTwoPoolSimulation(t, wave)
			w.nowMs = s.atMs
			w.startWave("autumn")
			w.tick()
			assert.Equal(t, len(w.inMaintenance("autumn")) > 0, s.started)
		})
	}
}

func TestFreezeWindowEndsDrains(t *testing.T) {
	w := newTwoPoolSimulation(t, autumnWave().WithField("freeze", "12:01-13:00"))
	w.running["pour-01"], w.running["pour-02"] = 1, 1
	w.startWave("autumn")
	w.tick()
	assert.Equal(t, len(w.inMaintenance("autumn")), 2)
	w.nowMs += time.Minute.Milliseconds()
	w.tick()
	assert.Equal(t, len(w.inMaintenance("autumn")), 0)
}

func TestPlannerReplacedAtEveryTick(t *testing.T) {
	w := newTwoPoolSimulation(t, autumnWave())
	w.startWave("autumn")
	w.startMove("spare-01", "pour")
	holder := 0
	w.runUntil(maxWaveTicks, func() bool {
		holder++
		w.append(record.NewLease("gate-"+string(rune('a'+holder%26)), w.state().Lease().Revision(), 6000))
		if holder%3 == 0 {
			w.answered = &RequestIDs{}
			w.answersToLose = 1
		}
		return w.waveIs("autumn", fold.WaveDone)()
	})
	for vm, n := range w.reboots {
		assert.Equal(t, n, 1, "a repeated call has the same request id: %s", vm)
	}
	assert.Equal(t, w.state().VM("spare-01").Pool(), "pour")
	assert.Assert(t, w.lowestServing["pour"] >= 8)
}

func TestStalePlannerIsFenced(t *testing.T) {
	w := newTwoPoolSimulation(t, autumnWave())
	w.startWave("autumn")
	stale := Plan(w.view())
	assert.Equal(t, len(stale), 2)
	w.append(record.NewLease("gate-2", w.state().Lease().Revision(), 6000))
	w.execute(stale)
	assert.Equal(t, w.resultCounts[codes.FencedOff], 2)
	w.runUntil(maxWaveTicks, w.waveIs("autumn", fold.WaveDone))
	assert.Assert(t, w.lowestServing["pour"] >= 8)
}

func TestTwoPlannersAndAnOperatorKeepTheBudget(t *testing.T) {
	w := newTwoPoolSimulation(t, autumnWave())
	w.startWave("autumn")
	first, second := Plan(w.view()), Plan(w.view())
	w.startMove("pour-09", "spare")
	w.execute(first)
	w.execute(second)
	assert.Equal(t, w.resultCounts[codes.BudgetSpent], 2, "the operator's move took one of two places: both planners' second drain is refused")
	w.runUntil(maxWaveTicks, w.waveIs("autumn", fold.WaveDone))
	assert.Assert(t, w.lowestServing["pour"] >= 8)
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
			w := newTwoPoolSimulation(t)
			w.health["pour-01"] = s.health
			if s.health == (Health{}) {
				delete(w.health, "pour-01")
			}
			w.editRow("pour-01", func(r *VMRowSpec) { r.State = s.list })
			w.tick()
			w.tick()
			assert.Equal(t, w.state().VM("pour-01").State(), s.expected)
			assert.Equal(t, len(w.executedCalls) == 1, s.fenced)
			delete(w.health, "pour-01")
			w.editRow("pour-01", func(r *VMRowSpec) { r.State, r.Generation = PlatformLive, 2 })
			w.runUntil(shortRunTicks, w.isServing("pour-01", "pour"))
		})
	}
}

func TestRestartedVMServesWhileReportedUnreachable(t *testing.T) {
	scenarios := []struct {
		testName string
		lose     func(w *simulation)
	}{
		{"rebooted", func(w *simulation) {
			w.startWave("autumn")
			w.runUntil(shortRunTicks, func() bool { return w.reboots["pour-01"] == 1 })
		}},
		{"gone and back", func(w *simulation) {
			w.editRow("pour-01", func(r *VMRowSpec) { r.State = PlatformGone })
			w.tick()
			w.editRow("pour-01", func(r *VMRowSpec) { r.State = PlatformLive })
		}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			w := newTwoPoolSimulation(t, autumnWave())
			s.lose(w)
			w.runUntil(shortRunTicks, func() bool {
				w.health["pour-01"] = NewHealth("pour-01", true, false)
				return w.isServing("pour-01", "pour")()
			})
		})
	}
}

func TestVMThatLeavesWhileMovingReturnsToItsAgreedPool(t *testing.T) {
	w := newTwoPoolSimulation(t)
	w.startMove("spare-01", "pour")
	w.answersToLose = 1
	w.runUntil(shortRunTicks, func() bool { return w.rows["spare-01"].Pool == "pour" })
	w.editRow("spare-01", func(r *VMRowSpec) { r.State = PlatformLeaving })
	w.runUntil(shortRunTicks, func() bool { return w.state().VM("spare-01").State() == fold.VMLeaving })
	w.editRow("spare-01", func(r *VMRowSpec) { r.State = PlatformLive })
	w.runUntil(shortRunTicks, w.isServing("spare-01", "spare"))
	assert.Equal(t, w.rows["spare-01"].Pool, "spare")
}

func TestTransfersKeepMinServingAndMinimumStay(t *testing.T) {
	w := newTwoPoolSimulation(t)
	w.transfers = []Transfer{NewTransfer("spare", "pour", 9)}
	w.runUntil(shortRunTicks, func() bool { return w.countServing("pour") == 14 })
	assert.Equal(t, w.lowestServing["spare"], 6)
	w.transfers = []Transfer{NewTransfer("pour", "spare", 4)}
	w.tick()
	for _, name := range w.state().VMNames() {
		vm := w.state().VM(name)
		assert.Assert(t, vm.State() != fold.VMDraining || w.state().Config().Home(name) == "pour", "%s has just moved", name)
	}
}

func TestVMsOfAnUndeclaredPoolMoveToTheirDeclaredPool(t *testing.T) {
	w := newTwoPoolSimulation(t)
	base := func(kind, name string) uint64 { _, r := w.state().Object(kind, name); return r }
	v := w.append(record.NewChange([]record.Object{
		record.NewObject("pool", "pour", base("pool", "pour")).AsRemoved(),
		record.NewObject("pool", "press", 0).WithField("vms", "pour-[01-10]").WithField("min-serving", "4"),
	}, ""))
	assert.Equal(t, v.Code(), codes.OK, "%v", v.Faults())
	w.runUntil(shortRunTicks, func() bool { return w.countServing("press") == 10 })
}

func TestPlanIsEmptyWithoutLeaseOrVMList(t *testing.T) {
	w := newTwoPoolSimulation(t, autumnWave())
	w.startWave("autumn")
	v := w.view()
	v.Token = 0
	assert.Equal(t, len(Plan(v)), 0, "no lease")
	w.rows = map[string]VMRowSpec{}
	assert.Equal(t, len(Plan(w.view())), 0, "no VM list: the wave is not called done")
}

func TestPoolLoads(t *testing.T) {
	w := newTwoPoolSimulation(t, autumnWave())
	w.startMove("spare-01", "pour")
	w.startWave("autumn")
	loads := PoolLoads(w.view())
	assert.Equal(t, len(loads), 2)
	pour, spare := loads[0].spec, loads[1].spec
	assert.Equal(t, pour, PoolLoadSpec{Pool: "pour", Serving: 10, VMs: 11, Movable: 2, DeclaredVMs: 10, SlotsPerVM: 8, VMsForWavePace: 12})
	assert.Equal(t, spare, PoolLoadSpec{Pool: "spare", Serving: 9, VMs: 9, Movable: 3, DeclaredVMs: 10, SlotsPerVM: 8})
}
