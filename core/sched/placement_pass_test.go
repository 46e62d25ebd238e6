package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowing/core/setup"
)

// Tasks of many sizes wait in a pool whose workers have free capacity of many sizes. A pass that remembers which sizes fit
// nowhere must not leave a task waiting that fits.
func TestNoFittingTaskIsLeftWaiting(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newTestBench(t, 3)
		b.sc.immediateOrders = nil
		for i := range rapid.IntRange(1, 25).Draw(rt, "jobs") {
			b.submit(fmt.Sprintf("j%d", i), StepSpec{
				Count:      rapid.IntRange(1, 4).Draw(rt, "count"),
				CPU:        rapid.IntRange(1, 45).Draw(rt, "cpu") * 100,
				MemMB:      rapid.IntRange(1, 90).Draw(rt, "memory") * 100,
				EstimateMs: 1000,
			})
		}
		b.advance(time.Second)
		for s := range b.sc.ensurePool("pots").waitingSteps {
			for _, w := range b.sc.workersByID {
				fits := s.spec.Reservation().FitsWithin(w.free())
				assert.Assert(rt, !fits || !b.sc.fitsTeamLimit(s, 1), "%+v fits on %+v", s.spec.Reservation(), w.free())
			}
		}
	})
}

// Thousands of waiting tasks are larger than the free capacity of any worker in their pool. Trying each of them on each
// worker would take too long: a size that fits nowhere, and all larger ones, are tried only once in a pass.
func TestSizeThatFitsNowhereIsTriedOncePerPass(t *testing.T) {
	var pass placementPass
	pass.markTooLarge(setup.Resources{CPU: 4000, MemMB: 100})
	pass.markTooLarge(setup.Resources{CPU: 100, MemMB: 9000})
	scenarios := []struct {
		testName string
		needs    setup.Resources
		expected bool
	}{
		{"the same", setup.Resources{CPU: 4000, MemMB: 100}, true},
		{"larger", setup.Resources{CPU: 4100, MemMB: 5000}, true},
		{"less of one, more of the other", setup.Resources{CPU: 3900, MemMB: 8900}, false},
		{"more memory than fits", setup.Resources{CPU: 200, MemMB: 9100}, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) { assert.Equal(t, pass.isTooLarge(s.needs), s.expected) })
	}
	pass.markTooLarge(setup.Resources{CPU: 50, MemMB: 50})
	assert.Equal(t, len(pass.tooLarge), 1, "the smaller size covers the larger ones")
}

// Tasks end every millisecond while the backlog is deep. Passes over a deep backlog are slow, so their rate must be
// limited; otherwise they take up the owner's CPU time.
func TestPassesOverADeepBacklogAreLimited(t *testing.T) {
	b := newTestBench(t, 2)
	const jobs = 1000
	for i := range jobs {
		b.submit(fmt.Sprintf("j%d", i), oneCoreStep(2))
	}
	passes, last := 0, time.Time{}
	for range 1000 {
		b.sc.markAllPoolsDirty()
		b.advance(time.Millisecond)
		if p := b.sc.ensurePool("pots"); !p.lastPass.Equal(last) {
			passes, last = passes+1, p.lastPass
		}
	}
	assert.Assert(t, passes >= 10 && passes <= int(time.Second/(jobs*passIntervalPerStep))+1, "%d passes in a second", passes)
}
