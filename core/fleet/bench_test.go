package fleet

import (
	"fmt"
	"testing"

	"mangowing/core/record"
)

const (
	targetPools         = 72
	targetVMs           = 1900
	targetInMaintenance = 8
)

// newTargetSimulation has the size planned for in two years, a wave over all pools and a few VMs draining.
func newTargetSimulation(b *testing.B) *simulation {
	sections := []record.Object{
		record.NewObject("fleet", "both", 0).WithField("data-centres", "dc-0, dc-1, dc-2"),
		record.NewObject("wave", "all", 0).WithField("pace", "4").WithField("min-serving", "10"),
	}
	for i := range targetPools {
		vms := fmt.Sprintf("vm-%d-[01-%02d]", i, targetVMs/targetPools+1)
		sections = append(sections, record.NewObject("pool", fmt.Sprintf("pool-%d", i), 0).WithField("vms", vms).WithField("min-serving", "10"))
	}
	sim := newSimulation(b, sections...)
	sim.startWave("all")
	for i := range targetInMaintenance {
		sim.startMove(fmt.Sprintf("vm-%d-01", i), "pool-9")
	}
	sim.tick()
	return sim
}

func BenchmarkIndexAtTargetSize(b *testing.B) {
	sim := newTargetSimulation(b)
	state, rows := sim.state(), sim.rowList()
	b.ResetTimer()
	for range b.N {
		NewIndex(state, rows)
	}
}

func BenchmarkPlanAtTargetSize(b *testing.B) {
	sim := newTargetSimulation(b)
	v := sim.planInput()
	b.ResetTimer()
	for range b.N {
		Plan(v)
	}
}

func BenchmarkPoolLoadsAtTargetSize(b *testing.B) {
	sim := newTargetSimulation(b)
	v := sim.planInput()
	b.ResetTimer()
	for range b.N {
		PoolLoads(v)
	}
}
