package prove

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	minOutageUsage       = 80 // percent of the limit, averaged over the outage
	outageDuration       = 12 * time.Second
	outageSampleInterval = 100 * time.Millisecond
	buyersLimit          = 64
)

// Promise 4: a team can use at least 80% of its limit throughout a platform outage in which one gate of each data centre
// is killed and not restarted. The test checks the average of its samples.
func TestLimitIsUsableThroughoutAnOutage(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-a", "cz-b", "cz-b", "cz-c", "cz-c")
	f.applyDeployment()
	f.await(limitTimeout, "the whole limit is held", func() bool { return f.gates[1].rightsHeld("buyers") == buyersLimit })
	l := f.startLoad(2*buyersLimit, "work", request{queue: "quotes", key: f.createKey("buyers"), runMs: 300})
	time.Sleep(2 * time.Second)
	before := f.running("buyers")
	f.setFault("log", "down", 1)
	f.setFault("vm-list", "down", 1)
	for _, i := range []int{0, 2, 4} {
		f.gates[i].kill()
	}
	runningSum, samples, minRunning, heldSum, minHeld := 0, 0, buyersLimit, 0, buyersLimit
	for startedAt := time.Now(); time.Since(startedAt) < outageDuration; time.Sleep(outageSampleInterval) {
		n := f.running("buyers")
		h := f.gates[1].rightsHeld("buyers")
		heldSum, minHeld = heldSum+h, min(minHeld, h)
		runningSum, samples, minRunning = runningSum+n, samples+1, min(minRunning, n)
	}
	after := f.running("buyers")
	held := f.gates[1].rightsHeld("buyers")
	l.stopAndWait()
	c := f.readCounts()
	t.Logf("running of %d: %d before, %d on average, %d at least, %d at the end, %d at most; %d rights held at the end, %d on average, %d at least",
		buyersLimit, before, runningSum/samples, minRunning, after, c.mostRunning("buyers"), held, heldSum/samples, minHeld)
	assert.Assert(t, c.mostRunning("buyers") <= buyersLimit)
	assert.Assert(t, runningSum*100 >= minOutageUsage*buyersLimit*samples)
}

func (f *fleet) running(team string) int {
	for _, t := range f.readCounts().Teams {
		if t.Team == team {
			return t.Running
		}
	}
	return 0
}
