package route

import (
	"math"
	"time"
)

// Result is the result of one request on a worker.
type Result uint8

// Results of a request; the zero value is Succeeded.
const (
	Succeeded    Result = iota
	Failed              // started, then broke or timed out
	Refused             // refused by the worker before the start
	Unreachable         // no byte reached the worker
	Inconclusive        // says nothing about the worker, for example if the caller disconnected
)

// Target is a worker to which requests can be sent.
type Target struct {
	name        string
	address     string
	slots       int
	connections int
}

// NewTarget returns a worker with its address, the number of requests that it runs at once and the number of connections that
// it accepts (0 for no limit).
func NewTarget(name, address string, slots, connections int) Target {
	return Target{name, address, slots, connections}
}

// Name returns the VM's name.
func (t Target) Name() string { return t.name }

// Address returns where the worker listens.
func (t Target) Address() string { return t.address }

// Slots returns the number of requests that the worker runs at once.
func (t Target) Slots() int { return t.slots }

// Connections returns the number of connections that the worker accepts, 0 for no limit.
func (t Target) Connections() int { return t.connections }

func (t Target) capacity() int {
	if t.connections > 0 {
		return min(t.slots, t.connections)
	}
	return t.slots
}

const (
	reportExpiry    = 2 * time.Second
	resultsHalfLife = 30 * time.Second

	refusalBackoff        = 50 * time.Millisecond
	maxRefusalBackoff     = time.Second
	unreachableBackoff    = 100 * time.Millisecond
	maxUnreachableBackoff = 10 * time.Second

	firstEjection       = 10 * time.Second
	maxEjection         = 30 * time.Second
	minSuccessfulProbes = 3
)

// decayingResults counts results with exponential decay.
type decayingResults struct {
	succeeded float64
	failed    float64
	asOf      time.Time
}

func (c *decayingResults) decay(now time.Time) {
	if passed := now.Sub(c.asOf); passed > 0 {
		factor := math.Exp2(-float64(passed) / float64(resultsHalfLife))
		c.succeeded *= factor
		c.failed *= factor
		c.asOf = now
	}
}

func (c *decayingResults) add(r Result, now time.Time) {
	c.decay(now)
	if r == Succeeded {
		c.succeeded++
	} else {
		c.failed++
	}
}

// targetState is the balancer's state of one target.
type targetState struct {
	target           Target
	inFlight         int
	remoteInFlight   int // requests of other gates, as of reportedAt
	reportedAt       time.Time
	lastPick         uint64 // sequence number of the last request sent
	results          decayingResults
	failureStreak    int // failures since the last success
	ejections        int
	isEjected        bool // until ejectedUntil, then on probation until minSuccessfulProbes probes succeeded
	ejectedUntil     time.Time
	successfulProbes int
	backoffs         int // since the last success
	backoffUntil     time.Time
}

// load returns the fraction of the target's capacity that is in use.
func (s *targetState) load(now time.Time) float64 {
	return float64(s.inFlight+s.remoteInFlightAt(now)) / float64(max(s.target.capacity(), 1))
}

func (s *targetState) remoteInFlightAt(now time.Time) int {
	if now.Sub(s.reportedAt) > reportExpiry {
		return 0
	}
	return s.remoteInFlight
}

// freeSlots returns the number of further requests that the target may get now.
func (s *targetState) freeSlots(now time.Time) int {
	if now.Before(s.backoffUntil) {
		return 0
	}
	if s.isEjected {
		return s.freeProbeSlots(now)
	}
	return max(s.target.capacity()-s.inFlight-s.remoteInFlightAt(now), 0)
}

func (s *targetState) freeProbeSlots(now time.Time) int {
	if now.Before(s.ejectedUntil) || s.inFlight > 0 {
		return 0
	}
	return 1
}

func (s *targetState) isHealthy() bool { return !s.isEjected && s.failureStreak < minFailureStreak }

// isLessLoaded reports whether the target has less load than the other one. Equal loads are ordered by least recent use,
// then by name.
func (s *targetState) isLessLoaded(other *targetState, now time.Time) bool {
	a, b := s.load(now), other.load(now)
	switch {
	case a != b:
		return a < b
	case s.lastPick != other.lastPick:
		return s.lastPick < other.lastPick
	default:
		return s.target.name < other.target.name
	}
}

func (s *targetState) backOff(first, longest time.Duration, now time.Time) {
	wait := exponentialBackoff(first, longest, s.backoffs)
	s.backoffs++
	s.backoffUntil = now.Add(wait)
}

func (s *targetState) eject(now time.Time) {
	s.isEjected = true
	s.successfulProbes = 0
	s.ejectedUntil = now.Add(exponentialBackoff(firstEjection, maxEjection, s.ejections))
	s.ejections++
}

// recordProbe handles a result of an ejected target.
func (s *targetState) recordProbe(r Result, now time.Time) {
	if now.Before(s.ejectedUntil) {
		return // the request started before the ejection
	}
	if r != Succeeded {
		s.eject(now)
		return
	}
	s.successfulProbes++
	if s.successfulProbes >= minSuccessfulProbes {
		s.isEjected = false
	}
}

func exponentialBackoff(first, longest time.Duration, times int) time.Duration {
	d := first
	for range times {
		if d *= 2; d >= longest {
			return longest
		}
	}
	return d
}
