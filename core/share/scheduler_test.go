package share_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowing/core/codes"
	"mangowing/core/decl"
	"mangowing/core/share"
)

var origin = time.Date(2027, 3, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return origin.Add(d) }

// submission is one item that a scenario adds, with the expected result of Add.
type submission struct {
	id       string
	team     string
	class    decl.Class
	deadline time.Duration
	finish   time.Duration
	declared time.Duration
	want     codes.Code
}

func (p submission) item() share.Item {
	s := share.ItemSpec{ID: p.id, Team: p.team, Class: p.class, Expected: p.declared}
	if p.deadline > 0 {
		s.Deadline = at(p.deadline)
	}
	if p.finish > 0 {
		s.LatestFinish = at(p.finish)
	}
	return share.NewItem(s)
}

func TestOrderOfStarts(t *testing.T) {
	scenarios := []struct {
		testName    string
		queueLength int
		weights     map[string]int
		steps       []submission
		expected    []string
	}{
		{
			"first come first within a class", 0, nil,
			[]submission{{id: "1", team: "a"}, {id: "2", team: "a"}},
			[]string{"1", "2"},
		},
		{
			"urgent, normal, patient, background within a team", 0, nil,
			[]submission{
				{id: "b", team: "a", class: decl.Background},
				{id: "p", team: "a", class: decl.Patient},
				{id: "n", team: "a"},
				{id: "u", team: "a", class: decl.Urgent},
			},
			[]string{"u", "b", "p", "n"}, // the waiting classes get their reserved fractions after the first start
		},
		{
			"a team that arrives late goes before a backlogged team", 0, nil,
			[]submission{{id: "f1", team: "flood"}, {id: "f2", team: "flood"}, {id: "f3", team: "flood"}, {id: "l", team: "late"}},
			[]string{"f1", "l", "f2", "f3"},
		},
		{
			"twice the weight, twice the starts", 0,
			map[string]int{"a": 2, "b": 1},
			[]submission{
				{id: "a1", team: "a"},
				{id: "a2", team: "a"},
				{id: "a3", team: "a"},
				{id: "a4", team: "a"},
				{id: "b1", team: "b"},
				{id: "b2", team: "b"},
			},
			[]string{"a1", "b1", "a2", "a3", "b2", "a4"},
		},
		{
			"background overtakes normal work as slack shrinks", 0, nil,
			[]submission{{id: "n", team: "a"}, {id: "b", team: "a", class: decl.Background, finish: 3 * time.Second, declared: time.Second}},
			[]string{"b", "n"},
		},
		{
			"refusals", 3,
			map[string]int{"a": 1},
			[]submission{
				{id: "1", team: "a", declared: 5 * time.Second},
				{id: "1", team: "a", want: codes.AlreadyClaimed},
				{id: "2", team: "a", deadline: time.Second, want: codes.DeadlineUnmeetable},
				{id: "3", team: "a"},
				{id: "4", team: "a"},
				{id: "5", team: "a", want: codes.QueueFull},
			},
			[]string{"1", "3", "4"},
		},
	}
	for _, sc := range scenarios {
		t.Run(sc.testName, func(t *testing.T) {
			s := share.New()
			for name, weight := range sc.weights {
				s.SetTeam(name, weight, sc.queueLength)
			}
			for _, p := range sc.steps {
				assert.Equal(t, s.Add(p.item(), origin), p.want, p.id)
			}
			assert.DeepEqual(t, drain(s), sc.expected)
		})
	}
}

// drain runs all items one after another, each for a second, and returns their ids.
func drain(s *share.Scheduler) []string {
	var out []string
	now := origin
	for {
		item, ok := s.Next(now, nil)
		if !ok {
			return out
		}
		out = append(out, item.ID())
		now = now.Add(time.Second)
		s.Finish(item.ID(), time.Second, now)
	}
}

func TestExpireShedsLateItems(t *testing.T) {
	s := share.New()
	for i, deadline := range []time.Duration{2 * time.Second, 0, time.Second} {
		p := submission{id: fmt.Sprint(i), team: "a", deadline: deadline, declared: time.Millisecond}
		assert.Equal(t, s.Add(p.item(), origin), codes.OK)
	}
	assert.Equal(t, len(s.Expire(at(999*time.Millisecond))), 0)
	late := s.Expire(at(2 * time.Second))
	assert.Equal(t, len(late), 2)
	assert.Equal(t, late[0].ID(), "2")
	assert.Equal(t, s.Waiting(), 1)
}

func TestRefusedTeamIsRetried(t *testing.T) {
	s := share.New()
	s.Add(submission{id: "1", team: "a"}.item(), origin)
	s.Add(submission{id: "2", team: "b"}.item(), origin)
	refuseA := func(team string) bool { return team != "a" }
	item, ok := s.Next(origin, refuseA)
	assert.Assert(t, ok)
	assert.Equal(t, item.ID(), "2")
	_, ok = s.Next(origin, nil)
	assert.Assert(t, !ok)
	item, ok = s.Next(origin.Add(share.RetryDelay), nil)
	assert.Assert(t, ok)
	assert.Equal(t, item.ID(), "1")
}

func TestChargeEqualsTheTimeRun(t *testing.T) {
	s := share.New()
	s.Add(submission{id: "1", team: "a", declared: time.Hour}.item(), origin)
	s.Add(submission{id: "2", team: "a", declared: time.Hour}.item(), origin)
	_, _ = s.Next(origin, nil)
	_, _ = s.Next(origin, nil)
	assert.Assert(t, s.Finish("1", 3*time.Second, at(3*time.Second)))
	assert.Assert(t, s.Finish("2", 0, at(4*time.Second)))
	assert.Assert(t, !s.Finish("2", 0, at(4*time.Second)))
	assert.Equal(t, fmt.Sprintf("%.6f", s.Service("a")), "3.000000")
	assert.Equal(t, s.Running(), 0)
}

// TestItemsAreConserved runs random operations and checks that every added item leaves the queue exactly once: by start,
// removal or expiry.
func TestItemsAreConserved(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := share.New()
		s.SetSlots(4)
		now := origin
		waiting, running := map[string]bool{}, map[string]time.Time{}
		blocked := ""
		for i := range rapid.IntRange(1, 120).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(rt, "action") {
			case 0, 1:
				p := submission{
					id: fmt.Sprint(i), team: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "team"),
					class:    decl.Class(rapid.IntRange(0, 3).Draw(rt, "class")),
					deadline: time.Duration(rapid.IntRange(0, 300).Draw(rt, "deadline")) * time.Second,
					declared: time.Duration(rapid.IntRange(0, 20).Draw(rt, "declared")) * time.Second,
				}
				waiting[p.id] = s.Add(p.item(), now) == codes.OK
			case 2:
				item, ok := s.Next(now, func(team string) bool { return team != blocked })
				if !ok {
					break
				}
				assert.Assert(rt, waiting[item.ID()] && item.Team() != blocked)
				delete(waiting, item.ID())
				running[item.ID()] = now
			case 3:
				id := firstID(running)
				assert.Equal(rt, s.Finish(id, now.Sub(running[id]), now), id != "")
				delete(running, id)
			case 4:
				id := fmt.Sprint(rapid.IntRange(0, i).Draw(rt, "removed"))
				assert.Equal(rt, s.Remove(id), waiting[id])
				delete(waiting, id)
			case 5:
				blocked = rapid.SampledFrom([]string{"", "a", "b"}).Draw(rt, "blocked")
				for _, item := range s.Expire(now) {
					assert.Assert(rt, waiting[item.ID()])
					delete(waiting, item.ID())
				}
			}
			assert.Equal(rt, s.Running(), len(running))
			assert.Equal(rt, s.Waiting(), countTrue(waiting))
		}
	})
}

func firstID(running map[string]time.Time) string {
	ids := slices.Sorted(maps.Keys(running))
	if len(ids) == 0 {
		return ""
	}
	return ids[0]
}

func countTrue(set map[string]bool) int {
	n := 0
	for _, in := range set {
		if in {
			n++
		}
	}
	return n
}
