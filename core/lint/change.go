package lint

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mangowing/core/setup"
)

// Effect is what a change means for callers. The order of the values is the order in which changes are listed.
type Effect uint8

// Effects of changes, those that callers notice most first.
const (
	Removed    Effect = iota // calls, keys or teams that were accepted are refused
	Redirected               // calls go to another queue, pool or team
	Tightened                // less is accepted or done than before
	Altered                  // jobs are treated in another way
	Loosened                 // more is accepted or done than before
	Added                    // what did not exist before
)

// String returns the effect's name, such as removed.
func (e Effect) String() string {
	return [...]string{"removed", "redirected", "tightened", "altered", "loosened", "added"}[min(e, Added)]
}

// Change is one difference from the version in force. Its place is in the new version, or in the old one for what is removed.
type Change struct {
	Effect Effect
	Place  Place
	Text   string
}

// changes collects changes in the order in which they are found; what is found first changes more for callers.
type changes struct {
	list []Change
}

func (c *changes) add(effect Effect, at Place, format string, args ...any) {
	c.list = append(c.list, Change{effect, at, fmt.Sprintf(format, args...)})
}

// sorted returns the changes by effect, in the order of their addition.
func (c *changes) sorted() []Change {
	slices.SortStableFunc(c.list, func(a, b Change) int { return cmp.Compare(a.Effect, b.Effect) })
	return c.list
}

// addAmount adds the change of an amount of which more is better for callers. If zeroIsNone is set, 0 stands for no bound.
func addAmount[N cmp.Ordered](c *changes, what string, at Place, before, after N, zeroIsNone bool) {
	var zero N
	if before == after {
		return
	}
	effect := Loosened
	if isBoundless := zeroIsNone && before == zero; isBoundless || after < before && (!zeroIsNone || after != zero) {
		effect = Tightened
	}
	c.add(effect, at, "%s: %s to %s", what, formatAmount(before, zeroIsNone), formatAmount(after, zeroIsNone))
}

func formatAmount[N cmp.Ordered](n N, zeroIsNone bool) string {
	var zero N
	if zeroIsNone && n == zero {
		return "none"
	}
	return fmt.Sprint(n)
}

func addAltered[V comparable](c *changes, what string, at Place, before, after V) {
	if before != after {
		c.add(Altered, at, "%s: %v to %v", what, before, after)
	}
}

// CheckOrder reports a version that gates don't apply while the other one is in force.
func CheckOrder(r *Report, inForce, next *Configuration) {
	if next.Version <= inForce.Version {
		r.Add(Error, "version-not-newer", next.Places.Of(FieldVersion), "version %d isn't above version %d, which is in force, so no gate applies it", next.Version, inForce.Version)
	}
}

// Compare returns what changes when the next configuration replaces the one in force, in the order of what it means for callers.
func Compare(inForce, next *Configuration) []Change {
	d := &comparison{old: inForce, next: next, oldSetup: inForce.setup(), nextSetup: next.setup()}
	d.compareRoutes()
	d.compareKeys()
	d.compareTeams()
	d.compareRequestLimits()
	d.compareQueues()
	d.comparePools()
	return d.sorted()
}

type comparison struct {
	changes
	old, next           *Configuration
	oldSetup, nextSetup *setup.Config
}

// compareRoutes follows a call of each queue in force through the next configuration.
func (d *comparison) compareRoutes() {
	places := map[string]Places{}
	for i := range d.next.Queues {
		places[d.next.Queues[i].Name] = d.next.Queues[i].Places
	}
	for i := range d.old.Queues {
		q := &d.old.Queues[i]
		if !d.isReached(q) {
			continue
		}
		call := q.Host + q.Prefix
		target, _, found := d.nextSetup.Match(q.Host, q.Prefix+sampleID)
		switch {
		case !found:
			d.add(Removed, q.Places.Of(FieldPrefix), "calls of %s are refused: queue %s had them", quote(call), quote(q.Name))
		case target.Pool != q.Pool:
			d.add(Redirected, places[target.Name].Of(FieldPool), "calls of %s go to pool %s instead of %s (queue %s)", quote(call), quote(target.Pool), quote(q.Pool), quote(target.Name))
		case target.Name != q.Name:
			d.add(Redirected, places[target.Name].Of(FieldPrefix), "calls of %s go to queue %s instead of %s", quote(call), quote(target.Name), quote(q.Name))
		}
		if found && q.KeyOptional && !target.KeyOptional {
			d.add(Removed, places[target.Name].Of(FieldKeyOptional), "calls of %s without a key are refused", quote(call))
		}
	}
	for i := range d.next.Queues {
		q := &d.next.Queues[i]
		target, _, found := d.oldSetup.Match(q.Host, q.Prefix+sampleID)
		switch {
		case !found:
			d.add(Added, q.Places.Of(FieldPrefix), "calls of %s are accepted by queue %s", quote(q.Host+q.Prefix), quote(q.Name))
		case target.Prefix != q.Prefix && target.Name != q.Name:
			d.add(Redirected, q.Places.Of(FieldPrefix), "calls of %s go to queue %s instead of %s", quote(q.Host+q.Prefix), quote(q.Name), quote(target.Name))
		case q.KeyOptional && !target.KeyOptional:
			d.add(Loosened, q.Places.Of(FieldKeyOptional), "calls of %s need no key", quote(q.Host+q.Prefix))
		}
	}
}

// sampleID stands for an id. It isn't a hexadecimal digit, so no longer prefix that ends in digits matches it.
const sampleID = "~"

// isReached reports whether the queue in force gets the calls of its prefix.
func (d *comparison) isReached(q *Queue) bool {
	target, _, found := d.oldSetup.Match(q.Host, q.Prefix+sampleID)
	return found && target.Name == q.Name
}

func (d *comparison) compareKeys() {
	places := map[string]Place{}
	for i := range d.next.Teams {
		t := &d.next.Teams[i]
		for n, key := range t.Keys {
			places[key] = t.keyPlace(n)
			if _, known := d.oldSetup.TeamByKey(key); !known {
				d.add(Added, t.keyPlace(n), "a key of team %s is accepted", quote(t.Name))
			}
		}
	}
	for i := range d.old.Teams {
		t := &d.old.Teams[i]
		for n, key := range t.Keys {
			if owner, _ := d.oldSetup.TeamByKey(key); owner != t.Name {
				continue
			}
			owner, stays := d.nextSetup.TeamByKey(key)
			switch {
			case !stays:
				d.add(Removed, t.keyPlace(n), "a key of team %s is refused", quote(t.Name))
			case owner != t.Name:
				d.add(Redirected, places[key], "a key of team %s counts for team %s", quote(t.Name), quote(owner))
			}
		}
	}
}

func (d *comparison) compareTeams() {
	old := make(map[string]*Team, len(d.old.Teams))
	for i := range d.old.Teams {
		old[d.old.Teams[i].Name] = &d.old.Teams[i]
	}
	for i := range d.next.Teams {
		t := &d.next.Teams[i]
		before := old[t.Name]
		if before == nil {
			d.add(Added, t.Places.Of(FieldName), "team %s", quote(t.Name))
			continue
		}
		of, at := " of team "+quote(t.Name), t.Places.Of(FieldLimit)
		addAmount(&d.changes, "limit"+of+" in thousandths of a core", at, before.Limit.CPU, t.Limit.CPU, true)
		addAmount(&d.changes, "limit"+of+" in MB", at, before.Limit.MemMB, t.Limit.MemMB, true)
		addAmount(&d.changes, "limit"+of+" in GPUs", at, before.Limit.GPU, t.Limit.GPU, true)
		// A weight of 0 means no bound on the rate of jobs.
		addAmount(&d.changes, "weight"+of, t.Places.Of(FieldWeight), before.Weight, t.Weight, true)
	}
	for i := range d.old.Teams {
		if _, stays := d.nextSetup.Team(d.old.Teams[i].Name); !stays {
			d.add(Removed, d.old.Teams[i].Places.Of(FieldName), "team %s", quote(d.old.Teams[i].Name))
		}
	}
}

func (d *comparison) compareRequestLimits() {
	before, after, at := d.old.Limits, d.next.Limits, d.next.Places
	addAmount(&d.changes, "largest body of a call in bytes", at.Of(FieldBody), before.BodyBytes, after.BodyBytes, true)
	addAmount(&d.changes, "largest header of a call in bytes", at.Of(FieldHeader), before.HeaderBytes, after.HeaderBytes, true)
	addAmount(&d.changes, "time for a call's header", at.Of(FieldHeaderTime), before.HeaderTimeout, after.HeaderTimeout, true)
	addAmount(&d.changes, "time after which an idle connection is closed", at.Of(FieldIdleTime), before.IdleTimeout, after.IdleTimeout, true)
}

func (d *comparison) compareQueues() {
	old := make(map[string]*Queue, len(d.old.Queues))
	for i := range d.old.Queues {
		old[d.old.Queues[i].Name] = &d.old.Queues[i]
	}
	for i := range d.next.Queues {
		q := &d.next.Queues[i]
		before := old[q.Name]
		if before == nil {
			continue
		}
		of := " of queue " + quote(q.Name)
		addAmount(&d.changes, "duration of a call"+of, q.Places.Of(FieldTimeout), before.Timeout, q.Timeout, true)
		addAmount(&d.changes, "attempts"+of, q.Places.Of(FieldAttempts), max(1, before.MaxAttempts), max(1, q.MaxAttempts), false)
		if before.Priority != q.Priority {
			effect := Loosened
			if q.Priority > before.Priority {
				effect = Tightened
			}
			d.add(effect, q.Places.Of(FieldPriority), "priority%s: %d to %d; 0 is the most urgent", of, before.Priority, q.Priority)
		}
		addAltered(&d.changes, "slack factor"+of, q.Places.Of(FieldSlack), before.SlackFactor, q.SlackFactor)
		addAltered(&d.changes, "target latency"+of, q.Places.Of(FieldTarget), before.TargetLatency, q.TargetLatency)
		if before.Advice != q.Advice {
			d.add(Altered, q.Places.Of(FieldAdvice), "policy service%s: %s to %s", of, formatAdvice(before.Advice), formatAdvice(q.Advice))
		}
	}
}

func formatAdvice(a setup.AdviceConfig) string {
	if !a.IsRequired() {
		return "none"
	}
	return fmt.Sprintf("calls of %v and %v a worker, tickets for %v", a.CallTime, a.TimePerWorker, a.Validity.Round(time.Millisecond))
}

func (d *comparison) comparePools() {
	for i := range d.next.Pools {
		p := &d.next.Pools[i]
		before, existed := d.oldSetup.Pool(p.Name)
		if !existed {
			d.add(Added, p.Places.Of(FieldName), "pool %s", quote(p.Name))
			continue
		}
		of := " of pool " + quote(p.Name)
		addAltered(&d.changes, "standby"+of, p.Places.Of(FieldStandby), before.Standby, p.Standby)
		addAltered(&d.changes, "enforced capacity"+of, p.Places.Of(FieldEnforces), before.EnforcesCapacity, p.EnforcesCapacity)
	}
	for i := range d.old.Pools {
		if _, stays := d.nextSetup.Pool(d.old.Pools[i].Name); !stays {
			d.add(Removed, d.old.Pools[i].Places.Of(FieldName), "pool %s", quote(d.old.Pools[i].Name))
		}
	}
}
