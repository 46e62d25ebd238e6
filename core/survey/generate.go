package survey

import (
	"fmt"
	"slices"
	"strings"

	"mangowing/core/decl"
	"mangowing/core/record"
)

// Regenerate returns the declarations after the answers of all teams changed from before to after.
// Sections and list items that do not stem from answers stay as they are.
func Regenerate(objects []record.Object, before, after []Answers) ([]record.Object, error) {
	if faults := clashes(after); len(faults) > 0 {
		return nil, fmt.Errorf("%s", strings.Join(faults, "\n"))
	}
	g := generator{start: objects, objects: slices.Clone(objects), before: before, after: after}
	g.teams()
	g.queues()
	g.waves()
	return g.objects, nil
}

// clashes returns where two teams name different pools for one queue.
func clashes(all []Answers) []string {
	type claim struct{ team, pool string }
	first := map[string]claim{}
	var out []string
	for _, a := range all {
		for _, u := range a.uses() {
			if u.pool == "" {
				continue
			}
			other, taken := first[u.queue]
			if !taken {
				first[u.queue] = claim{a.team, u.pool}
			} else if other.pool != u.pool {
				out = append(out, fmt.Sprintf("[answers %s] %s: queue %s is on pool %s in the answers of team %s",
					a.team, KeyWork, u.queue, other.pool, other.team))
			}
		}
	}
	return out
}

type generator struct {
	start   []record.Object
	objects []record.Object
	before  []Answers
	after   []Answers
}

func (g *generator) teams() {
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

func (g *generator) queues() {
	users := usersOf(g.after)
	old := usersOf(g.before)
	for _, queue := range mergedNames(users, old) {
		g.queue(queue, users[queue], old[queue])
	}
}

type queueUsers struct {
	pool  string
	teams []string
}

func usersOf(all []Answers) map[string]queueUsers {
	out := map[string]queueUsers{}
	for _, a := range all {
		for _, u := range a.uses() {
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

func (g *generator) queue(name string, users, old queueUsers) {
	section, declared := g.find(decl.KindQueue, name)
	if !declared {
		section = record.NewObject(decl.KindQueue, name, 0)
	}
	if users.pool != "" {
		section = withField(section, "pool", users.pool)
	}
	listed := splitList(field(section, "teams"))
	if declared && len(listed) == 0 {
		g.put(section) // open to all teams already; listing some would shut the others out
		return
	}
	listed = slices.DeleteFunc(listed, func(team string) bool { return slices.Contains(old.teams, team) })
	listed = append(listed, users.teams...)
	slices.Sort(listed)
	listed = slices.Compact(listed)
	if len(listed) == 0 {
		g.remove(decl.KindQueue, name) // an empty list would open the queue to every team
		return
	}
	g.put(withField(section, "teams", strings.Join(listed, ", ")))
}

func (g *generator) waves() {
	for _, o := range g.objects {
		if o.Kind() != decl.KindWave {
			continue
		}
		g.wave(o)
	}
}

func (g *generator) wave(o record.Object) {
	pools := splitList(field(o, "pools"))
	old := windows(g.start, g.before, pools)
	now := windows(g.objects, g.after, pools)
	windows := splitList(field(o, KeyFreeze))
	windows = slices.DeleteFunc(windows, func(w string) bool { return slices.Contains(old, w) })
	windows = append(windows, now...)
	slices.Sort(windows)
	g.put(withField(o, KeyFreeze, strings.Join(slices.Compact(windows), ", ")))
}

// windows returns the freeze windows that teams with a queue on one of the pools asked for; no pools means all.
func windows(objects []record.Object, all []Answers, pools []string) []string {
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
	for _, u := range a.uses() {
		pool := u.pool
		if i := index(objects, decl.KindQueue, u.queue); pool == "" && i >= 0 {
			pool = field(objects[i], "pool")
		}
		if slices.Contains(pools, pool) {
			return true
		}
	}
	return false
}

func index(objects []record.Object, kind, name string) int {
	return slices.IndexFunc(objects, func(o record.Object) bool { return o.Kind() == kind && o.Name() == name })
}

func (g *generator) find(kind, name string) (record.Object, bool) {
	if i := index(g.objects, kind, name); i >= 0 {
		return g.objects[i], true
	}
	return record.Object{}, false
}

func (g *generator) put(o record.Object) {
	i := index(g.objects, o.Kind(), o.Name())
	if i < 0 {
		g.objects = append(g.objects, o)
		return
	}
	g.objects[i] = o
}

func (g *generator) remove(kind, name string) {
	if i := index(g.objects, kind, name); i >= 0 {
		g.objects = slices.Delete(g.objects, i, i+1)
	}
}

func field(o record.Object, key string) string {
	for i := range o.Len() {
		if k, v := o.Field(i); k == key {
			return v
		}
	}
	return ""
}

// withField returns the section with the field replaced in its place, appended, or left out where the value is empty.
func withField(o record.Object, key, value string) record.Object {
	out := record.NewObject(o.Kind(), o.Name(), o.Base())
	done := value == ""
	for i := range o.Len() {
		k, v := o.Field(i)
		switch {
		case k != key:
			out = out.WithField(k, v)
		case !done:
			out = out.WithField(key, value)
			done = true
		}
	}
	if !done {
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
