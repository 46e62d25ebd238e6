package lint

import (
	"fmt"
	"slices"
	"strings"

	"mangowing/core/decl"
)

// CompareDeclarations returns what changes when the next declarations replace those in force, in the order of what it means for
// callers.
func CompareDeclarations(inForce, next Declarations) []Change {
	d := &declarationComparison{old: inForce, next: next}
	for _, name := range inForce.cfg.Teams() {
		if _, stays := next.cfg.Team(name); stays {
			d.teams = append(d.teams, name)
		}
	}
	d.compareQueues()
	d.compareTeams()
	d.comparePools()
	d.compareWaves()
	d.compareFleet()
	return d.sorted()
}

type declarationComparison struct {
	changes
	old, next Declarations
	teams     []string // that both declare
}

// compareNames adds the sections of a kind that are removed or added, and returns the others.
func (d *declarationComparison) compareNames(kind string, old, next []string, consequence string) []string {
	var both []string
	for _, name := range old {
		if isIn(next, name) {
			both = append(both, name)
			continue
		}
		d.add(Removed, d.old.place(kind+" "+name, ""), "%s %s%s", kind, quote(name), consequence)
	}
	for _, name := range next {
		if !isIn(old, name) {
			d.add(Added, d.next.place(kind+" "+name, ""), "%s %s", kind, quote(name))
		}
	}
	return both
}

func isIn(sorted []string, name string) bool {
	_, found := slices.BinarySearch(sorted, name)
	return found
}

func (d *declarationComparison) compareQueues() {
	for _, name := range d.compareNames("queue", d.old.cfg.Queues(), d.next.cfg.Queues(), ": its calls are refused") {
		before, _ := d.old.cfg.Queue(name)
		after, _ := d.next.cfg.Queue(name)
		section, of := "queue "+name, " of queue "+quote(name)
		d.compareAccess(name, before, after)
		if before.Pool() != after.Pool() {
			d.add(Redirected, d.next.place(section, "pool"), "calls%s go to pool %s instead of %s", of, quote(after.Pool()), quote(before.Pool()))
		}
		addAmount(&d.changes, "waiting requests of one team"+of, d.next.place(section, "length"), before.MaxWaitingPerTeam(), after.MaxWaitingPerTeam(), false)
	}
}

// compareAccess adds the teams that may use a queue no longer, or from now on. The open team's access is that of calls without a key.
func (d *declarationComparison) compareAccess(name string, before, after decl.Queue) {
	section := "queue " + name
	if before.IsOpen() && !after.IsOpen() {
		d.add(Removed, d.next.place(section, "open"), "calls of queue %s without a key are refused", quote(name))
	}
	if !before.IsOpen() && after.IsOpen() {
		d.add(Loosened, d.next.place(section, "open"), "calls of queue %s need no key", quote(name))
	}
	for _, team := range d.teams {
		switch could, can := before.AllowsTeam(team), after.AllowsTeam(team); {
		case could == can:
		case could:
			d.add(Removed, d.next.place(section, "teams"), "calls of team %s at queue %s are refused", quote(team), quote(name))
		default:
			d.add(Loosened, d.next.place(section, "teams"), "calls of team %s at queue %s are accepted", quote(team), quote(name))
		}
	}
}

func (d *declarationComparison) compareTeams() {
	for _, name := range d.compareNames("team", d.old.cfg.Teams(), d.next.cfg.Teams(), ": its keys are refused") {
		before, _ := d.old.cfg.Team(name)
		after, _ := d.next.cfg.Team(name)
		of := " of team " + quote(name)
		at := func(key string) Place { return d.next.place("team "+name, key) }
		addAmount(&d.changes, "limit"+of, at("limit"), before.Limit(), after.Limit(), false)
		addAmount(&d.changes, "share"+of, at("share"), before.Share(), after.Share(), false)
		addAmount(&d.changes, "timeout"+of, at("timeout"), before.Timeout(), after.Timeout(), false)
		addAltered(&d.changes, "class"+of, at("class"), before.Class(), after.Class())
		addAltered(&d.changes, "idempotent"+of, at("idempotent"), before.IsIdempotent(), after.IsIdempotent())
		addAltered(&d.changes, "run time"+of, at("run-time"), before.RunTime(), after.RunTime())
		addAltered(&d.changes, "latest finish"+of, at("latest-finish"), formatLatestFinish(before), formatLatestFinish(after))
		addAltered(&d.changes, "organisation"+of, at("organisation"), before.Organisation(), after.Organisation())
	}
}

func formatLatestFinish(t decl.Team) string {
	ofDay, has := t.LatestFinish()
	if !has {
		return "none"
	}
	return fmt.Sprintf("%02d:%02d", int(ofDay.Hours()), int(ofDay.Minutes())%minutesPerHour)
}

const minutesPerHour = 60

func (d *declarationComparison) comparePools() {
	for _, name := range d.compareNames("pool", d.old.cfg.Pools(), d.next.cfg.Pools(), "") {
		before, _ := d.old.cfg.Pool(name)
		after, _ := d.next.cfg.Pool(name)
		of := " of pool " + quote(name)
		addAmount(&d.changes, "number of VMs"+of, d.next.place("pool "+name, "vms"), len(before.VMs()), len(after.VMs()), false)
		addAltered(&d.changes, "VMs that must serve"+of, d.next.place("pool "+name, "min-serving"), before.MinServing(), after.MinServing())
		moved := 0
		for _, vm := range before.VMs() {
			if d.next.cfg.HomePool(vm) != name {
				moved++
			}
		}
		if moved > 0 && len(after.VMs()) >= len(before.VMs()) {
			d.add(Altered, d.next.place("pool "+name, "vms"), "%d VMs of pool %s are replaced by others", moved, quote(name))
		}
	}
}

func (d *declarationComparison) compareWaves() {
	for _, name := range d.compareNames("wave", d.old.cfg.Waves(), d.next.cfg.Waves(), "") {
		before, _ := d.old.cfg.Wave(name)
		after, _ := d.next.cfg.Wave(name)
		of := " of wave " + quote(name)
		at := func(key string) Place { return d.next.place("wave "+name, key) }
		addAltered(&d.changes, "pools"+of, at("pools"), strings.Join(before.Pools(), ", "), strings.Join(after.Pools(), ", "))
		addAltered(&d.changes, "VMs that must serve"+of, at("min-serving"), before.MinServing(), after.MinServing())
		addAltered(&d.changes, "pace"+of, at("pace"), before.MaxUnavailable(), after.MaxUnavailable())
		addAltered(&d.changes, "failures"+of, at("abort-faults"), before.MaxFailures(), after.MaxFailures())
		if !slices.Equal(before.FreezeWindows(), after.FreezeWindows()) {
			d.add(Altered, at("freeze"), "freeze windows%s", of)
		}
	}
}

func (d *declarationComparison) compareFleet() {
	before, after := d.old.cfg.Fleet(), d.next.cfg.Fleet()
	at := func(key string) Place { return d.next.place("fleet "+after.Name(), key) }
	addAltered(&d.changes, "name of the fleet", at(""), before.Name(), after.Name())
	addAltered(&d.changes, "data centres", at("data-centres"), strings.Join(before.DataCentres(), ", "), strings.Join(after.DataCentres(), ", "))
	addAltered(&d.changes, "spare pool", at("spare-pool"), before.SparePool(), after.SparePool())
	addAltered(&d.changes, "sizing", at("sizing"), before.Sizing(), after.Sizing())
	addAltered(&d.changes, "least stay of a moved VM", at("minimum-stay"), before.MinimumStay(), after.MinimumStay())
	addAltered(&d.changes, "planner's lease", at("planner-lease"), before.PlannerLease(), after.PlannerLease())
	addAltered(&d.changes, "largest share of ejected VMs in percent", at("ejected-percent"), before.MaxEjectedPercent(), after.MaxEjectedPercent())
	weights := func(f decl.Fleet) [4]float64 {
		return [4]float64{f.WeightShare(), f.WeightMoves(), f.WeightBuffer(), f.WeightRollOut()}
	}
	addAltered(&d.changes, "weights of shares, moves, buffer and roll-out", at("weight-share"), weights(before), weights(after))
}
