package route

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// A worker is ejected if its series of consecutive failures has less than this probability at the failure rate of the
	// other workers.
	maxStreakProbability = 0.001
	minFailureStreak     = 3
	// With at least this many targets, one may be ejected even if MaxEjectedPercent rounds down to none.
	minTargetsToEject = 3
)

// Options holds the settings of a Balancer.
type Options struct {
	MaxEjectedPercent int // of the targets that may be ejected at once; 0 disables ejection
}

// Balancer picks the least loaded worker for each request and ejects workers that fail consistently.
type Balancer struct {
	options     Options
	byName      map[string]*targetState
	ordered     []*targetState
	poolResults decayingResults
	sequence    uint64
}

// New returns a balancer without targets.
func New(o Options) *Balancer { return &Balancer{options: o} }

// SetOptions replaces the settings.
func (b *Balancer) SetOptions(o Options) { b.options = o }

// SetTargets replaces the targets. A target that keeps its name and address keeps its state.
func (b *Balancer) SetTargets(targets []Target) {
	old := b.byName
	b.byName = make(map[string]*targetState, len(targets))
	b.ordered = b.ordered[:0]
	for _, t := range targets {
		s, known := old[t.name]
		if !known || s.target.address != t.address {
			s = &targetState{}
		}
		s.target = t
		b.byName[t.name] = s
		b.ordered = append(b.ordered, s)
	}
}

// Pick returns the least loaded target that has free slots and is neither excluded, backing off nor ejected. A target that
// is due for a probe goes first.
func (b *Balancer) Pick(now time.Time, exclude func(name string) bool) (Target, bool) {
	var best *targetState
	for _, s := range b.ordered {
		if s.freeSlots(now) == 0 || exclude != nil && exclude(s.target.name) {
			continue
		}
		if best == nil || s.isPreferredTo(best, now) {
			best = s
		}
	}
	if best == nil {
		return Target{}, false
	}
	return best.target, true
}

// isPreferredTo reports whether to pick the target rather than the other one. Targets on probation go first, since they get
// only one probe at a time.
func (s *targetState) isPreferredTo(other *targetState, now time.Time) bool {
	if s.isEjected != other.isEjected {
		return s.isEjected
	}
	return s.isLessLoaded(other, now)
}

// RecordStart counts a request as in flight on the target.
func (b *Balancer) RecordStart(name string) {
	s, ok := b.byName[name]
	if !ok {
		return
	}
	b.sequence++
	s.lastPick = b.sequence
	s.inFlight++
}

// RecordResult ends a request that is in flight on the target and updates the health of the target. The run time is not
// used.
func (b *Balancer) RecordResult(name string, result Result, _ time.Duration, now time.Time) {
	s, ok := b.byName[name]
	if !ok {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	switch result {
	case Succeeded:
		s.failureStreak = 0
		s.backoffs = 0
		b.updateHealth(s, result, now)
	case Failed:
		s.failureStreak++
		b.updateHealth(s, result, now)
	case Unreachable:
		s.failureStreak++
		s.backOff(unreachableBackoff, maxUnreachableBackoff, now)
		b.updateHealth(s, result, now)
	case Refused:
		s.backOff(refusalBackoff, maxRefusalBackoff, now)
	case Inconclusive:
	}
}

func (b *Balancer) updateHealth(s *targetState, r Result, now time.Time) {
	s.results.add(r, now)
	b.poolResults.add(r, now)
	if s.isEjected {
		s.recordProbe(r, now)
		return
	}
	if s.failureStreak >= minFailureStreak && b.isStreakUnlikely(s, now) && b.canEject() {
		s.eject(now)
	}
}

// isStreakUnlikely reports whether the target's consecutive failures are improbable at the failure rate of the other
// targets.
func (b *Balancer) isStreakUnlikely(s *targetState, now time.Time) bool {
	b.poolResults.decay(now)
	s.results.decay(now)
	succeeded := max(b.poolResults.succeeded-s.results.succeeded, 0)
	failed := max(b.poolResults.failed-s.results.failed, 0)
	rate := (failed + 0.5) / (succeeded + failed + 1)
	return math.Pow(rate, float64(s.failureStreak)) < maxStreakProbability
}

func (b *Balancer) canEject() bool {
	if b.options.MaxEjectedPercent == 0 {
		return false
	}
	limit := len(b.ordered) * b.options.MaxEjectedPercent / 100
	if len(b.ordered) >= minTargetsToEject {
		limit = max(limit, 1)
	}
	return b.ejectedCount() < limit
}

func (b *Balancer) ejectedCount() int {
	n := 0
	for _, s := range b.ordered {
		if s.isEjected {
			n++
		}
	}
	return n
}

// ReportLoad records the number of running requests that the worker reports, including those of other gates.
func (b *Balancer) ReportLoad(name string, running int, now time.Time) {
	s, ok := b.byName[name]
	if !ok {
		return
	}
	s.remoteInFlight = max(running-s.inFlight, 0)
	s.reportedAt = now
}

// IsHealthy reports whether the target is known, not ejected and without a series of failures long enough to eject it.
func (b *Balancer) IsHealthy(name string) bool {
	s, ok := b.byName[name]
	return ok && s.isHealthy()
}

// FreeSlots returns the number of further requests that the targets may get now.
func (b *Balancer) FreeSlots(now time.Time) int {
	n := 0
	for _, s := range b.ordered {
		n += s.freeSlots(now)
	}
	return n
}

// Slots returns the total capacity of the targets that are not ejected.
func (b *Balancer) Slots() int {
	n := 0
	for _, s := range b.ordered {
		if !s.isEjected {
			n += s.target.capacity()
		}
	}
	return n
}

// TargetSnapshot holds one target's state for metrics.
type TargetSnapshot struct {
	name                string
	inFlight            int
	remoteInFlight      int
	isEjected           bool
	isBackingOff        bool
	consecutiveFailures int
}

// Name returns the VM's name.
func (t TargetSnapshot) Name() string { return t.name }

// InFlight returns the number of requests that this balancer has in flight on the target.
func (t TargetSnapshot) InFlight() int { return t.inFlight }

// RemoteInFlight returns the number of requests of other gates by the worker's last report, 0 if the report has expired.
func (t TargetSnapshot) RemoteInFlight() int { return t.remoteInFlight }

// IsEjected reports whether the target is ejected or on probation.
func (t TargetSnapshot) IsEjected() bool { return t.isEjected }

// IsBackingOff reports whether the target gets no requests for now, after it refused one or was unreachable.
func (t TargetSnapshot) IsBackingOff() bool { return t.isBackingOff }

// ConsecutiveFailures returns the number of failures since the last success.
func (t TargetSnapshot) ConsecutiveFailures() int { return t.consecutiveFailures }

// Snapshot returns all targets, sorted by name.
func (b *Balancer) Snapshot(now time.Time) []TargetSnapshot {
	out := make([]TargetSnapshot, 0, len(b.ordered))
	for _, s := range b.ordered {
		isBackingOff := now.Before(s.backoffUntil)
		out = append(out, TargetSnapshot{s.target.name, s.inFlight, s.remoteInFlightAt(now), s.isEjected, isBackingOff, s.failureStreak})
	}
	slices.SortFunc(out, func(a, b TargetSnapshot) int { return strings.Compare(a.name, b.name) })
	return out
}
