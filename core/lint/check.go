package lint

// Check adds what contradicts in a configuration for jobs, or can't match, to the report.
func Check(r *Report, cfg *Configuration, known Context) {
	c := &checker{Report: r, cfg: cfg, known: known}
	c.checkVersion()
	c.checkPools()
	c.checkQueues()
	c.checkHiddenQueues()
	c.checkTeams()
	c.checkKeys()
	c.checkRequestLimits()
	CheckWaves(c.Report, known)
	c.checkLabels()
}

type checker struct {
	*Report
	cfg   *Configuration
	known Context
	pools map[string]*Pool
}

func (c *checker) checkVersion() {
	if c.cfg.Version < 1 {
		c.Add(Error, "version-invalid", c.cfg.Places.Of(FieldVersion), "version %d: expected at least 1, since gates only apply a version above the one in force", c.cfg.Version)
	}
}

func (c *checker) checkPools() {
	c.pools = make(map[string]*Pool, len(c.cfg.Pools))
	machines := map[string]int{}
	for i := range c.known.Machines {
		machines[c.known.Machines[i].Pool]++
	}
	served := map[string]bool{}
	for i := range c.cfg.Queues {
		served[c.cfg.Queues[i].Pool] = true
	}
	for i := range c.cfg.Pools {
		p := &c.cfg.Pools[i]
		if !c.checkName("pool", p.Name, p.Places, c.pools[p.Name] != nil) {
			continue
		}
		c.pools[p.Name] = p
		if len(c.known.Machines) > 0 && machines[p.Name] == 0 {
			c.Add(Warning, "pool-without-machines", p.Places.Of(FieldName), "pool %s has no machine", quote(p.Name))
		}
		if !served[p.Name] && !p.Standby {
			c.Add(Warning, "pool-without-queue", p.Places.Of(FieldName), "no queue uses pool %s", quote(p.Name))
		}
	}
}

// checkName reports an empty name or one that is declared already, and whether the entry is to be considered further.
func (c *checker) checkName(kind, name string, at Places, declared bool) bool {
	switch {
	case name == "":
		c.Add(Error, "name-missing", at.Of(FieldName), "%s without a name", kind)
		return false
	case declared:
		c.Add(Error, "name-duplicate", at.Of(FieldName), "%s %s is declared already; the last one replaces the others", kind, quote(name))
		return false
	default:
		return true
	}
}

func (c *checker) checkRequestLimits() {
	l, at := c.cfg.Limits, c.cfg.Places
	for _, amount := range []struct {
		field Field
		value int64
	}{
		{FieldBody, int64(l.BodyBytes)},
		{FieldHeader, int64(l.HeaderBytes)},
		{FieldHeaderTime, int64(l.HeaderTimeout)},
		{FieldIdleTime, int64(l.IdleTimeout)},
	} {
		if amount.value < 0 {
			c.Add(Error, "limit-negative", at.Of(amount.field), "%s is negative", amount.field)
		}
	}
	if l.HeaderBytes > 0 && l.HeaderBytes < minHeaderBytes {
		c.Add(Warning, "header-limit-small", at.Of(FieldHeader), "%d bytes don't hold the headers of an ordinary request: expected at least %d", l.HeaderBytes, minHeaderBytes)
	}
	if l.IdleTimeout > 0 && l.HeaderTimeout > l.IdleTimeout {
		c.Add(Warning, "timeouts-contradict", at.Of(FieldHeaderTime), "a header may take %v, but a connection is closed after %v", l.HeaderTimeout, l.IdleTimeout)
	}
}

// A request with a key, a deadline and the headers that common clients add takes up to about this much.
const minHeaderBytes = 512

func (c *checker) checkLabels() {
	for _, label := range c.known.Labels {
		if len(c.known.Machines) > 0 && !c.known.hasLabel(label) {
			where := "the fleet"
			if label.Pool != "" {
				where = "pool " + quote(label.Pool)
			}
			c.Add(Warning, "label-without-worker", Place{}, "no worker of %s has the label %s", where, quote(label.Name))
		}
	}
}

func (x *Context) hasLabel(wanted Label) bool {
	for i := range x.Machines {
		m := &x.Machines[i]
		if wanted.Pool != "" && m.Pool != wanted.Pool {
			continue
		}
		for _, name := range m.Labels {
			if name == wanted.Name {
				return true
			}
		}
	}
	return false
}
