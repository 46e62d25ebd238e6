package peers

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestTheLowerNameBeginsAndFarGatesLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHub()
		for _, name := range []string{"a", "b", "c"} {
			startGate(t, h, name, declared...)
		}
		pass(testPeriod / 2)
		first := map[string]int{}
		scenarios := []struct {
			from, to string
			expected int
		}{{"a", "b", 10}, {"a", "c", 5}, {"b", "c", 5}, {"b", "a", 0}, {"c", "a", 0}, {"c", "b", 0}}
		for _, s := range scenarios {
			first[s.from+s.to] = h.count(s.from, s.to)
		}
		pass(10 * testPeriod)
		for _, s := range scenarios {
			assert.Equal(t, h.count(s.from, s.to)-first[s.from+s.to], s.expected, "%s to %s", s.from, s.to)
		}
	})
}

func TestMembershipNoticesSilenceRefusalAndReturn(t *testing.T) {
	scenarios := []struct {
		testName string
		state    linkState
		before   time.Duration
		after    time.Duration
	}{
		{"silence counts after five periods", linkSilent, 3 * testPeriod, 8 * testPeriod},
		{"a refusal counts at once", linkRefused, 0, 2 * testPeriod},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHub()
				a, _ := startGate(t, h, "a", declared[:2]...)
				b, _ := startGate(t, h, "b", declared[:2]...)
				pass(2*testPeriod + testPeriod/2)
				assertSees(t, a, "b", true)
				assertSees(t, b, "a", true)
				h.set("b", s.state)
				pass(s.before)
				assertSees(t, a, "b", true)
				pass(s.after - s.before)
				assertSees(t, a, "b", false)
				m, _ := a.sees("b")
				assert.Equal(t, m.IsRefusing(), s.state == linkRefused)
				h.set("b", linkUp)
				pass(3 * testPeriod)
				assertSees(t, a, "b", true)
				assertSees(t, b, "a", true)
			})
		})
	}
}

func assertSees(t *testing.T, g *testGate, name string, expected bool) {
	t.Helper()
	_, reachable := g.sees(name)
	assert.Equal(t, reachable, expected, "whether %s is seen", name)
}

// The gate with the higher name learns of a lost one too, though it begins no exchange in quiet times.
func TestTheHigherNameBeginsAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHub()
		_, stop := startGate(t, h, "a", declared[:2]...)
		b, _ := startGate(t, h, "b", declared[:2]...)
		pass(2 * testPeriod)
		stop()
		h.set("a", linkRefused)
		pass(3 * testPeriod)
		assertSees(t, b, "a", false)
		m, _ := b.sees("a")
		assert.Assert(t, m.IsRefusing())
	})
}

func TestMembershipFollowsAReplacement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHub()
		a, _ := startGate(t, h, "a", declared[:2]...)
		_, stop := startGate(t, h, "b", declared[:2]...)
		pass(testPeriod)
		old, _ := a.sees("b")
		changes := a.changes.Load()
		stop()
		startGate(t, h, "b", declared[:2]...)
		pass(0)
		fresh, reachable := a.sees("b")
		assert.Assert(t, reachable)
		assert.Assert(t, old.Incarnation() != "" && fresh.Incarnation() != "")
		assert.Assert(t, old.Incarnation() != fresh.Incarnation())
		assert.Assert(t, a.changes.Load() > changes)
	})
}

func TestAnAnnouncementDoesNotWaitForThePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHub()
		var gates []*testGate
		for _, name := range []string{"a", "b", "c"} {
			g, _ := startGate(t, h, name, declared...)
			gates = append(gates, g)
		}
		pass(2*testPeriod + testPeriod/4)
		gates[2].facts.Stopping = true
		gates[2].Announce()
		pass(0)
		for _, g := range gates {
			m, _ := g.sees("c")
			assert.Assert(t, m.IsStopping(), "gate %s", g.Self().Name())
			_, picked := g.View().Pick("two", "key")
			assert.Assert(t, !picked)
		}
	})
}

func TestViewRanksReadyReachableGates(t *testing.T) {
	now := time.Now()
	member := func(name, dataCentre string, change func(*Member)) Member {
		m := NewMember(name, dataCentre, name)
		m.heard, m.beat.Ready = now, true
		change(&m)
		return m
	}
	same := func(*Member) {}
	view := &View{now: now, timeout: 5 * testPeriod, members: []Member{
		member("ready", "one", same),
		member("far", "two", same),
		member("stopping", "one", func(m *Member) { m.beat.Stopping = true }),
		member("unready", "one", func(m *Member) { m.beat.Ready = false }),
		member("silent", "one", func(m *Member) { m.heard = now.Add(-6 * testPeriod) }),
		member("refused", "one", func(m *Member) { m.refused = true }),
		member("unheard", "one", func(m *Member) { m.heard = time.Time{} }),
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
