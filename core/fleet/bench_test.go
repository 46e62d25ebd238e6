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
	w := newSimulation(b, sections...)
	w.startWave("all")
	for i := range targetInMaintenance {
		w.startMove(fmt.Sprintf("vm-%d-01", i), "pool-9")
	}
	w.tick()
	return w
}

func BenchmarkIndexAtTargetSize(b *testing.B) {
	w := newTargetSimulation(b)
	state, rows := w.state(), w.rowList()
	b.ResetTimer()
	for range b.N {
		NewIndex(state, rows)
	}
}

func BenchmarkPlanAtTargetSize(b *testing.B) {
	w := newTargetSimulation(b)
	v := w.view()
	b.ResetTimer()
	for range b.N {
		Plan(v)
	}
}

func BenchmarkPoolLoadsAtTargetSize(b *testing.B) {
	w := newTargetSimulation(b)
	v := w.view()
	b.ResetTimer()
	for range b.N {
		PoolLoads(v)
	}
}
