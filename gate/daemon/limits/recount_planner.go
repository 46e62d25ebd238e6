package limits

import (
	"slices"
	"time"
)

const (
	rankPause        = 300 * time.Millisecond
	failurePause     = 300 * time.Millisecond
	mostFailurePause = 1200 * time.Millisecond
	mostDoublings    = 2
	orphanPause      = 500 * time.Millisecond
)

// facts is what the planner decides on.
type facts struct {
	neighbours []LocalGate
	roster     []string
	trading    bool
	behind     bool
}

// recountPlanner decides when this gate begins a recount; it holds no lock and reads no clock.
type recountPlanner struct {
	settle     time.Duration
	started    time.Time
	seen       map[string]time.Time // incarnations heard of; the time since when each is gone, zero while it is not
	lastGone   time.Time
	counted    time.Time // when this gate reported to a recount that has not been committed, else zero
	missed     uint64    // how often rights may have gone missing
	reported   uint64    // that number when this gate was last counted
	covered    uint64    // that number when this gate was counted in the last committed recount
	orphansAt  time.Time
	notBefore  time.Time
	failures   int
	readySince time.Time
}

func newRecountPlanner(settle time.Duration, now time.Time) *recountPlanner {
	return &recountPlanner{settle: settle, started: now, seen: map[string]time.Time{}}
}

// due tells whether to begin a recount now.
func (p *recountPlanner) due(now time.Time, f facts) bool {
	p.observe(now, f)
	if !p.wanted(now, f) || p.blocked(f) || now.Before(p.settledAt()) || now.Before(p.notBefore) {
		p.readySince = time.Time{}
		return false
	}
	if p.readySince.IsZero() {
		p.readySince = now
	}
	return !now.Before(p.readySince.Add(time.Duration(rankOf(f.neighbours)) * rankPause))
}

// observe notes which incarnations are certainly gone: their address refuses, or another one answers there.
func (p *recountPlanner) observe(now time.Time, f facts) {
	for _, incarnation := range f.roster {
		p.meet(incarnation)
	}
	alive := map[string]bool{}
	for _, n := range f.neighbours {
		if n.Incarnation != "" && (n.Self || !n.Refusing) {
			p.meet(n.Incarnation)
			alive[n.Incarnation] = true
		}
	}
	for incarnation, since := range p.seen {
		if !alive[incarnation] && since.IsZero() {
			p.seen[incarnation] = now
			p.lastGone = now
		}
	}
	for incarnation, since := range p.seen {
		if !since.IsZero() && !slices.Contains(f.roster, incarnation) && now.Sub(since) > p.settle {
			delete(p.seen, incarnation)
		}
	}
}

func (p *recountPlanner) meet(incarnation string) {
	if _, known := p.seen[incarnation]; !known {
		p.seen[incarnation] = time.Time{}
	}
}

// wanted tells whether a recount could make more rights usable or admit a gate.
func (p *recountPlanner) wanted(now time.Time, f facts) bool {
	if !f.trading || f.behind || p.missed > p.covered {
		return true
	}
	if !p.orphansAt.IsZero() && !now.Before(p.orphansAt) {
		return true
	}
	for _, n := range f.neighbours {
		if n.Reachable && n.Incarnation != "" && !slices.Contains(f.roster, n.Incarnation) {
			return true
		}
	}
	return slices.ContainsFunc(f.roster, func(incarnation string) bool { return !p.seen[incarnation].IsZero() })
}

// blocked tells whether some gate is silent: its rights can be neither counted nor given up.
func (p *recountPlanner) blocked(f facts) bool {
	return slices.ContainsFunc(f.neighbours, LocalGate.silent)
}

// settledAt returns when the upstreams' reports show all work that gone gates can have started.
func (p *recountPlanner) settledAt() time.Time {
	last := p.started
	if p.lastGone.After(last) {
		last = p.lastGone
	}
	// That recount may have admitted a gate which started work and was never heard of here.
	if p.counted.After(last) {
		last = p.counted
	}
	return last.Add(p.settle)
}

// settledWithout notes that the incarnations are gone and tells whether all gone gates' work has settled.
func (p *recountPlanner) settledWithout(gone []string, now time.Time) bool {
	for _, incarnation := range gone {
		if p.seen[incarnation].IsZero() {
			p.seen[incarnation] = now
			p.lastGone = now
		}
	}
	return !now.Before(p.settledAt())
}

// miss notes that rights may have gone missing though all gates are counted.
func (p *recountPlanner) miss() { p.missed++ }

// count notes that this gate is counted now; what goes missing later needs another recount.
func (p *recountPlanner) count() { p.reported = p.missed }

// failed postpones the next attempt.
func (p *recountPlanner) failed(now time.Time) {
	p.notBefore = now.Add(min(failurePause<<p.failures, mostFailurePause))
	p.failures = min(p.failures+1, mostDoublings)
	p.readySince = time.Time{}
}

// committed forgets the reasons that the recount has dealt with.
func (p *recountPlanner) committed(now time.Time, orphans bool) {
	p.covered = p.reported
	p.failures = 0
	p.counted = time.Time{}
	p.readySince = time.Time{}
	p.notBefore = now.Add(failurePause)
	p.orphansAt = time.Time{}
	if orphans {
		p.orphansAt = now.Add(orphanPause)
	}
}
