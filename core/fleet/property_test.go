package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowing/core/fold"
	"mangowing/core/record"
)

const propertyTicks = 150

// chaos is one random thing that happens between two ticks.
func chaos(rt *rapid.T, w *world) {
	names := w.state().Config().Pools()
	pool, _ := w.state().Config().Pool(rapid.SampledFrom(names).Draw(rt, "pool"))
	vm := rapid.SampledFrom(pool.VMs()).Draw(rt, "vm")
	switch rapid.IntRange(0, 11).Draw(rt, "event") {
	case 0:
		w.change(vm, func(r *VMRowSpec) { r.State = PlatformGone })
	case 1:
		w.change(vm, func(r *VMRowSpec) { r.State, r.Generation = PlatformLive, r.Generation+1 })
		delete(w.health, vm)
	case 2:
		w.health[vm] = NewHealth(vm, true, rapid.Bool().Draw(rt, "lapsed"))
	case 3:
		w.neverBack[vm] = !w.neverBack[vm]
	case 4:
		w.loseAnswers = 2
	case 5:
		w.append(record.NewLease("gate-"+vm, w.state().Lease().Revision(), 6000))
		w.answered = &RequestIDs{}
	case 6:
		current := w.state().VM(vm)
		w.append(record.NewVMStep(record.VMStepSpec{
			VM: vm, Base: current.Revision(), State: fold.VMDraining, Pool: current.Pool(), Target: rapid.SampledFrom(names).Draw(rt, "target"),
		}))
	case 7:
		w.running[vm] = rapid.IntRange(0, 1).Draw(rt, "running")
	case 8:
		w.transfers = []Transfer{NewTransfer("spare", "pour", rapid.IntRange(0, 6).Draw(rt, "count"))}
	case 9:
		w.append(record.NewWaveStep("autumn", w.state().Wave("autumn").Revision(), fold.WaveRunning, "", 0))
	}
}

// checkNoStepBreaksABudget checks each drain that took effect against the VMs that could serve at that moment.
func checkNoStepBreaksABudget(t assert.TestingT, w *world, before map[string]int, actions []Action) {
	drains := map[string]int{}
	for _, action := range actions {
		step, isStep := action.(VMStep)
		if isStep && step.Spec().State == fold.VMDraining {
			drains[step.Spec().Pool]++
		}
	}
	for pool, n := range drains {
		assert.Assert(t, before[pool]-n >= w.state().MinServing(pool), "pool %s: %d serving, %d drained", pool, before[pool], n)
	}
}

func TestBudgetsHoldUnderAnyFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := twoPools(t, autumnWave())
		w.startWave("autumn")
		for range propertyTicks {
			chaos(rt, w)
			before := map[string]int{}
			for _, pool := range w.state().Config().Pools() {
				before[pool] = w.serving(pool)
			}
			actions := Plan(w.view())
			checkNoStepBreaksABudget(rt, w, before, actions)
			w.execute(actions)
			w.passTime()
		}
		for vm := range w.neverBack {
			delete(w.neverBack, vm)
		}
		w.transfers, w.loseAnswers, w.running = nil, 0, map[string]int{}
		recoverAll(w)
		checkOnePoolEach(rt, w)
	})
}

// recoverAll lets every VM come back and the planner finish what is under way.
func recoverAll(w *world) {
	for name := range w.rows {
		delete(w.health, name)
		w.change(name, func(r *VMRowSpec) { r.State, r.Generation = PlatformLive, r.Generation+1 })
	}
	for range fewTicks {
		w.tick()
	}
}

// checkOnePoolEach compares the agreed pool of every serving VM with the platform's.
func checkOnePoolEach(t assert.TestingT, w *world) {
	for name, row := range w.rows {
		vm := w.state().VM(name)
		assert.Assert(t, vm.State() != fold.VMMoving, "%s is still moving", name)
		if vm.State() == fold.VMServing {
			assert.Equal(t, row.Pool, vm.Pool(), name)
		}
	}
}
