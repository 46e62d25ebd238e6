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

// pool keeps every team's queue filled and all slots busy, in steps of 50 ms.
type pool struct {
	scheduler *share.Scheduler
	now       time.Time
	ends      map[string]time.Time
	starts    map[string]time.Time
	teams     map[string]string
	given     map[string]float64 // slot-seconds, by team
	waits     map[string]time.Duration
	last      int
}

func newPool(weights map[string]int) *pool {
	p := &pool{
		scheduler: share.New(), now: origin, ends: map[string]time.Time{}, starts: map[string]time.Time{},
		teams: map[string]string{}, given: map[string]float64{}, waits: map[string]time.Duration{},
	}
	p.scheduler.SetSlots(poolSlots)
	for team, weight := range weights {
		p.scheduler.SetTeam(team, weight, 1000)
	}
	return p
}

func (p *pool) add(t assert.TestingT, team string, class decl.Class, n int) {
	for range n {
		p.last++
		item := share.NewItem(share.ItemSpec{ID: fmt.Sprintf("%06d", p.last), Team: team, Class: class})
		assert.Equal(t, p.scheduler.Add(item, p.now), codes.OK)
	}
}

// step lets work end and start; run gives each item's run time.
func (p *pool) step(run func(share.Item) time.Duration) {
	p.now = p.now.Add(50 * time.Millisecond)
	for id := first(p.ends); ; id = next(p.ends, id) {
		if id == "" {
			break
		}
		p.given[p.teams[id]] += 0.05
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

// next returns the least id above the given one, empty at the end.
func next(ends map[string]time.Time, id string) string {
	best := ""
	for other := range ends {
		if other > id && (best == "" || other < best) {
			best = other
		}
	}
	return best
}

// TestNoTeamAboveItsShare draws weights and run times: over 10 s of a full pool no team is off its share by 3% of the pool.
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
		p.add(rt, "team0", decl.Normal, poolSlots) // one team alone first
		for second := range 30 {
			if second == 2 || second == 10 || second == 20 {
				clear(p.given)
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
				off := p.given[team]/(10*poolSlots) - float64(weight)/float64(total)
				assert.Assert(rt, math.Abs(off) < 0.03, "%s is off its share by %.3f, %v %v", team, off, weights, runs)
			}
		}
	})
}

func (p *pool) flood(t assert.TestingT, team string) {
	p.add(t, team, decl.Normal, 400-p.scheduler.TeamWaiting(team))
}

// TestNoDebtAndNoCredit has two teams that flood after a minute; whatever they did before, they share evenly at once.
func TestNoDebtAndNoCredit(t *testing.T) {
	scenarios := []struct {
		testName string
		before   func(p *pool)
		run      time.Duration // of work handed in before
	}{
		{"one used free slots before", func(p *pool) { p.add(t, "a", decl.Patient, poolSlots/2-p.scheduler.Running()) }, time.Minute},
		{"one rested while the other had the full pool", func(p *pool) {
			p.flood(t, "a")
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
				p.flood(t, "a")
				p.flood(t, "b")
				if p.now.Equal(at(61 * time.Second)) {
					clear(p.given)
				}
				p.step(func(share.Item) time.Duration { return 200 * time.Millisecond })
			}
			assert.Assert(t, math.Abs(p.given["a"]/(10*poolSlots)-0.5) < 0.03, "a got %.3f", p.given["a"]/(10*poolSlots))
		})
	}
}

// TestUrgentAndPatientWaits floods with one large team: urgent work within its share starts soon, patient work does start.
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

// TestLongRunsStayWithinTheShare has work of 30 s beside a flood: it never holds more slots than its share, and once the
// flood ends it gets all slots but those reserved.
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
		p.flood(t, "flood")
		if p.now.Sub(origin)%(5*time.Second) == 0 {
			p.add(t, "photos", decl.Patient, 2)
		}
		p.step(run)
		most = max(most, runningOf(p, "photos"))
	}
	assert.Equal(t, most, 2)
	p.scheduler.Take("flood", 400, p.now)
	for p.now.Before(at(4 * time.Minute)) {
		p.step(run)
	}
	assert.Equal(t, runningOf(p, "photos"), 18)
}

// observe lets the scheduler see one run.
func (p *pool) observe(team string, class decl.Class, ran time.Duration) {
	p.scheduler.Adopt(share.NewItem(share.ItemSpec{ID: "seen", Team: team, Class: class}), origin, origin)
	p.scheduler.Finish("seen", ran, origin)
}

// TestUnobservedWorkLeavesTheReserve declares short runs, which counts for nothing until one was seen.
func TestUnobservedWorkLeavesTheReserve(t *testing.T) {
	p := newPool(map[string]int{"a": 1})
	p.scheduler.SetLongRunReserve(25)
	for range 400 {
		p.scheduler.Add(share.NewItem(share.ItemSpec{ID: fmt.Sprint(p.last), Team: "a", Expected: time.Millisecond}), p.now)
		p.last++
	}
	p.step(func(share.Item) time.Duration { return time.Second })
	assert.Equal(t, len(p.ends), poolSlots*3/4)
	p.add(t, "b", decl.Normal, 2)
	p.add(t, "c", decl.Urgent, 2)
	p.step(func(share.Item) time.Duration { return time.Second })
	assert.Equal(t, runningOf(p, "b"), 1, "the first run of a class shows how long it takes")
	assert.Equal(t, runningOf(p, "c"), 2, "urgent work may use the reserve")
	for range 21 {
		p.step(func(share.Item) time.Duration { return time.Second })
	}
	assert.Equal(t, len(p.ends), poolSlots)
}

func runningOf(p *pool, team string) int {
	n := 0
	for id := range p.ends {
		if p.teams[id] == team {
			n++
		}
	}
	return n
}

// TestCorrectMovesShares tells one half of a pool that a team gets much from the other half.
func TestCorrectMovesShares(t *testing.T) {
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
	assert.Assert(t, math.Abs(p.given["a"]/(20*poolSlots)-0.25) < 0.03, "a got %.3f", p.given["a"]/(20*poolSlots))
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
