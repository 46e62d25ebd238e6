package limits

import (
	"mangowing/core/fold"
	"mangowing/core/rights"
)

// allotment is a team's part of its limit in this data centre at a revision of the split.
type allotment struct {
	count    int
	revision uint64
}

// allotments is what the followed state gives the data centre.
type allotments struct {
	dataCentre string
	byTeam     map[string]allotment
}

// follow takes the state over and returns which teams' allotments changed, and by how much each fell.
func (a *allotments) follow(state *fold.State) []rights.TeamCount {
	if a.upToDate(state) {
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

func (a *allotments) upToDate(state *fold.State) bool {
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

func (a *allotments) list() []rights.TeamCount {
	out := make([]rights.TeamCount, 0, len(a.byTeam))
	for team, now := range a.byTeam {
		out = append(out, rights.NewTeamCount(team, now.count))
	}
	return out
}
