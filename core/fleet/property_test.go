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
func injectRandomEvent(rt *rapid.T, sim *simulation) {
	names := sim.state().Config().Pools()
	pool, _ := sim.state().Config().Pool(rapid.SampledFrom(names).Draw(rt, "pool"))
	vm := rapid.SampledFrom(pool.VMs()).Draw(rt, "vm")
	switch rapid.IntRange(0, 11).Draw(rt, "event") {
	case 0:
		sim.editRow(vm, func(r *VMRowSpec) { r.State = PlatformGone })
	case 1:
		sim.editRow(vm, func(r *VMRowSpec) { r.State, r.Generation = PlatformLive, r.Generation+1 })
		delete(sim.health, vm)
	case 2:
		sim.health[vm] = NewHealth(vm, true, rapid.Bool().Draw(rt, "lapsed"))
	case 3:
		sim.failsToReturn[vm] = !sim.failsToReturn[vm]
	case 4:
		sim.answersToLose = 2
	case 5:
		sim.append(record.NewLease("gate-"+vm, sim.state().Lease().Revision(), 6000))
		sim.answered = &RequestIDs{}
	case 6:
		current := sim.state().VM(vm)
		sim.append(record.NewVMStep(record.VMStepSpec{
			VM: vm, Base: current.Revision(), State: fold.VMDraining, Pool: current.Pool(), Target: rapid.SampledFrom(names).Draw(rt, "target"),
		}))
	case 7:
		sim.running[vm] = rapid.IntRange(0, 1).Draw(rt, "running")
	case 8:
		sim.transfers = []Transfer{NewTransfer("spare", "pour", rapid.IntRange(0, 6).Draw(rt, "count"))}
	case 9:
		sim.append(record.NewWaveStep("autumn", sim.state().Wave("autumn").Revision(), fold.WaveRunning, "", 0))
	}
}

// checkDrainsKeepMinimum checks that the planned drains leave each pool its minimum of the VMs that were able to serve.
func checkDrainsKeepMinimum(t assert.TestingT, sim *simulation, before map[string]int, actions []Action) {
	drains := map[string]int{}
	for _, action := range actions {
		step, isStep := action.(VMStep)
		if isStep && step.Spec().State == fold.VMDraining {
			drains[step.Spec().Pool]++
		}
	}
	for pool, n := range drains {
		assert.Assert(t, before[pool]-n >= sim.state().MinServing(pool), "pool %s: %d serving, %d drained", pool, before[pool], n)
	}
}

func TestMinServingHoldsUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newTwoPoolSimulation(t, autumnWave())
		sim.startWave("autumn")
		for range propertyTicks {
			injectRandomEvent(rt, sim)
			before := map[string]int{}
			for _, pool := range sim.state().Config().Pools() {
				before[pool] = sim.countServing(pool)
			}
			actions := Plan(sim.planInput())
			checkDrainsKeepMinimum(rt, sim, before, actions)
			sim.execute(actions)
			sim.advanceTime()
		}
		for vm := range sim.failsToReturn {
			delete(sim.failsToReturn, vm)
		}
		sim.transfers, sim.answersToLose, sim.running = nil, 0, map[string]int{}
		recoverAllVMs(sim)
		checkPoolsMatchPlatform(rt, sim)
	})
}

// recoverAllVMs makes every VM live again and runs the planner until pending steps are complete.
func recoverAllVMs(sim *simulation) {
	for name := range sim.rows {
		delete(sim.health, name)
		sim.editRow(name, func(r *VMRowSpec) { r.State, r.Generation = PlatformLive, r.Generation+1 })
	}
	for range shortRunTicks {
		sim.tick()
	}
}

// checkPoolsMatchPlatform checks that each serving VM is in the same pool in the folded state and on the platform.
func checkPoolsMatchPlatform(t assert.TestingT, sim *simulation) {
	for name, row := range sim.rows {
		vm := sim.state().VM(name)
		assert.Assert(t, vm.State() != fold.VMMoving, "%s is still moving", name)
		if vm.State() == fold.VMServing {
			assert.Equal(t, row.Pool, vm.Pool(), name)
		}
	}
}
