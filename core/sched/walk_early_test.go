package sched

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against faults that calls for a worker's former life cause when they reach the new life before any later call. What nothing in the
// protocol can bar is passed over and printed: second runs of a task which such a call has started, or whose end it had the worker forget.
func TestWalkWithEarlyCalls(t *testing.T) {
	first, end := walkSeeds()
	earlyTasks := 0
	for seed := first; seed < end; seed++ {
		w := newSimulation(seed, Options{}, nil)
		w.earlyCalls = true
		w.play()
		assert.Check(t, len(w.violations) == 0, "seed %d, %d jobs: %v", seed, len(w.jobs), w.violations)
		earlyTasks += len(w.earlyTasks)
		for _, v := range w.earlyViolations {
			t.Logf("passed over, see KNOWN-RED.txt: seed %d, %s", seed, v)
		}
	}
	t.Logf("early calls have started %d tasks or had their ends forgotten", earlyTasks)
	assert.Check(t, earlyTasks > 0)
}
