package fold

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowing/core/record"
	"mangowing/core/rights"
)

const splitSteps = 30

// sites is one rights ledger for each data centre, each of which follows the log as far as it can see.
type sites struct {
	names   []string
	ledgers map[string]*rights.Ledger
	held    map[string]int
	seen    map[string]int
}

func newSites(names []string) *sites {
	s := &sites{names, map[string]*rights.Ledger{}, map[string]int{}, map[string]int{}}
	for _, dc := range names {
		s.ledgers[dc] = rights.New(dc)
	}
	return s
}

// follow lets a data centre fold one state after the other up to the target and recount after each.
func (s *sites) follow(dc string, states []*State, target int) {
	l := s.ledgers[dc]
	for ; s.seen[dc] <= target; s.seen[dc]++ {
		state := states[s.seen[dc]]
		allotted := state.Allotment("buyers", dc)
		var changed []rights.TeamCount
		if allotted != s.held[dc] {
			changed = append(changed, rights.NewTeamCount("buyers", max(0, s.held[dc]-allotted)))
		}
		l.ApplyLimitChanges(state.Offset(), changed)
		s.held[dc] = allotted
		l.BeginRecount([]string{dc}, dc)
		l.FinishRecount([]rights.TeamCount{rights.NewTeamCount("buyers", allotted)}, nil)
	}
}

func (s *sites) spare() int {
	sum := 0
	for _, l := range s.ledgers {
		sum += l.Available("buyers")
	}
	return sum
}

func (s *sites) oldest() int {
	oldest := s.seen[s.names[0]]
	for _, n := range s.seen {
		oldest = min(oldest, n)
	}
	return oldest
}

func setLimit(t assert.TestingT, f *Folder, limit int) {
	_, base := f.Publish().Object("team", "buyers")
	o := record.NewObject("team", "buyers", base).WithField("organisation", "o").WithField("share", "1").WithField("limit", strconv.Itoa(limit))
	appendRecords(t, f, record.New("g", 0, record.NewChange([]record.Object{o}, "")))
}

// TestRightsStayWithinTheHighestLimitInView lowers and raises a limit at random while data centres lag behind or are cut off.
// All rights together never exceed the highest limit since the state that the last of them has folded.
func TestRightsStayWithinTheHighestLimitInView(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := startedFolder(rt)
		limits, states := []int{7}, []*State{f.Publish()}
		s := newSites([]string{"a", "b", "c"})
		for range splitSteps {
			limit := rapid.IntRange(0, 12).Draw(rt, "limit")
			setLimit(rt, f, limit)
			limits, states = append(limits, limit), append(states, f.Publish())
			for _, dc := range s.names {
				if rapid.IntRange(0, 2).Draw(rt, dc+" follows") > 0 {
					s.follow(dc, states, rapid.IntRange(s.seen[dc], len(states)-1).Draw(rt, "up to"))
				}
				bound := 0
				for _, l := range limits[max(0, s.oldest()-1):] {
					bound = max(bound, l)
				}
				assert.Assert(rt, s.spare() <= bound, "%d rights, limits in view %v", s.spare(), limits[max(0, s.oldest()-1):])
			}
		}
	})
}

func TestRaiseGoesBackToTheDataCentreThatLost(t *testing.T) {
	f := startedFolder(t)
	for _, limit := range []int{0, 2, 3} {
		setLimit(t, f, limit)
	}
	before := f.Publish()
	setLimit(t, f, 2)
	setLimit(t, f, 3)
	for _, dc := range []string{"a", "b", "c"} {
		assert.Equal(t, f.Publish().Allotment("buyers", dc), before.Allotment("buyers", dc), dc)
	}
}
