package prove

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const usableLimit = 5 * time.Second

// Promise 4: no team has more running than its limit, counted at the upstreams, while gates are killed, replaced and
// frozen, a data centre is cut off and the platform is down.
func TestLimitHoldsUnderFailures(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-a", "cz-a", "cz-b", "cz-b", "cz-c", "cz-c")
	f.apply()
	small := f.grant("parish-shops")
	one := f.grant("scent-lab")
	large := f.grant("warehouse")
	loads := []*load{
		f.startLoad(8, "small", task{queue: "quotes", key: small, runMs: 150}),
		f.startLoad(6, "one", task{queue: "pour-batches", key: one, runMs: 150}),
		f.startLoad(70, "large", task{queue: "replans", key: large, runMs: 200}),
	}
	time.Sleep(2 * time.Second)
	f.fault("log", "down", 1)
	f.gates[0].replace()
	time.Sleep(1500 * time.Millisecond)
	f.gates[3].freeze()
	time.Sleep(2500 * time.Millisecond)
	f.gates[3].thaw()
	f.cutOff("cz-c")
	f.gates[1].replace()
	time.Sleep(2 * time.Second)
	f.heal("cz-c")
	f.gates[5].replace()
	f.fault("log", "down", 0)
	f.gates[6].replace()
	time.Sleep(3 * time.Second)
	total := 0
	for _, l := range loads {
		total += countOutcome(l.end(), "ran")
	}
	c := f.counts()
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

// Promise 4: the whole limit is usable again within 5 s of the moment when killed gates are back and their work has ended.
func TestWholeLimitIsUsableAgain(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-a", "cz-b", "cz-b", "cz-c", "cz-c")
	f.apply()
	f.await(usableLimit, "the whole limit is held", func() bool { return f.gates[0].heldBy("buyers") == 64 })
	key := f.grant("buyers")
	l := f.startLoad(64, "work", task{queue: "quotes", key: key, runMs: 300})
	time.Sleep(time.Second)
	for _, i := range []int{0, 2, 4} {
		f.gates[i].replace()
	}
	for _, g := range f.gates {
		g.awaitReady()
	}
	l.end()
	took := f.await(usableLimit, "the whole limit is held again", func() bool { return f.gates[1].heldBy("buyers") == 64 })
	t.Logf("the whole limit was held again %d ms after the work had ended", took.Milliseconds())
}

func (g *gateProcess) heldBy(team string) int {
	for _, t := range g.status().Teams {
		if t.Name == team {
			return t.Held
		}
	}
	return 0
}

// Promise 4: the work of killed gates still counts when every gate is replaced at once.
func TestLimitCountsWorkOfKilledGates(t *testing.T) {
	f := startFleet(t, "cz-a", "cz-a", "cz-b", "cz-c")
	f.apply()
	key := f.grant("parish-shops")
	first := f.startLoad(4, "first", task{queue: "quotes", key: key, runMs: 7000})
	f.await(usableLimit, "two run", func() bool { return f.counts().mostRunning("parish-shops") == 2 })
	first.stop.Store(true)
	for _, g := range f.gates {
		g.kill()
	}
	for _, g := range f.gates {
		g.start()
	}
	for _, g := range f.gates {
		g.awaitReady()
	}
	second := f.startLoad(4, "second", task{queue: "quotes", key: key, runMs: 100})
	f.await(readyTimeout, "work runs again", func() bool {
		second.mu.Lock()
		defer second.mu.Unlock()
		return countOutcome(second.replies, "ran") > 0
	})
	first.end()
	second.end()
	assert.Equal(t, f.counts().mostRunning("parish-shops"), 2)
}
