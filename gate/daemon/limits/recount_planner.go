package limits

import (
	"slices"
	"time"
)

const (
	rankDelay          = 300 * time.Millisecond
	failureDelay       = 300 * time.Millisecond
	maxFailureDelay    = 1200 * time.Millisecond
	maxDoublings       = 2
	orphanRecountDelay = 500 * time.Millisecond
)

// plannerInput is the data that the planner decides on.
type plannerInput struct {
	gates        []LocalGate
	members      []string
	canTransfer  bool
	needsRecount bool
}

// recountPlanner decides when this gate begins a recount. It is not safe for concurrent use and never reads the clock.
type recountPlanner struct {
	settleTime      time.Duration
	startedAt       time.Time
	goneSince       map[string]time.Time // known incarnations; zero for those not known to be gone
	lastGoneAt      time.Time
	uncommittedAt   time.Time // when this gate reported to a recount that is not committed yet, zero for none
	losses          uint64    // number of times that rights may have been lost
	countedLosses   uint64    // losses when this gate was last counted
	coveredLosses   uint64    // losses when this gate was counted in the last committed recount
	orphanRecountAt time.Time
	notBefore       time.Time
	failures        int
	readySince      time.Time
}

func newRecountPlanner(settle time.Duration, now time.Time) *recountPlanner {
	return &recountPlanner{settleTime: settle, startedAt: now, goneSince: map[string]time.Time{}}
}

// isDue reports whether to begin a recount now.
func (p *recountPlanner) isDue(now time.Time, in plannerInput) bool {
	p.observe(now, in)
	if !p.isNeeded(now, in) || p.isBlocked(in) || now.Before(p.settledAt()) || now.Before(p.notBefore) {
		p.readySince = time.Time{}
		return false
	}
	if p.readySince.IsZero() {
		p.readySince = now
	}
	return !now.Before(p.readySince.Add(time.Duration(initiatorRank(in.gates)) * rankDelay))
}

// observe records which incarnations are certainly gone: their address refuses connections, or another incarnation
// answers there.
func (p *recountPlanner) observe(now time.Time, in plannerInput) {
	for _, incarnation := range in.members {
		p.track(incarnation)
	}
	alive := map[string]bool{}
	for _, n := range in.gates {
		if n.Incarnation != "" && (n.Self || !n.Refusing) {
			p.track(n.Incarnation)
			alive[n.Incarnation] = true
		}
	}
	for incarnation, since := range p.goneSince {
		if !alive[incarnation] && since.IsZero() {
			p.goneSince[incarnation] = now
			p.lastGoneAt = now
		}
	}
	for incarnation, since := range p.goneSince {
		if !since.IsZero() && !slices.Contains(in.members, incarnation) && now.Sub(since) > p.settleTime {
			delete(p.goneSince, incarnation)
		}
	}
}

func (p *recountPlanner) track(incarnation string) {
	if _, known := p.goneSince[incarnation]; !known {
		p.goneSince[incarnation] = time.Time{}
	}
}

// isNeeded reports whether a recount could make more rights usable or admit a gate.
func (p *recountPlanner) isNeeded(now time.Time, in plannerInput) bool {
	if !in.canTransfer || in.needsRecount || p.losses > p.coveredLosses {
		return true
	}
	if !p.orphanRecountAt.IsZero() && !now.Before(p.orphanRecountAt) {
		return true
	}
	for _, n := range in.gates {
		if n.Reachable && n.Incarnation != "" && !slices.Contains(in.members, n.Incarnation) {
			return true
		}
	}
	return slices.ContainsFunc(in.members, func(incarnation string) bool { return !p.goneSince[incarnation].IsZero() })
}

// isBlocked reports whether some gate is unresponsive: its rights can be neither counted nor written off.
func (p *recountPlanner) isBlocked(in plannerInput) bool {
	return slices.ContainsFunc(in.gates, LocalGate.isUnresponsive)
}

// settledAt returns the time from which the upstreams' reports include all work that gone gates may have started.
func (p *recountPlanner) settledAt() time.Time {
	last := p.startedAt
	if p.lastGoneAt.After(last) {
		last = p.lastGoneAt
	}
	// That recount may have admitted a gate that started work and ended before this gate knew of it.
	if p.uncommittedAt.After(last) {
		last = p.uncommittedAt
	}
	return last.Add(p.settleTime)
}

// recordGone records that the incarnations are gone and reports whether the settle time of all gone gates is over.
func (p *recountPlanner) recordGone(gone []string, now time.Time) bool {
	for _, incarnation := range gone {
		if p.goneSince[incarnation].IsZero() {
			p.goneSince[incarnation] = now
			p.lastGoneAt = now
		}
	}
	return !now.Before(p.settledAt())
}

// recordLoss records that rights may have been lost although all gates are counted.
func (p *recountPlanner) recordLoss() { p.losses++ }

// recordCount records that this gate is counted now. Later losses need another recount.
func (p *recountPlanner) recordCount() { p.countedLosses = p.losses }

// recordFailure postpones the next attempt, with exponential backoff.
func (p *recountPlanner) recordFailure(now time.Time) {
	p.notBefore = now.Add(min(failureDelay<<p.failures, maxFailureDelay))
	p.failures = min(p.failures+1, maxDoublings)
	p.readySince = time.Time{}
}

// recordCommit clears the reasons for a recount that the committed one has covered. If orphans were found, another
// recount follows, to reclaim the rights of those that have ended by then.
func (p *recountPlanner) recordCommit(now time.Time, orphans bool) {
	p.coveredLosses = p.countedLosses
	p.failures = 0
	p.uncommittedAt = time.Time{}
	p.readySince = time.Time{}
	p.notBefore = now.Add(failureDelay)
	p.orphanRecountAt = time.Time{}
	if orphans {
		p.orphanRecountAt = now.Add(orphanRecountDelay)
	}
}
