package show

import (
	"fmt"
	"strings"
	"time"

	"mangowing/mango/opsapi"
)

// A gate that has not reached the log's end since its start reports a longer staleness than this.
const maxKnownStaleness = 365 * 24 * time.Hour

// Status is the view of the whole fleet.
type Status struct {
	status opsapi.Status
}

// NewStatus returns the view of the fleet.
func NewStatus(s opsapi.Status) Status { return Status{s} }

func (s Status) jsonValue() any { return s.status }

func (s Status) text() string {
	sections := []string{s.heading(), s.gates(), Pools{s.status.Pools()}.text(), s.teams()}
	return strings.Join(sections, "\n")
}

func (s Status) heading() string {
	reachable, offset := s.status.Log()
	holder, token := s.status.Lease()
	out := fmt.Sprintf("deployment  %s\nlog         offset %d, ", s.status.Deployment(), offset)
	if reachable {
		out += "reachable\n"
	} else {
		out += "NOT reachable\n"
	}
	if holder == "" {
		return out + "planner     none\n"
	}
	return out + fmt.Sprintf("planner     %s, token %d\n", holder, token)
}

func (s Status) gates() string {
	_, newest := s.status.Log()
	for _, g := range s.status.Gates() {
		newest = max(newest, g.Offset())
	}
	t := newTable("GATE", "DATA CENTRE", "ADDRESS", "STATE", "OFFSET", "BEHIND", "STALENESS")
	for _, g := range s.status.Gates() {
		t.row(g.Name(), g.DataCentre(), g.Address(), g.State(), formatInt(g.Offset()), formatInt(newest-g.Offset()), formatStaleness(g))
	}
	return t.String()
}

// formatStaleness returns "" for an unreachable gate, whose last known staleness is outdated.
func formatStaleness(g opsapi.GateRow) string {
	if g.State() == "unreachable" {
		return ""
	}
	if g.Staleness() > maxKnownStaleness {
		return "never fresh"
	}
	return g.Staleness().Round(time.Millisecond).String()
}

func (s Status) teams() string {
	shares, running := 0, 0
	for _, team := range s.status.Teams() {
		running += team.Running()
		if team.Running() > 0 {
			shares += team.Share()
		}
	}
	t := newTable("TEAM", "ORGANISATION", "SHARE", "OF ACTIVE", "OF RUNNING", "RUNNING", "WAITING", "LIMIT", "RIGHTS HELD", "SPARE")
	for _, team := range s.status.Teams() {
		held, spare := team.Rights()
		entitled, actual := "", ""
		if team.Running() > 0 {
			entitled, actual = formatPercent(team.Share(), shares), formatPercent(team.Running(), running)
		}
		t.row(team.Name(), team.Organisation(), formatInt(team.Share()), entitled, actual, formatInt(team.Running()),
			formatInt(team.Waiting()), formatInt(team.Limit()), formatInt(held), formatInt(spare))
	}
	return t.String()
}

func formatPercent(n, total int) string {
	if total == 0 {
		return ""
	}
	return fmt.Sprintf("%.1f%%", float64(n)/float64(total)*100)
}

// Pools is the view of a list of pools.
type Pools struct {
	rows []opsapi.PoolRow
}

// NewPools returns the view of the pools.
func NewPools(rows []opsapi.PoolRow) Pools { return Pools{rows} }

func (p Pools) jsonValue() any {
	return struct {
		Pools []opsapi.PoolRow `json:"pools"`
	}{emptyIfNil(p.rows)}
}

func (p Pools) text() string {
	t := newTable("POOL", "VMS", "SERVING", "MIN-SERVING", "OUT", "RUNNING", "WAITING")
	for _, row := range p.rows {
		running := 0
		for _, vm := range row.VMs() {
			running += vm.Running()
		}
		serving := formatInt(row.Serving())
		if row.Serving() < row.MinServing() {
			serving += " (below the minimum)"
		}
		t.row(row.Name(), formatInt(len(row.VMs())), serving, formatInt(row.MinServing()), describeNonServing(row), formatInt(running), formatInt(row.Waiting()))
	}
	return t.String()
}

// describeNonServing returns the number of the pool's VMs in each state other than serving.
func describeNonServing(row opsapi.PoolRow) string {
	var parts []string
	for _, state := range []string{"draining", "moving", "rebooting", "quarantined", "leaving"} {
		n := 0
		for _, vm := range row.VMs() {
			if vm.State() == state {
				n++
			}
		}
		if n > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", n, state))
		}
	}
	return strings.Join(parts, ", ")
}

// VMs is the view of a list of VMs.
type VMs struct {
	rows []opsapi.VMRow
}

// NewVMs returns the view of VMs.
func NewVMs(rows []opsapi.VMRow) VMs { return VMs{rows} }

func (v VMs) jsonValue() any {
	return struct {
		VMs []opsapi.VMRow `json:"vms"`
	}{emptyIfNil(v.rows)}
}

func (v VMs) text() string {
	t := newTable("VM", "STATE", "POOL", "TARGET", "DATA CENTRE", "RACK", "RUNNING")
	for _, row := range v.rows {
		t.row(row.Name(), row.State(), row.Pool(), row.Target(), row.DataCentre(), row.Rack(), formatInt(row.Running()))
	}
	return t.String()
}
