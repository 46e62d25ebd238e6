package limits

import (
	"mangowing/core/fold"
	"mangowing/core/rights"
)

// allotment is the part of a team's limit that this data centre has, and the revision of the split between data centres.
type allotment struct {
	count    int
	revision uint64
}

// allotmentTracker holds the data centre's allotments as of the last applied state.
type allotmentTracker struct {
	dataCentre string
	byTeam     map[string]allotment
}

// update applies the state and returns the teams whose allotment changed, each with the amount by which it was reduced.
func (a *allotmentTracker) update(state *fold.State) []rights.TeamCount {
	if a.isUpToDate(state) {
		return nil
	}
	next := make(map[string]allotment, len(a.byTeam))
	for _, team := range state.Config().Teams() {
		next[team] = allotment{state.Allotment(team, a.dataCentre), state.AllotmentRevision(team)}
	}
	var changed []rights.TeamCount
	for team, now := range next {
		if before := a.byTeam[team]; before != now {
			changed = append(changed, rights.NewTeamCount(team, max(0, before.count-now.count)))
		}
	}
	for team, before := range a.byTeam {
		if _, kept := next[team]; !kept {
			changed = append(changed, rights.NewTeamCount(team, before.count))
		}
	}
	a.byTeam = next
	return changed
}

func (a *allotmentTracker) isUpToDate(state *fold.State) bool {
	teams := state.Config().Teams()
	if len(teams) != len(a.byTeam) {
		return false
	}
	for _, team := range teams {
		now := allotment{state.Allotment(team, a.dataCentre), state.AllotmentRevision(team)}
		if before, known := a.byTeam[team]; !known || before != now {
			return false
		}
	}
	return true
}

func (a *allotmentTracker) counts() []rights.TeamCount {
	out := make([]rights.TeamCount, 0, len(a.byTeam))
	for team, now := range a.byTeam {
		out = append(out, rights.NewTeamCount(team, now.count))
	}
	return out
}
