package lint

import (
	"fmt"
	"strings"

	"mangowing/core/setup"
)

func (c *checker) checkTeams() {
	seen := map[string]bool{}
	for i := range c.cfg.Teams {
		t := &c.cfg.Teams[i]
		if c.checkName("team", t.Name, t.Places, seen[t.Name]) {
			seen[t.Name] = true
		}
		if len(t.Keys) == 0 {
			c.Add(Warning, "team-without-keys", t.Places.Of(FieldKeys), "team %s has no key, so only calls without one can be made", quote(t.Name))
		}
		c.checkTeamLimit(t)
	}
}

func (c *checker) checkTeamLimit(t *Team) {
	limit, at := t.Limit, t.Places.Of(FieldLimit)
	isLimited := limit != setup.Resources{}
	switch {
	case t.Weight < 0:
		c.Add(Error, "value-negative", t.Places.Of(FieldWeight), "weight is negative")
	case min(limit.CPU, limit.MemMB, limit.GPU) < 0:
		c.Add(Error, "limit-negative", at, "a limit below 0 lets no task of team %s start", quote(t.Name))
		return
	case t.Weight > 0 && !isLimited:
		c.Add(Warning, "weight-without-limit", t.Places.Of(FieldWeight), "team %s has a weight, but no limit on what it holds", quote(t.Name))
	case t.Weight == 0 && isLimited:
		c.Add(Warning, "limit-without-weight", at, "team %s has a limit, but no weight: its rate of jobs is not bounded", quote(t.Name))
	}
	if amount, ok := firstAmount(c.known.Task.Needs, limit, func(task, limit int) bool { return limit > 0 && limit < task }); ok {
		c.Add(Error, "limit-below-task", at, "the limit of team %s is less than one task: %s", quote(t.Name), amount)
		return
	}
	c.checkShare(t)
	if len(c.known.Machines) > 0 {
		if amount, ok := firstAmount(c.known.capacity(), limit, func(fleet, limit int) bool { return limit > fleet }); ok {
			c.Add(Warning, "limit-over-fleet", at, "the limit of team %s is more than the fleet has, so it never applies: %s", quote(t.Name), amount)
		}
	}
}

// checkShare reports a limit that is less than what the team's weight, which is a rate of jobs a second, holds on average.
func (c *checker) checkShare(t *Team) {
	task := c.known.Task
	needed := t.Weight * task.Needs.Cores() * task.Duration.Seconds()
	if cores := t.Limit.Cores(); t.Limit.CPU > 0 && needed > cores {
		c.Add(Warning, "limit-below-share", t.Places.Of(FieldLimit), "%g jobs a second, the weight of team %s, hold %.3g cores at least, but its limit is %.3g",
			t.Weight, quote(t.Name), needed, cores)
	}
}

// firstAmount returns the first kind of resource that differs in the given way, described for a message.
func firstAmount(a, limit setup.Resources, differs func(a, limit int) bool) (string, bool) {
	for _, amount := range []struct {
		name     string
		a, limit int
	}{
		{"thousandths of a core", a.CPU, limit.CPU}, {"MB of memory", a.MemMB, limit.MemMB}, {"GPUs", a.GPU, limit.GPU},
	} {
		if differs(amount.a, amount.limit) {
			return fmt.Sprintf("%d against %d %s", amount.limit, amount.a, amount.name), true
		}
	}
	return "", false
}

// checkKeys reports keys that don't identify one team, or that no call can carry. Keys are secrets, so no message holds one.
func (c *checker) checkKeys() {
	type owner struct {
		team int
		at   Place
	}
	owners := map[string]owner{}
	for i := range c.cfg.Teams {
		t := &c.cfg.Teams[i]
		for n, key := range t.Keys {
			at := t.keyPlace(n)
			first, isTaken := owners[key]
			switch {
			case key == "":
				c.Add(Error, "key-empty", at, "an empty key of team %s admits every call without a key", quote(t.Name))
				continue
			case strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r > '~' }):
				c.Add(Error, "key-never-matches", at, "a key of team %s has characters that no header carries", quote(t.Name))
			case isTaken && first.team == i:
				c.Add(Warning, "key-repeated", at, "a key of team %s is listed twice (%s)", quote(t.Name), first.at)
			case isTaken:
				c.Add(Error, "key-in-two-teams", at, "a key of team %s is also a key of team %s (%s); only the last one counts",
					quote(t.Name), quote(c.cfg.Teams[first.team].Name), first.at)
			}
			if !isTaken {
				owners[key] = owner{i, at}
			}
		}
	}
}

func (t *Team) keyPlace(n int) Place {
	if n < len(t.KeyPlaces) {
		return t.KeyPlaces[n]
	}
	return t.Places.Of(FieldKeys)
}
