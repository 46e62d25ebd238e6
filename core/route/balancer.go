package route

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// A streak of failures ejects a worker if it had less than this probability at the other workers' failure rate.
	streakChance = 0.001
	leastStreak  = 3
	// From this many targets on, one may be ejected whatever the percentage rounds to.
	leastTargetsToEject = 3
)

// Options are the settings of a Balancer.
type Options struct {
	MaxEjectedPercent int // largest part of the targets that may be ejected at once, in percent; 0: none
}

// Balancer sends each request to the least loaded worker and ejects workers that fail all that they start.
type Balancer struct {
	options  Options
	states   map[string]*state
	ordered  []*state
	pool     counts
	sequence uint64
}

// New returns a balancer without targets.
func New(o Options) *Balancer { return &Balancer{options: o} }

// SetOptions replaces the settings.
func (b *Balancer) SetOptions(o Options) { b.options = o }

// SetTargets replaces the targets; one whose name and address stay keeps its state.
func (b *Balancer) SetTargets(targets []Target) {
	old := b.states
	b.states = make(map[string]*state, len(targets))
	b.ordered = b.ordered[:0]
	for _, t := range targets {
		s, known := old[t.name]
		if !known || s.target.address != t.address {
			s = &state{}
		}
		s.target = t
		b.states[t.name] = s
		b.ordered = append(b.ordered, s)
	}
}

// Pick returns the least loaded target that has room and is neither excluded, delayed nor ejected.
func (b *Balancer) Pick(now time.Time, exclude func(name string) bool) (Target, bool) {
	var best *state
	for _, s := range b.ordered {
		if s.free(now) == 0 || exclude != nil && exclude(s.target.name) {
			continue
		}
		if best == nil || s.preferred(best, now) {
			best = s
		}
	}
	if best == nil {
		return Target{}, false
	}
	return best.target, true
}

// preferred puts a target on probation first, since it gets one probe at a time.
func (s *state) preferred(other *state, now time.Time) bool {
	if s.ejected != other.ejected {
		return s.ejected
	}
	return s.before(other, now)
}

// RecordStart counts a request as sent to the target.
func (b *Balancer) RecordStart(name string) {
	s, ok := b.states[name]
	if !ok {
		return
	}
	b.sequence++
	s.picked = b.sequence
	s.inFlight++
}

// RecordResult takes in what became of a request that the target ran for the given time.
func (b *Balancer) RecordResult(name string, result Result, _ time.Duration, now time.Time) {
	s, ok := b.states[name]
	if !ok {
		return
	}
	s.inFlight = max(s.inFlight-1, 0)
	switch result {
	case Succeeded:
		s.streak = 0
		s.delays = 0
		b.judge(s, result, now)
	case Failed:
		s.streak++
		b.judge(s, result, now)
	case Unreachable:
		s.streak++
		s.delay(unreachedDelay, longestUnreached, now)
		b.judge(s, result, now)
	case Refused:
		s.delay(refusedDelay, longestRefused, now)
	case Inconclusive:
	}
}

func (b *Balancer) judge(s *state, r Result, now time.Time) {
	s.counts.add(r, now)
	b.pool.add(r, now)
	if s.ejected {
		s.probed(r, now)
		return
	}
	if s.streak >= leastStreak && b.streakIsUnlikely(s, now) && b.mayEject() {
		s.eject(now)
	}
}

// streakIsUnlikely compares the target's streak of failures with the failure rate of the other targets.
func (b *Balancer) streakIsUnlikely(s *state, now time.Time) bool {
	b.pool.fade(now)
	s.counts.fade(now)
	good := max(b.pool.good-s.counts.good, 0)
	failed := max(b.pool.failed-s.counts.failed, 0)
	rate := (failed + 0.5) / (good + failed + 1)
	return math.Pow(rate, float64(s.streak)) < streakChance
}

func (b *Balancer) mayEject() bool {
	if b.options.MaxEjectedPercent == 0 {
		return false
	}
	most := len(b.ordered) * b.options.MaxEjectedPercent / 100
	if len(b.ordered) >= leastTargetsToEject {
		most = max(most, 1)
	}
	return b.ejected() < most
}

func (b *Balancer) ejected() int {
	n := 0
	for _, s := range b.ordered {
		if s.ejected {
			n++
		}
	}
	return n
}

// ReportLoad takes in how many requests the worker says it runs, of this and all other gates.
func (b *Balancer) ReportLoad(name string, running int, now time.Time) {
	s, ok := b.states[name]
	if !ok {
		return
	}
	s.foreign = max(running-s.inFlight, 0)
	s.reported = now
}

// IsHealthy tells whether the target is neither ejected nor on the way there.
func (b *Balancer) IsHealthy(name string) bool {
	s, ok := b.states[name]
	return ok && s.healthy()
}

// FreeSlots returns how many more requests the targets may get now.
func (b *Balancer) FreeSlots(now time.Time) int {
	n := 0
	for _, s := range b.ordered {
		n += s.free(now)
	}
	return n
}

// Slots returns the room of all targets that are not ejected.
func (b *Balancer) Slots() int {
	n := 0
	for _, s := range b.ordered {
		if !s.ejected {
			n += s.target.room()
		}
	}
	return n
}

// TargetSnapshot is one target's state for metrics.
type TargetSnapshot struct {
	name     string
	inFlight int
	foreign  int
	ejected  bool
	delayed  bool
	streak   int
}

// Name returns the VM's name.
func (t TargetSnapshot) Name() string { return t.name }

// InFlight returns the requests sent by this balancer and not ended.
func (t TargetSnapshot) InFlight() int { return t.inFlight }

// RemoteInFlight returns the requests of other gates by the worker's last report, 0 once it is old.
func (t TargetSnapshot) RemoteInFlight() int { return t.foreign }

// IsEjected tells whether the target is ejected or on probation.
func (t TargetSnapshot) IsEjected() bool { return t.ejected }

// IsBackingOff tells whether the target gets nothing for a short time after a refusal.
func (t TargetSnapshot) IsBackingOff() bool { return t.delayed }

// ConsecutiveFailures returns the failures since the last good result.
func (t TargetSnapshot) ConsecutiveFailures() int { return t.streak }

// Snapshot returns all targets by name.
func (b *Balancer) Snapshot(now time.Time) []TargetSnapshot {
	out := make([]TargetSnapshot, 0, len(b.ordered))
	for _, s := range b.ordered {
		delayed := now.Before(s.delayedTill)
		out = append(out, TargetSnapshot{s.target.name, s.inFlight, s.foreignAt(now), s.ejected, delayed, s.streak})
	}
	slices.SortFunc(out, func(a, b TargetSnapshot) int { return strings.Compare(a.name, b.name) })
	return out
}
