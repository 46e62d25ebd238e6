package survey

import (
	"fmt"
	"slices"
	"strings"

	"mangowing/core/decl"
	"mangowing/core/record"
)

// Regenerate returns the declarations updated for a change of all teams' answers from before to after. Sections and list
// items that were not generated from answers are kept. It fails if two teams name different pools for one queue.
func Regenerate(objects []record.Object, before, after []Answers) ([]record.Object, error) {
	if faults := poolConflicts(after); len(faults) > 0 {
		return nil, fmt.Errorf("%s", strings.Join(faults, "\n"))
	}
	g := generator{original: objects, objects: slices.Clone(objects), before: before, after: after}
	g.updateTeams()
	g.updateQueues()
	g.updateWaves()
	return g.objects, nil
}

// poolConflicts returns a message for each team that names another pool for a queue than an earlier team.
func poolConflicts(all []Answers) []string {
	type claim struct{ team, pool string }
	claims := map[string]claim{}
	var out []string
	for _, a := range all {
		for _, u := range a.queueUses() {
			if u.pool == "" {
				continue
			}
			other, isClaimed := claims[u.queue]
			if !isClaimed {
				claims[u.queue] = claim{a.team, u.pool}
			} else if other.pool != u.pool {
				out = append(out, fmt.Sprintf("[answers %s] %s: queue %s is on pool %s in the answers of team %s",
					a.team, KeyWork, u.queue, other.pool, other.team))
			}
		}
	}
	return out
}

type generator struct {
	original []record.Object
	objects  []record.Object
	before   []Answers
	after    []Answers
}

func (g *generator) updateTeams() {
	for _, a := range g.before {
		if !slices.ContainsFunc(g.after, func(b Answers) bool { return b.team == a.team }) {
			g.remove(decl.KindTeam, a.team)
		}
	}
	for _, a := range g.after {
		g.put(teamSection(a))
	}
}

func teamSection(a Answers) record.Object {
	o := record.NewObject(decl.KindTeam, a.team, 0).
		WithField("organisation", a.Value(KeyOrganisation)).
		WithField("share", a.Value(KeyShare)).
		WithField("limit", a.Value(KeyLimit)).
		WithField("class", a.Value(KeyUrgency)).
		WithField("idempotent", a.Value(KeyIdempotent)).
		WithField("run-time", a.Value(KeyRunTime)).
		WithField("timeout", a.Value(KeyPatience))
	if finish := a.Value(KeyLatestFinish); finish != "" {
		o = o.WithField("latest-finish", finish)
	}
	return o
}

func (g *generator) updateQueues() {
	users := usersByQueue(g.after)
	previous := usersByQueue(g.before)
	for _, queue := range mergedNames(users, previous) {
		g.updateQueue(queue, users[queue], previous[queue])
	}
}

type queueUsers struct {
	pool  string
	teams []string
}

func usersByQueue(all []Answers) map[string]queueUsers {
	out := map[string]queueUsers{}
	for _, a := range all {
		for _, u := range a.queueUses() {
			users := out[u.queue]
			users.teams = append(users.teams, a.team)
			if u.pool != "" {
				users.pool = u.pool
			}
			out[u.queue] = users
		}
	}
	return out
}

func (g *generator) updateQueue(name string, users, previous queueUsers) {
	section, isDeclared := g.find(decl.KindQueue, name)
	if !isDeclared {
		section = record.NewObject(decl.KindQueue, name, 0)
	}
	if users.pool != "" {
		section = replaceField(section, "pool", users.pool)
	}
	listed := splitList(fieldValue(section, "teams"))
	if isDeclared && len(listed) == 0 {
		g.put(section) // a queue without a list is open to all teams; a list would exclude the others
		return
	}
	listed = slices.DeleteFunc(listed, func(team string) bool { return slices.Contains(previous.teams, team) })
	listed = append(listed, users.teams...)
	slices.Sort(listed)
	listed = slices.Compact(listed)
	if len(listed) == 0 {
		g.remove(decl.KindQueue, name) // a queue with an empty list would be open to all teams
		return
	}
	g.put(replaceField(section, "teams", strings.Join(listed, ", ")))
}

func (g *generator) updateWaves() {
	for _, o := range g.objects {
		if o.Kind() != decl.KindWave {
			continue
		}
		g.updateWave(o)
	}
}

func (g *generator) updateWave(o record.Object) {
	pools := splitList(fieldValue(o, "pools"))
	previous := requestedWindows(g.original, g.before, pools)
	current := requestedWindows(g.objects, g.after, pools)
	windows := splitList(fieldValue(o, KeyFreeze))
	windows = slices.DeleteFunc(windows, func(w string) bool { return slices.Contains(previous, w) })
	windows = append(windows, current...)
	slices.Sort(windows)
	g.put(replaceField(o, KeyFreeze, strings.Join(slices.Compact(windows), ", ")))
}

// requestedWindows returns the freeze windows requested by teams that use one of the pools. An empty list of pools means
// all.
func requestedWindows(objects []record.Object, all []Answers, pools []string) []string {
	var out []string
	for _, a := range all {
		if usesPool(objects, a, pools) {
			out = append(out, splitList(a.Value(KeyFreeze))...)
		}
	}
	return out
}

func usesPool(objects []record.Object, a Answers, pools []string) bool {
	if len(pools) == 0 {
		return true
	}
	for _, u := range a.queueUses() {
		pool := u.pool
		if i := indexOf(objects, decl.KindQueue, u.queue); pool == "" && i >= 0 {
			pool = fieldValue(objects[i], "pool")
		}
		if slices.Contains(pools, pool) {
			return true
		}
	}
	return false
}

func indexOf(objects []record.Object, kind, name string) int {
	return slices.IndexFunc(objects, func(o record.Object) bool { return o.Kind() == kind && o.Name() == name })
}

func (g *generator) find(kind, name string) (record.Object, bool) {
	if i := indexOf(g.objects, kind, name); i >= 0 {
		return g.objects[i], true
	}
	return record.Object{}, false
}

func (g *generator) put(o record.Object) {
	i := indexOf(g.objects, o.Kind(), o.Name())
	if i < 0 {
		g.objects = append(g.objects, o)
		return
	}
	g.objects[i] = o
}

func (g *generator) remove(kind, name string) {
	if i := indexOf(g.objects, kind, name); i >= 0 {
		g.objects = slices.Delete(g.objects, i, i+1)
	}
}

func fieldValue(o record.Object, key string) string {
	for i := range o.Len() {
		if k, v := o.Field(i); k == key {
			return v
		}
	}
	return ""
}

// replaceField returns the section with the field replaced in place, or appended if it is new. An empty value removes the
// field.
func replaceField(o record.Object, key, value string) record.Object {
	out := record.NewObject(o.Kind(), o.Name(), o.Base())
	isPlaced := value == ""
	for i := range o.Len() {
		k, v := o.Field(i)
		switch {
		case k != key:
			out = out.WithField(k, v)
		case !isPlaced:
			out = out.WithField(key, value)
			isPlaced = true
		}
	}
	if !isPlaced {
		out = out.WithField(key, value)
	}
	return out
}

func mergedNames(a, b map[string]queueUsers) []string {
	var out []string
	for name := range a {
		out = append(out, name)
	}
	for name := range b {
		out = append(out, name)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
