package lint

import (
	"errors"
	"maps"
	"path/filepath"
	"slices"
	"time"

	"mangowing/core/decl"
)

// Declarations are compiled declarations with the places of their sections.
type Declarations struct {
	cfg       *decl.Config
	positions decl.Positions
}

// ReadDeclarations reads and compiles a directory's .ini files. Every fault is added to the report; with one, ok is false.
func ReadDeclarations(dir string, r *Report) (d Declarations, ok bool) {
	objects, err := decl.ReadDirectory(dir)
	var syntax *decl.SyntaxError
	var duplicate *decl.DuplicateError
	isDuplicate := errors.As(err, &duplicate)
	switch {
	case errors.As(err, &syntax):
		r.Add(Error, "syntax", Place{File: filepath.Base(syntax.Path), Line: syntax.Line}, "%v", syntax.Unwrap())
		return Declarations{}, false
	case err != nil && !isDuplicate:
		r.Add(Error, "unreadable", Place{File: dir}, "%v", err)
		return Declarations{}, false
	}
	positions, err := decl.ReadPositions(dir)
	if err != nil {
		r.Add(Error, "unreadable", Place{File: dir}, "%v", err)
		return Declarations{}, false
	}
	d = Declarations{positions: positions}
	if isDuplicate {
		r.Add(Error, "section-duplicate", d.place(duplicate.Section, ""), "declared twice")
		return Declarations{}, false
	}
	if len(objects) > maxSections {
		r.Add(Error, "too-many-sections", Place{File: dir}, "%d sections, expected at most %d", len(objects), maxSections)
		return Declarations{}, false
	}
	cfg, faults := decl.Compile(objects)
	for _, f := range faults {
		r.Add(Error, "declaration", d.place(f.Section(), f.Key()), "%s", f.Text())
	}
	d.cfg = cfg
	return d, len(faults) == 0
}

// maxSections bounds the time of the checks, which compare sections with each other.
const maxSections = 10_000

func (d Declarations) place(section, key string) Place {
	file, line := d.positions.At(section, key)
	path := "[" + section + "]"
	if key != "" {
		path += " " + key
	}
	return Place{File: file, Line: line, Path: path}
}

// CheckDeclarations adds what contradicts in the declarations, or can't match, to the report.
func CheckDeclarations(r *Report, d Declarations, known Context) {
	c := &declarationChecker{Report: r, Declarations: d, known: known, shares: map[string]int{}}
	for _, name := range d.cfg.Queues() {
		q, _ := d.cfg.Queue(name)
		c.queues = append(c.queues, q)
	}
	if d.cfg.Fleet().Name() == "" {
		r.Add(Error, "fleet-missing", Place{}, "no [fleet] section")
	}
	c.checkSizing()
	c.checkPools()
	c.checkQueues()
	for _, name := range d.cfg.Teams() {
		team, _ := d.cfg.Team(name)
		c.checkTeam(team)
	}
	for _, name := range d.cfg.Waves() {
		wave, _ := d.cfg.Wave(name)
		c.checkWave(wave)
	}
}

type declarationChecker struct {
	*Report
	Declarations
	known  Context
	queues []decl.Queue   // sorted by name
	shares map[string]int // sums of shares by pool
}

func (c *declarationChecker) checkSizing() {
	f := c.cfg.Fleet()
	if f.Name() != "" && f.WeightShare()+f.WeightMoves()+f.WeightBuffer()+f.WeightRollOut() == 0 {
		c.Add(Warning, "weights-zero", c.place("fleet "+f.Name(), "weight-share"), "all weights are 0, so every size of a pool counts as equally good")
	}
	if f.MaxEjectedPercent() > percent {
		c.Add(Warning, "percent-over-100", c.place("fleet "+f.Name(), "ejected-percent"), "%d of 100", f.MaxEjectedPercent())
	}
}

const percent = 100

func (c *declarationChecker) checkPools() {
	served := map[string]bool{c.cfg.Fleet().SparePool(): true}
	for _, q := range c.queues {
		served[q.Pool()] = true
	}
	for _, name := range c.cfg.Pools() {
		p, _ := c.cfg.Pool(name)
		section := "pool " + name
		switch {
		case len(p.VMs()) == 0:
			c.Add(Warning, "pool-without-machines", c.place(section, "vms"), "pool %s has no VM", quote(name))
		case p.MinServing() > len(p.VMs()):
			c.Add(Error, "minimum-over-pool", c.place(section, "min-serving"), "%d VMs must serve, but the pool has %d", p.MinServing(), len(p.VMs()))
		}
		if !served[name] {
			c.Add(Warning, "pool-without-queue", c.place(section, ""), "no queue uses pool %s, and it isn't the spare pool", quote(name))
		}
	}
}

func (c *declarationChecker) checkQueues() {
	for _, q := range c.queues {
		seen := map[string]bool{}
		for _, team := range q.Teams() {
			if seen[team] {
				c.Add(Warning, "team-repeated", c.place("queue "+q.Name(), "teams"), "team %s is listed twice", quote(team))
			}
			seen[team] = true
		}
		if q.IsOpen() && !q.AllowsTeam(decl.OpenTeam) {
			c.Add(Error, "open-queue-closed", c.place("queue "+q.Name(), "teams"), "the queue is open, but team %q isn't among its teams, so calls without a key are refused", decl.OpenTeam)
		}
	}
}

func (c *declarationChecker) checkTeam(t decl.Team) {
	section := "team " + t.Name()
	queues := c.queuesOf(t.Name())
	if len(queues) == 0 {
		c.Add(Warning, "team-without-queue", c.place(section, ""), "no queue is for team %s", quote(t.Name()))
	}
	if t.Limit() == 0 {
		c.Add(Warning, "limit-below-task", c.place(section, "limit"), "a limit of 0 lets no request of team %s start", quote(t.Name()))
	}
	if t.RunTime() > t.Timeout() {
		c.Add(Warning, "timeout-below-run-time", c.place(section, "timeout"), "a request runs for %v, but its caller waits for %v", t.RunTime(), t.Timeout())
	}
	if _, has := t.LatestFinish(); has && t.Class() != decl.Background {
		c.Add(Warning, "latest-finish-unused", c.place(section, "latest-finish"), "only background work has a latest finish; the class is %s", t.Class())
	}
	vms := map[string]int{}
	for _, q := range queues {
		p, _ := c.cfg.Pool(q.Pool())
		vms[q.Pool()] = len(p.VMs())
	}
	slots := 0
	for _, pool := range slices.Sorted(maps.Keys(vms)) {
		c.checkTeamShare(t, pool, vms[pool])
		slots += vms[pool] * min(c.known.SlotsPerVM, maxSlots)
	}
	if slots > 0 && t.Limit() > slots {
		c.Add(Warning, "limit-over-fleet", c.place(section, "limit"), "a limit of %d is more than the %d slots of the team's pools, so it never applies", t.Limit(), slots)
	}
}

func (c *declarationChecker) queuesOf(team string) []decl.Queue {
	var out []decl.Queue
	for _, q := range c.queues {
		if mayUse(q, team) {
			out = append(out, q)
		}
	}
	return out
}

// mayUse reports whether calls of the team are accepted. Those of the open team have no key.
func mayUse(q decl.Queue, team string) bool {
	return q.AllowsTeam(team) && (team != decl.OpenTeam || q.IsOpen())
}

// checkTeamShare reports a limit below what the team's share of a full pool comes to. A VM has one slot at least.
func (c *declarationChecker) checkTeamShare(t decl.Team, pool string, vms int) {
	sum := c.sharesOf(pool)
	if sum == 0 {
		return
	}
	if owed := min(t.Share(), maxShare) * vms * min(max(1, c.known.SlotsPerVM), maxSlots) / sum; t.Limit() > 0 && owed > t.Limit() {
		c.Add(Warning, "limit-below-share", c.place("team "+t.Name(), "limit"), "a share of %d comes to %d slots of the full pool %s at least, but the limit is %d",
			t.Share(), owed, quote(pool), t.Limit())
	}
}

// sharesOf returns the sum of the shares of all teams that may use the pool.
func (c *declarationChecker) sharesOf(pool string) int {
	if sum, isKnown := c.shares[pool]; isKnown {
		return sum
	}
	sum := 0
	for _, name := range c.cfg.Teams() {
		if slices.ContainsFunc(c.queues, func(q decl.Queue) bool { return q.Pool() == pool && mayUse(q, name) }) {
			t, _ := c.cfg.Team(name)
			sum += min(t.Share(), maxShare)
		}
	}
	c.shares[pool] = sum
	return sum
}

// Bounds that keep products of shares, slots and VMs within an int.
const (
	maxShare = 100_000
	maxSlots = 100_000
)

func (c *declarationChecker) checkWave(w decl.Wave) {
	section := "wave " + w.Name()
	covered := 0
	for _, name := range c.cfg.Pools() {
		p, _ := c.cfg.Pool(name)
		if !w.Covers(name) || len(p.VMs()) == 0 {
			continue
		}
		covered += len(p.VMs())
		if least := max(p.MinServing(), w.MinServing()); least >= len(p.VMs()) {
			c.Add(Error, "wave-cannot-end", c.place(section, "min-serving"), "pool %s has %d VMs and %d must serve, so none can go out", quote(name), len(p.VMs()), least)
		}
	}
	if covered == 0 {
		c.Add(Warning, "wave-empty", c.place(section, "pools"), "wave %s covers no VM", quote(w.Name()))
	}
	if isAlwaysFrozen(w) {
		c.Add(Error, "wave-cannot-end", c.place(section, "freeze"), "the freeze windows leave no minute of the day")
	}
}

func isAlwaysFrozen(w decl.Wave) bool {
	for ofDay := time.Duration(0); ofDay < 24*time.Hour; ofDay += time.Minute {
		if !w.IsFrozenAt(ofDay) {
			return false
		}
	}
	return true
}
