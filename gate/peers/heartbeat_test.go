package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestLowerNameSendsHeartbeatsLessOftenAcrossDataCentres(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork()
		for _, name := range []string{"a", "b", "c"} {
			startGate(t, network, name, declaredGates...)
		}
		advance(testPeriod / 2)
		first := map[string]int{}
		scenarios := []struct {
			from, to string
			expected int
		}{{"a", "b", 10}, {"a", "c", 5}, {"b", "c", 5}, {"b", "a", 0}, {"c", "a", 0}, {"c", "b", 0}}
		for _, s := range scenarios {
			first[s.from+s.to] = network.count(s.from, s.to)
		}
		advance(10 * testPeriod)
		for _, s := range scenarios {
			assert.Equal(t, network.count(s.from, s.to)-first[s.from+s.to], s.expected, "%s to %s", s.from, s.to)
		}
	})
}

func TestReachabilityAfterSilenceRefusalAndReturn(t *testing.T) {
	scenarios := []struct {
		testName string
		state    linkState
		before   time.Duration
		after    time.Duration
	}{
		{"unreachable after five periods without a heartbeat", linkNoAnswer, 3 * testPeriod, 8 * testPeriod},
		{"unreachable at once after a refused connection", linkRefused, 0, 2 * testPeriod},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := newFakeNetwork()
				a, _ := startGate(t, network, "a", declaredGates[:2]...)
				b, _ := startGate(t, network, "b", declaredGates[:2]...)
				advance(2*testPeriod + testPeriod/2)
				assertReachable(t, a, "b", true)
				assertReachable(t, b, "a", true)
				network.setState("b", s.state)
				advance(s.before)
				assertReachable(t, a, "b", true)
				advance(s.after - s.before)
				assertReachable(t, a, "b", false)
				m, _ := a.member("b")
				assert.Equal(t, m.IsRefusing(), s.state == linkRefused)
				network.setState("b", linkUp)
				advance(3 * testPeriod)
				assertReachable(t, a, "b", true)
				assertReachable(t, b, "a", true)
			})
		})
	}
}

func assertReachable(t *testing.T, g *testGate, name string, expected bool) {
	t.Helper()
	_, reachable := g.member(name)
	assert.Equal(t, reachable, expected, "whether %s is reachable", name)
}

// The gate with the higher name normally sends no heartbeats itself, but still has to detect that the other gate is gone.
func TestHigherNameSendsHeartbeatsAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork()
		_, stop := startGate(t, network, "a", declaredGates[:2]...)
		b, _ := startGate(t, network, "b", declaredGates[:2]...)
		advance(2 * testPeriod)
		stop()
		network.setState("a", linkRefused)
		advance(3 * testPeriod)
		assertReachable(t, b, "a", false)
		m, _ := b.member("a")
		assert.Assert(t, m.IsRefusing())
	})
}

func TestMembershipRecordsNewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork()
		a, _ := startGate(t, network, "a", declaredGates[:2]...)
		_, stop := startGate(t, network, "b", declaredGates[:2]...)
		advance(testPeriod)
		old, _ := a.member("b")
		changes := a.changes.Load()
		stop()
		startGate(t, network, "b", declaredGates[:2]...)
		advance(0)
		fresh, reachable := a.member("b")
		assert.Assert(t, reachable)
		assert.Assert(t, old.Incarnation() != "" && fresh.Incarnation() != "")
		assert.Assert(t, old.Incarnation() != fresh.Incarnation())
		assert.Assert(t, a.changes.Load() > changes)
	})
}

func TestAnnounceSendsHeartbeatsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newFakeNetwork()
		var gates []*testGate
		for _, name := range []string{"a", "b", "c"} {
			g, _ := startGate(t, network, name, declaredGates...)
			gates = append(gates, g)
		}
		advance(2*testPeriod + testPeriod/4)
		gates[2].status.Stopping = true
		gates[2].Announce()
		advance(0)
		for _, g := range gates {
			m, _ := g.member("c")
			assert.Assert(t, m.IsStopping(), "gate %s", g.Self().Name())
			_, picked := g.View().Pick("two", "key")
			assert.Assert(t, !picked)
		}
	})
}

func TestViewRanksOnlyReadyReachableGates(t *testing.T) {
	now := time.Now()
	member := func(name, dataCentre string, change func(*Member)) Member {
		m := NewMember(name, dataCentre, name)
		m.lastHeartbeat, m.heartbeat.Ready = now, true
		change(&m)
		return m
	}
	same := func(*Member) {}
	view := &View{takenAt: now, reachableFor: 5 * testPeriod, members: []Member{
		member("ready", "one", same),
		member("far", "two", same),
		member("stopping", "one", func(m *Member) { m.heartbeat.Stopping = true }),
		member("unready", "one", func(m *Member) { m.heartbeat.Ready = false }),
		member("silent", "one", func(m *Member) { m.lastHeartbeat = now.Add(-6 * testPeriod) }),
		member("refused", "one", func(m *Member) { m.refusing = true }),
		member("unheard", "one", func(m *Member) { m.lastHeartbeat = time.Time{} }),
	}}
	ranked := view.Rank("one", "key")
	assert.Equal(t, len(ranked), 1)
	assert.Equal(t, ranked[0].Name(), "ready")
	assert.Equal(t, len(view.Rank("", "key")), 2)
	assert.DeepEqual(t, view.DataCentres(), []string{"one", "two"})
	picked, ok := view.Pick("two", "key")
	assert.Assert(t, ok)
	assert.Equal(t, picked.Name(), "far")
	_, ok = view.Pick("three", "key")
	assert.Assert(t, !ok)
}
