package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/admit"
	"mangowing/core/setup"
)

// Guards against a machine that counts twice while it is drained and moved: as a draining one, and as a donor or as one under way.
func TestDrainingMachineCountsOnce(t *testing.T) {
	scenarios := []struct {
		testName string
		change   func(sc *Scheduler, w *worker)
		expected float64
	}{
		{"busy", func(*Scheduler, *worker) {}, loadCores},
		{"idle, a donor", func(_ *Scheduler, w *worker) { w.runs = nil }, 0},
		{"ordered to move", func(sc *Scheduler, w *worker) { sc.machines[w.entry.Machine].targetPool = "pool-0" }, 0},
		{"for maintenance", func(sc *Scheduler, w *worker) { sc.machines[w.entry.Machine].maintenanceWave = 1 }, 0},
		{"silent", func(_ *Scheduler, w *worker) { w.unanswered = 100 }, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			b := newLoadBench(true)
			b.run(time.Second)
			var w *worker
			for _, w = range b.sc.workersByID {
				if w.entry.Pool == "pool-1" {
					break
				}
			}
			w.surplus, w.runs = true, map[runKey]*run{{}: nil}
			s.change(b.sc, w)
			b.sc.admission.pools = map[string]*admit.Timeline{"pool-0": {}}
			b.sc.addDrainingMachines(b.now, map[string]*poolDemand{"pool-0": {name: "pool-0", needed: 1}})
			assert.Equal(t, b.sc.admission.pools["pool-0"].CoresAt(10*time.Second), s.expected)
		})
	}
}

// Guards against a limit that tasks without a reservation don't count against when they are offered: they count once they are accepted.
func TestBestEffortTasksCountAgainstTheLimit(t *testing.T) {
	b := newLoadBench(true, setup.Team{Name: "a", Limit: setup.Resources{CPU: 64000}})
	b.run(time.Second)
	step := oneCoreStep(1000)
	step.BestEffort = true
	r, offer := b.sc.checkTimeline(b.now, &JobSpec{ID: "x", Queue: "pool-0", Pool: "pool-0", Team: "a", Steps: []StepSpec{step}, Slack: 1.6, TargetMs: 600})
	assert.Equal(t, offer, admit.Refused)
	assert.Equal(t, r.cause, teamLimitExceeded)
}

// Guards against offers by a time that has passed: a gate has looked for an owner for some seconds before the job reached it.
func TestOffersCountFromTheReceipt(t *testing.T) {
	for _, waited := range []time.Duration{0, 1200 * time.Millisecond, 5 * time.Second} {
		b := newLoadBench(true)
		b.run(time.Second)
		spec := JobSpec{ID: "x", Queue: "pool-0", Pool: "pool-0", Team: "a", Steps: shortSteps(), Slack: 1.6, TargetMs: 600}
		spec.FirstReceivedMs = b.now.Add(-waited).UnixMilli()
		_, offer := b.sc.checkTimeline(b.now, &spec)
		expected := map[time.Duration]admit.Offer{0: admit.OfferedInTime, 1200 * time.Millisecond: admit.OfferedLate, 5 * time.Second: admit.Refused}
		assert.Equal(t, offer, expected[waited], "after %v", waited)
	}
}
