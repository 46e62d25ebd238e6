package fleet

import (
	"fmt"
	"testing"

	"mangowing/core/record"
)

const (
	targetPools   = 72
	targetVMs     = 1900
	targetOutside = 8
)

// targetWorld has the size of two years, a wave over everything and a few VMs out for it.
func targetWorld(b *testing.B) *world {
	sections := []record.Object{
		record.NewObject("fleet", "both", 0).WithField("data-centres", "dc-0, dc-1, dc-2"),
		record.NewObject("wave", "all", 0).WithField("pace", "4").WithField("min-serving", "10"),
	}
	for i := range targetPools {
		vms := fmt.Sprintf("vm-%d-[01-%02d]", i, targetVMs/targetPools+1)
		sections = append(sections, record.NewObject("pool", fmt.Sprintf("pool-%d", i), 0).WithField("vms", vms).WithField("min-serving", "10"))
	}
	w := newWorld(b, sections...)
	w.startWave("all")
	for i := range targetOutside {
		w.move(fmt.Sprintf("vm-%d-01", i), "pool-9")
	}
	w.tick()
	return w
}

func BenchmarkIndexAtTargetSize(b *testing.B) {
	w := targetWorld(b)
	state, rows := w.state(), w.rowList()
	b.ResetTimer()
	for range b.N {
		NewIndex(state, rows)
	}
}

func BenchmarkPlanAtTargetSize(b *testing.B) {
	w := targetWorld(b)
	v := w.view()
	b.ResetTimer()
	for range b.N {
		Plan(v)
	}
}

func BenchmarkPoolLoadsAtTargetSize(b *testing.B) {
	w := targetWorld(b)
	v := w.view()
	b.ResetTimer()
	for range b.N {
		PoolLoads(v)
	}
}
