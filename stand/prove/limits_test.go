package prove

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const limitTimeout = 5 * time.Second

// Promise 4: no team has more requests running than its limit, as counted at the upstreams, while gates are killed,
// restarted and suspended, a data centre is disconnected and the log is down.
func TestLimitHoldsUnderFailures(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-a", "cz-a", "cz-b", "cz-b", "cz-c", "cz-c")
	f.applyDeployment()
	small := f.createKey("parish-shops")
	one := f.createKey("scent-lab")
	large := f.createKey("warehouse")
	loads := []*load{
		f.startLoad(8, "small", request{queue: "quotes", key: small, runMs: 150}),
		f.startLoad(6, "one", request{queue: "pour-batches", key: one, runMs: 150}),
		f.startLoad(70, "large", request{queue: "replans", key: large, runMs: 200}),
	}
	time.Sleep(2 * time.Second)
	f.setFault("log", "down", 1)
	f.gates[0].killAndRestart()
	time.Sleep(1500 * time.Millisecond)
	f.gates[3].suspend()
	time.Sleep(2500 * time.Millisecond)
	f.gates[3].resume()
	f.disconnectDataCentre("cz-c")
	f.gates[1].killAndRestart()
	time.Sleep(2 * time.Second)
	f.reconnectDataCentre("cz-c")
	f.gates[5].killAndRestart()
	f.setFault("log", "down", 0)
	f.gates[6].killAndRestart()
	time.Sleep(3 * time.Second)
	total := 0
	for _, l := range loads {
		total += countOutcome(l.stopAndWait(), "ran")
	}
	c := f.readCounts()
	for _, s := range []struct {
		team  string
		limit int
	}{{"parish-shops", 2}, {"scent-lab", 1}, {"warehouse", 48}} {
		assert.Assert(t, c.mostRunning(s.team) <= s.limit, "team %s had %d running, limit %d", s.team, c.mostRunning(s.team), s.limit)
		assert.Assert(t, c.mostRunning(s.team) > 0, s.team)
	}
	t.Logf("%d ran; most running: parish-shops %d of 2, scent-lab %d of 1, warehouse %d of 48", total,
		c.mostRunning("parish-shops"), c.mostRunning("scent-lab"), c.mostRunning("warehouse"))
}

// Promise 4: the whole limit is usable again within 5 s after killed gates are ready again and their work has ended.
func TestWholeLimitIsUsableAgain(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-a", "cz-b", "cz-b", "cz-c", "cz-c")
	f.applyDeployment()
	f.await(limitTimeout, "the whole limit is held", func() bool { return f.gates[0].rightsHeld("buyers") == 64 })
	key := f.createKey("buyers")
	l := f.startLoad(64, "work", request{queue: "quotes", key: key, runMs: 300})
	time.Sleep(time.Second)
	for _, i := range []int{0, 2, 4} {
		f.gates[i].killAndRestart()
	}
	for _, g := range f.gates {
		g.awaitReady()
	}
	l.stopAndWait()
	took := f.await(limitTimeout, "the whole limit is held again", func() bool { return f.gates[1].rightsHeld("buyers") == 64 })
	t.Logf("the whole limit was held again %d ms after the work had ended", took.Milliseconds())
}

func (g *gateProcess) rightsHeld(team string) int {
	for _, t := range g.readStatus().Teams {
		if t.Name == team {
			return t.Held
		}
	}
	return 0
}

// Promise 4: requests that killed gates had started still count against the limit when all gates restart at once.
func TestLimitCountsWorkOfKilledGates(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-a", "cz-b", "cz-c")
	f.applyDeployment()
	key := f.createKey("parish-shops")
	first := f.startLoad(4, "first", request{queue: "quotes", key: key, runMs: 7000})
	f.await(limitTimeout, "two run", func() bool { return f.readCounts().mostRunning("parish-shops") == 2 })
	first.stopped.Store(true)
	for _, g := range f.gates {
		g.kill()
	}
	for _, g := range f.gates {
		g.start()
	}
	for _, g := range f.gates {
		g.awaitReady()
	}
	second := f.startLoad(4, "second", request{queue: "quotes", key: key, runMs: 100})
	f.await(readyTimeout, "work runs again", func() bool {
		second.mu.Lock()
		defer second.mu.Unlock()
		return countOutcome(second.replies, "ran") > 0
	})
	first.stopAndWait()
	second.stopAndWait()
	assert.Equal(t, f.readCounts().mostRunning("parish-shops"), 2)
}
