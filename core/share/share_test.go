package share_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowing/core/codes"
	"mangowing/core/decl"
	"mangowing/core/share"
)

const poolSlots = 20

// pool simulates a pool with a scheduler in steps of 50 ms. A step fills all free slots while work waits.
type pool struct {
	scheduler *share.Scheduler
	now       time.Time
	ends      map[string]time.Time
	starts    map[string]time.Time
	teams     map[string]string
	served    map[string]float64 // slot-seconds, by team
	waits     map[string]time.Duration
	lastID    int
}

func newPool(weights map[string]int) *pool {
	p := &pool{
		scheduler: share.New(), now: origin, ends: map[string]time.Time{}, starts: map[string]time.Time{},
		teams: map[string]string{}, served: map[string]float64{}, waits: map[string]time.Duration{},
	}
	p.scheduler.SetSlots(poolSlots)
	for team, weight := range weights {
		p.scheduler.SetTeam(team, weight, 1000)
	}
	return p
}

func (p *pool) add(t assert.TestingT, team string, class decl.Class, n int) {
	for range n {
		p.lastID++
		item := share.NewItem(share.ItemSpec{ID: fmt.Sprintf("%06d", p.lastID), Team: team, Class: class})
		assert.Equal(t, p.scheduler.Add(item, p.now), codes.OK)
	}
}

// step advances the time, ends due items and starts waiting ones; run returns each item's run time.
func (p *pool) step(run func(share.Item) time.Duration) {
	p.now = p.now.Add(50 * time.Millisecond)
	for id := firstID(p.ends); ; id = nextID(p.ends, id) {
		if id == "" {
			break
		}
		p.served[p.teams[id]] += 0.05
		if !p.ends[id].After(p.now) {
			p.scheduler.Finish(id, p.now.Sub(p.starts[id]), p.now)
			delete(p.ends, id)
		}
	}
	for len(p.ends) < poolSlots {
		item, ok := p.scheduler.Next(p.now, nil)
		if !ok {
			return
		}
		kind := item.Team() + " " + item.Class().String()
		p.waits[kind] = max(p.waits[kind], p.now.Sub(item.Arrived()))
		p.starts[item.ID()] = p.now
		p.ends[item.ID()] = p.now.Add(run(item))
		p.teams[item.ID()] = item.Team()
	}
}

// nextID returns the least id above the given one, or an empty one at the end.
func nextID(ends map[string]time.Time, id string) string {
	best := ""
	for other := range ends {
		if other > id && (best == "" || other < best) {
			best = other
		}
	}
	return best
}

// TestNoTeamAboveItsShare draws random weights and run times: over 10 s of a full pool, the service of every team must be
// within 3% of the pool of its share.
func TestNoTeamAboveItsShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		weights, runs, total := map[string]int{}, map[string]time.Duration{}, 0
		for i := range rapid.IntRange(2, 5).Draw(rt, "teams") {
			team := fmt.Sprintf("team%d", i)
			weights[team] = rapid.IntRange(10, 50).Draw(rt, "weight")
			runs[team] = time.Duration(rapid.IntRange(1, 20).Draw(rt, "run")) * 50 * time.Millisecond
			total += weights[team]
		}
		p := newPool(weights)
		p.add(rt, "team0", decl.Normal, poolSlots) // at first only one team has work
		for second := range 30 {
			if second == 2 || second == 10 || second == 20 {
				clear(p.served)
			}
			for team := range weights {
				p.add(rt, team, decl.Normal, 400-p.scheduler.TeamWaiting(team))
			}
			for range 20 {
				p.step(func(i share.Item) time.Duration { return runs[i.Team()] })
			}
			if second != 19 && second != 29 {
				continue
			}
			for team, weight := range weights {
				off := p.served[team]/(10*poolSlots) - float64(weight)/float64(total)
				assert.Assert(rt, math.Abs(off) < 0.03, "%s is off its share by %.3f, %v %v", team, off, weights, runs)
			}
		}
	})
}

func (p *pool) fillBacklog(t assert.TestingT, team string) {
	p.add(t, team, decl.Normal, 400-p.scheduler.TeamWaiting(team))
}

// TestEarlierUseDoesNotCount backlogs two teams after a minute in which they used the pool unevenly: they must share it
// evenly at once.
func TestEarlierUseDoesNotCount(t *testing.T) {
	scenarios := []struct {
		testName string
		before   func(p *pool)
		run      time.Duration // of items added in that minute
	}{
		{"one used free slots before", func(p *pool) { p.add(t, "a", decl.Patient, poolSlots/2-p.scheduler.Running()) }, time.Minute},
		{"one was idle while the other used the full pool", func(p *pool) {
			p.fillBacklog(t, "a")
			if p.now.Equal(at(30 * time.Second)) {
				p.add(t, "b", decl.Normal, 1)
			}
		}, 200 * time.Millisecond},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			p := newPool(map[string]int{"a": 1, "b": 1})
			for p.now.Before(at(time.Minute)) {
				sc.before(p)
				p.step(func(share.Item) time.Duration { return sc.run })
			}
			for p.now.Before(at(71 * time.Second)) {
				p.fillBacklog(t, "a")
				p.fillBacklog(t, "b")
				if p.now.Equal(at(61 * time.Second)) {
					clear(p.served)
				}
				p.step(func(share.Item) time.Duration { return 200 * time.Millisecond })
			}
			assert.Assert(t, math.Abs(p.served["a"]/(10*poolSlots)-0.5) < 0.03, "a got %.3f", p.served["a"]/(10*poolSlots))
		})
	}
}

// TestUrgentAndPatientWaits keeps one large team backlogged: urgent work of another team within its share must start soon,
// and its patient work must start eventually.
func TestUrgentAndPatientWaits(t *testing.T) {
	p := newPool(map[string]int{"large": 60, "floor": 40})
	for second := range 60 {
		p.add(t, "large", decl.Normal, 600-p.scheduler.TeamWaiting("large"))
		p.add(t, "floor", decl.Urgent, 4)
		if second%10 == 0 {
			p.add(t, "floor", decl.Normal, 40)
			p.add(t, "floor", decl.Patient, 1)
		}
		for range 20 {
			p.step(func(share.Item) time.Duration { return time.Second })
		}
	}
	assert.Assert(t, p.waits["floor urgent"] <= 8400*time.Millisecond, "urgent waited %v", p.waits["floor urgent"])
	assert.Assert(t, p.waits["floor patient"] > 0 && p.waits["floor patient"] <= 30*time.Second, "patient waited %v", p.waits["floor patient"])
}

// TestLongRunsStayWithinTheShare runs items of 30 s beside a backlog of short items: they must never hold more slots than
// their share, and once the backlog is gone they must get all slots but the reserve.
func TestLongRunsStayWithinTheShare(t *testing.T) {
	p := newPool(map[string]int{"flood": 9, "photos": 1})
	p.scheduler.SetLongRunReserve(10)
	p.observe("photos", decl.Patient, 30*time.Second)
	p.observe("flood", decl.Normal, 300*time.Millisecond)
	run := func(i share.Item) time.Duration {
		if i.Team() == "photos" {
			return 30 * time.Second
		}
		return 300 * time.Millisecond
	}
	most := 0
	for p.now.Before(at(3 * time.Minute)) {
		p.fillBacklog(t, "flood")
		if p.now.Sub(origin)%(5*time.Second) == 0 {
			p.add(t, "photos", decl.Patient, 2)
		}
		p.step(run)
		most = max(most, runningItems(p, "photos"))
	}
	assert.Equal(t, most, 2)
	p.scheduler.Take("flood", 400, p.now)
	for p.now.Before(at(4 * time.Minute)) {
		p.step(run)
	}
	assert.Equal(t, runningItems(p, "photos"), 18)
}

// observe records one run of the class.
func (p *pool) observe(team string, class decl.Class, ran time.Duration) {
	p.scheduler.Adopt(share.NewItem(share.ItemSpec{ID: "seen", Team: team, Class: class}), origin, origin)
	p.scheduler.Finish("seen", ran, origin)
}

// TestUnobservedWorkLeavesTheReserve declares short run times: they must not give access to the reserve until a run was
// observed.
func TestUnobservedWorkLeavesTheReserve(t *testing.T) {
	p := newPool(map[string]int{"a": 1})
	p.scheduler.SetLongRunReserve(25)
	for range 400 {
		p.scheduler.Add(share.NewItem(share.ItemSpec{ID: fmt.Sprint(p.lastID), Team: "a", Expected: time.Millisecond}), p.now)
		p.lastID++
	}
	p.step(func(share.Item) time.Duration { return time.Second })
	assert.Equal(t, len(p.ends), poolSlots*3/4)
	p.add(t, "b", decl.Normal, 2)
	p.add(t, "c", decl.Urgent, 2)
	p.step(func(share.Item) time.Duration { return time.Second })
	assert.Equal(t, runningItems(p, "b"), 1, "the first run of a class shows how long it takes")
	assert.Equal(t, runningItems(p, "c"), 2, "urgent work may use the reserve")
	for range 21 {
		p.step(func(share.Item) time.Duration { return time.Second })
	}
	assert.Equal(t, len(p.ends), poolSlots)
}

func runningItems(p *pool, team string) int {
	n := 0
	for id := range p.ends {
		if p.teams[id] == team {
			n++
		}
	}
	return n
}

// TestRemoteServiceLowersTheLocalShare reports to the scheduler of a part of a pool that one team gets slots elsewhere.
func TestRemoteServiceLowersTheLocalShare(t *testing.T) {
	p := newPool(map[string]int{"a": 1, "b": 1})
	for range 20 {
		p.add(t, "a", decl.Normal, 400-p.scheduler.TeamWaiting("a"))
		p.add(t, "b", decl.Normal, 400-p.scheduler.TeamWaiting("b"))
		for range 20 {
			p.step(func(share.Item) time.Duration { return 200 * time.Millisecond })
			p.scheduler.AddRemoteService("a", 0.05*10)
		}
	}
	// a has 10 slots elsewhere: 15 of 30 for each means 5 and 15 here.
	assert.Assert(t, math.Abs(p.served["a"]/(20*poolSlots)-0.25) < 0.03, "a got %.3f", p.served["a"]/(20*poolSlots))
}

func BenchmarkFullQueues(b *testing.B) {
	s := share.New()
	s.SetSlots(2000)
	now := origin
	add := func(i int) {
		s.Add(share.NewItem(share.ItemSpec{ID: fmt.Sprint(i), Team: fmt.Sprint(i % 750)}), now)
	}
	for i := range 10_000 {
		add(i)
	}
	for i := 10_000; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		item, _ := s.Next(now, nil)
		s.Finish(item.ID(), 900*time.Millisecond, now)
		add(i)
	}
}
