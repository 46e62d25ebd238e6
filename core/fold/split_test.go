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

// dataCentreLedgers holds one rights ledger for each data centre, each at its own position in the log.
type dataCentreLedgers struct {
	names    []string
	ledgers  map[string]*rights.Ledger
	allotted map[string]int
	folded   map[string]int
}

func newDataCentreLedgers(names []string) *dataCentreLedgers {
	s := &dataCentreLedgers{names, map[string]*rights.Ledger{}, map[string]int{}, map[string]int{}}
	for _, dc := range names {
		s.ledgers[dc] = rights.New(dc)
	}
	return s
}

// catchUp makes a data centre fold the states one after the other up to the target, with a recount after each.
func (s *dataCentreLedgers) catchUp(dc string, states []*State, target int) {
	l := s.ledgers[dc]
	for ; s.folded[dc] <= target; s.folded[dc]++ {
		state := states[s.folded[dc]]
		allotted := state.Allotment("buyers", dc)
		var changed []rights.TeamCount
		if allotted != s.allotted[dc] {
			changed = append(changed, rights.NewTeamCount("buyers", max(0, s.allotted[dc]-allotted)))
		}
		l.ApplyLimitChanges(state.Offset(), changed)
		s.allotted[dc] = allotted
		l.BeginRecount([]string{dc}, dc)
		l.FinishRecount([]rights.TeamCount{rights.NewTeamCount("buyers", allotted)}, nil)
	}
}

func (s *dataCentreLedgers) availableRights() int {
	sum := 0
	for _, l := range s.ledgers {
		sum += l.Available("buyers")
	}
	return sum
}

func (s *dataCentreLedgers) lowestFolded() int {
	oldest := s.folded[s.names[0]]
	for _, n := range s.folded {
		oldest = min(oldest, n)
	}
	return oldest
}

func setLimit(t assert.TestingT, f *Folder, limit int) {
	_, base := f.Publish().Object("team", "buyers")
	o := record.NewObject("team", "buyers", base).WithField("organisation", "o").WithField("share", "1").WithField("limit", strconv.Itoa(limit))
	appendRecords(t, f, record.New("g", 0, record.NewChange([]record.Object{o}, "")))
}

// TestRightsStayWithinTheHighestLimitInView changes a limit at random while data centres lag behind or are cut off. The
// rights in all data centres together must not exceed the highest limit since the oldest state that any of them is at.
func TestRightsStayWithinTheHighestLimitInView(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newDeclaredFolder(rt)
		limits, states := []int{7}, []*State{f.Publish()}
		s := newDataCentreLedgers([]string{"a", "b", "c"})
		for range splitSteps {
			limit := rapid.IntRange(0, 12).Draw(rt, "limit")
			setLimit(rt, f, limit)
			limits, states = append(limits, limit), append(states, f.Publish())
			for _, dc := range s.names {
				if rapid.IntRange(0, 2).Draw(rt, dc+" follows") > 0 {
					s.catchUp(dc, states, rapid.IntRange(s.folded[dc], len(states)-1).Draw(rt, "up to"))
				}
				bound := 0
				for _, l := range limits[max(0, s.lowestFolded()-1):] {
					bound = max(bound, l)
				}
				assert.Assert(rt, s.availableRights() <= bound, "%d rights, limits in view %v", s.availableRights(), limits[max(0, s.lowestFolded()-1):])
			}
		}
	})
}

func TestRaiseRestoresRightsToTheDataCentreThatLostThem(t *testing.T) {
	f := newDeclaredFolder(t)
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
