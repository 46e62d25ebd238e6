package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowing/core/fold"
	"mangowing/core/record"
)

const propertyTicks = 150

// injectRandomEvent causes one random fault, operator action or change of load between two ticks.
func injectRandomEvent(rt *rapid.T, w *simulation) {
	names := w.state().Config().Pools()
	pool, _ := w.state().Config().Pool(rapid.SampledFrom(names).Draw(rt, "pool"))
	vm := rapid.SampledFrom(pool.VMs()).Draw(rt, "vm")
	switch rapid.IntRange(0, 11).Draw(rt, "event") {
	case 0:
		w.editRow(vm, func(r *VMRowSpec) { r.State = PlatformGone })
	case 1:
		w.editRow(vm, func(r *VMRowSpec) { r.State, r.Generation = PlatformLive, r.Generation+1 })
		delete(w.health, vm)
	case 2:
		w.health[vm] = NewHealth(vm, true, rapid.Bool().Draw(rt, "lapsed"))
	case 3:
		w.failsToReturn[vm] = !w.failsToReturn[vm]
	case 4:
		w.answersToLose = 2
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

// checkDrainsKeepMinimum checks that the planned drains leave each pool its minimum of the VMs that were able to serve.
func checkDrainsKeepMinimum(t assert.TestingT, w *simulation, before map[string]int, actions []Action) {
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

func TestMinServingHoldsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newTwoPoolSimulation(t, autumnWave())
		w.startWave("autumn")
		for range propertyTicks {
			injectRandomEvent(rt, w)
			before := map[string]int{}
			for _, pool := range w.state().Config().Pools() {
				before[pool] = w.countServing(pool)
			}
			actions := Plan(w.view())
			checkDrainsKeepMinimum(rt, w, before, actions)
			w.execute(actions)
			w.advanceTime()
		}
		for vm := range w.failsToReturn {
			delete(w.failsToReturn, vm)
		}
		w.transfers, w.answersToLose, w.running = nil, 0, map[string]int{}
		recoverAllVMs(w)
		checkPoolsMatchPlatform(rt, w)
	})
}

// recoverAllVMs makes every VM live again and runs the planner until pending steps are complete.
func recoverAllVMs(w *simulation) {
	for name := range w.rows {
		delete(w.health, name)
		w.editRow(name, func(r *VMRowSpec) { r.State, r.Generation = PlatformLive, r.Generation+1 })
	}
	for range shortRunTicks {
		w.tick()
	}
}

// checkPoolsMatchPlatform checks that each serving VM is in the same pool in the folded state and on the platform.
func checkPoolsMatchPlatform(t assert.TestingT, w *simulation) {
	for name, row := range w.rows {
		vm := w.state().VM(name)
		assert.Assert(t, vm.State() != fold.VMMoving, "%s is still moving", name)
		if vm.State() == fold.VMServing {
			assert.Equal(t, row.Pool, vm.Pool(), name)
		}
	}
}
