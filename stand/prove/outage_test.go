package prove

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	usableInOutage = 80 // percent of the limit
	outageLength   = 12 * time.Second
	outageSample   = 100 * time.Millisecond
	buyersLimit    = 64
)

// Promise 4: at least 80% of a limit is used throughout a platform outage in which one gate of each data centre is killed for good.
func TestLimitIsUsableThroughoutAnOutage(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-a", "cz-b", "cz-b", "cz-c", "cz-c")
	f.apply()
	f.await(usableLimit, "the whole limit is held", func() bool { return f.gates[1].heldBy("buyers") == buyersLimit })
	l := f.startLoad(2*buyersLimit, "work", task{queue: "quotes", key: f.grant("buyers"), runMs: 300})
	time.Sleep(2 * time.Second)
	before := f.running("buyers")
	f.fault("log", "down", 1)
	f.fault("vm-list", "down", 1)
	for _, i := range []int{0, 2, 4} {
		f.gates[i].kill()
	}
	sum, samples, least, heldSum, heldLeast := 0, 0, buyersLimit, 0, buyersLimit
	for begun := time.Now(); time.Since(begun) < outageLength; time.Sleep(outageSample) {
		n := f.running("buyers")
		h := f.gates[1].heldBy("buyers")
		heldSum, heldLeast = heldSum+h, min(heldLeast, h)
		sum, samples, least = sum+n, samples+1, min(least, n)
	}
	after := f.running("buyers")
	held := f.gates[1].heldBy("buyers")
	l.end()
	c := f.counts()
	t.Logf("running of %d: %d before, %d on average, %d at least, %d at the end, %d at most; %d rights held at the end, %d on average, %d at least",
		buyersLimit, before, sum/samples, least, after, c.mostRunning("buyers"), held, heldSum/samples, heldLeast)
	assert.Assert(t, c.mostRunning("buyers") <= buyersLimit)
	assert.Assert(t, sum*100 >= usableInOutage*buyersLimit*samples)
}

func (f *fleet) running(team string) int {
	for _, t := range f.counts().Teams {
		if t.Team == team {
			return t.Running
		}
	}
	return 0
}
