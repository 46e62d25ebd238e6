package lint

import (
	"strings"

	"mangowing/core/decl"
)

func quote(name string) string { return decl.QuoteValue(name) }

func (c *checker) checkQueues() {
	seen := map[string]bool{}
	for i := range c.cfg.Queues {
		q := &c.cfg.Queues[i]
		if c.checkName("queue", q.Name, q.Places, seen[q.Name]) {
			seen[q.Name] = true
		}
		c.checkRoute(q)
		c.checkQueuePool(q)
		c.checkObjective(q)
		c.checkAdvice(q)
	}
}

// checkRoute reports hosts and prefixes that no call can have. Gates cut the port off a call's host, and paths begin with a
// slash.
func (c *checker) checkRoute(q *Queue) {
	switch {
	case q.Host == "":
		c.Add(Error, "route-never-matches", q.Places.Of(FieldHost), "queue %s has no host", quote(q.Name))
	case strings.Contains(q.Host, ":"):
		c.Add(Error, "route-never-matches", q.Places.Of(FieldHost), "host %s: a call's host is compared without its port, so none matches", quote(q.Host))
	case strings.ContainsFunc(q.Host, isNeverInHost):
		c.Add(Error, "route-never-matches", q.Places.Of(FieldHost), "host %s: no call has such a host", quote(q.Host))
	}
	switch {
	case !strings.HasPrefix(q.Prefix, "/"):
		c.Add(Error, "route-never-matches", q.Places.Of(FieldPrefix), "prefix %s: expected one that begins with a slash", quote(q.Prefix))
	case strings.ContainsAny(q.Prefix, "?#"):
		c.Add(Error, "route-never-matches", q.Places.Of(FieldPrefix), "prefix %s: the path of a call ends before '?' and '#'", quote(q.Prefix))
	}
}

func isNeverInHost(r rune) bool { return r <= ' ' || r > '~' || strings.ContainsRune("/?#@*", r) }

func (c *checker) checkQueuePool(q *Queue) {
	p := c.pools[q.Pool]
	switch {
	case q.Pool == "":
		c.Add(Error, "pool-unknown", q.Places.Of(FieldPool), "queue %s has no pool", quote(q.Name))
	case p == nil:
		c.Add(Error, "pool-unknown", q.Places.Of(FieldPool), "pool %s is not declared", quote(q.Pool))
	case p.Standby:
		c.Add(Warning, "queue-on-standby", q.Places.Of(FieldPool), "the workers of pool %s are switched off", quote(q.Pool))
	}
}

func (c *checker) checkObjective(q *Queue) {
	for _, amount := range []struct {
		field Field
		value float64
	}{
		{FieldPriority, float64(q.Priority)},
		{FieldAttempts, float64(q.MaxAttempts)},
		{FieldSlack, q.SlackFactor},
		{FieldTarget, q.TargetLatency.Seconds()},
		{FieldTimeout, q.Timeout.Seconds()},
	} {
		if amount.value < 0 {
			c.Add(Error, "value-negative", q.Places.Of(amount.field), "%s is negative", amount.field)
		}
	}
	switch {
	case q.SlackFactor == 0 && q.TargetLatency == 0:
		c.Add(Warning, "objective-missing", q.Places.Of(FieldSlack), "queue %s has neither a slack factor nor a target latency: every job is late from the start", quote(q.Name))
	case q.SlackFactor >= 0 && q.SlackFactor < 1 && q.TargetLatency == 0:
		c.Add(Warning, "objective-unreachable", q.Places.Of(FieldSlack), "a slack factor of %g without a target latency is less than a job's critical path", q.SlackFactor)
	case q.Timeout > 0 && q.TargetLatency > 0 && q.Timeout < q.TargetLatency:
		c.Add(Warning, "timeout-below-target", q.Places.Of(FieldTimeout), "a call may take %v, but the target latency is %v", q.Timeout, q.TargetLatency)
	}
}

func (c *checker) checkAdvice(q *Queue) {
	a := q.Advice
	switch {
	case !a.IsRequired():
	case min(a.CallTime, a.TimePerWorker, a.Validity) < 0:
		c.Add(Error, "value-negative", q.Places.Of(FieldAdvice), "a duration of the policy service's calls is negative")
	case a.Validity <= a.CallTime+a.TimePerWorker:
		c.Add(Error, "ticket-expires-early", q.Places.Of(FieldAdvice), "a ticket is valid for %v, but a call for one worker takes %v", a.Validity, a.CallTime+a.TimePerWorker)
	}
}

// maxIDDigits is the length of a job's id, which follows the prefix in a path: hexadecimal digits.
const maxIDDigits = 16

type routeKey struct{ host, prefix string }

// checkHiddenQueues reports queues that get no calls, or not those of some ids, since another queue's prefix goes first.
func (c *checker) checkHiddenQueues() {
	first := make(map[routeKey]*Queue, len(c.cfg.Queues))
	for i := range c.cfg.Queues {
		q := &c.cfg.Queues[i]
		key := routeKey{strings.ToLower(q.Host), q.Prefix}
		if other := first[key]; other != nil {
			c.Add(Error, "route-hidden", q.Places.Of(FieldPrefix), "queue %s gets no calls: queue %s (%s) has the same host and prefix and goes first",
				quote(q.Name), quote(other.Name), other.Places.Of(FieldPrefix))
			continue
		}
		first[key] = q
	}
	for i := range c.cfg.Queues {
		q := &c.cfg.Queues[i]
		shorter := q.Prefix
		for range maxIDDigits {
			if shorter == "" || !isHexDigit(shorter[len(shorter)-1]) {
				break
			}
			shorter = shorter[:len(shorter)-1]
			if other := first[routeKey{strings.ToLower(q.Host), shorter}]; other != nil {
				c.Add(Warning, "route-partly-hidden", other.Places.Of(FieldPrefix), "calls of queue %s whose ids begin with %q go to queue %s (%s) instead",
					quote(other.Name), q.Prefix[len(shorter):], quote(q.Name), q.Places.Of(FieldPrefix))
			}
		}
	}
}

func isHexDigit(b byte) bool {
	return b >= '0' && b <= '9' || b >= 'a' && b <= 'f' || b >= 'A' && b <= 'F'
}
