package route

import (
	"math"
	"time"
)

// Result is what became of one request on a worker.
type Result uint8

// Results; the zero value is Good.
const (
	Succeeded    Result = iota
	Failed              // started and broken, or timed out
	Refused             // refused by the worker before the start
	Unreachable         // no byte reached the worker
	Inconclusive        // tells nothing about the worker, such as a caller that left
)

// Target is a worker that may get requests.
type Target struct {
	name        string
	address     string
	slots       int
	connections int
}

// NewTarget returns a worker with its address, the requests that it runs at once and the connections that it takes.
func NewTarget(name, address string, slots, connections int) Target {
	return Target{name, address, slots, connections}
}

// Name returns the VM's name.
func (t Target) Name() string { return t.name }

// Address returns where the worker listens.
func (t Target) Address() string { return t.address }

// Slots returns how many requests the worker runs at once.
func (t Target) Slots() int { return t.slots }

// Connections returns how many connections the worker takes.
func (t Target) Connections() int { return t.connections }

func (t Target) room() int {
	if t.connections > 0 {
		return min(t.slots, t.connections)
	}
	return t.slots
}

const (
	reportLifetime = 2 * time.Second
	countsHalfLife = 30 * time.Second

	refusedDelay     = 50 * time.Millisecond
	longestRefused   = time.Second
	unreachedDelay   = 100 * time.Millisecond
	longestUnreached = 10 * time.Second

	firstEjection   = 10 * time.Second
	longestEjection = 30 * time.Second
	probesWanted    = 3
)

// counts are results that fade with a half-life.
type counts struct {
	good   float64
	failed float64
	asOf   time.Time
}

func (c *counts) fade(now time.Time) {
	if passed := now.Sub(c.asOf); passed > 0 {
		factor := math.Exp2(-float64(passed) / float64(countsHalfLife))
		c.good *= factor
		c.failed *= factor
		c.asOf = now
	}
}

func (c *counts) add(r Result, now time.Time) {
	c.fade(now)
	if r == Succeeded {
		c.good++
	} else {
		c.failed++
	}
}

// state is what the balancer knows about one target.
type state struct {
	target      Target
	inFlight    int
	foreign     int
	reported    time.Time
	picked      uint64 // sequence number of the last pick
	counts      counts
	streak      int // failures since the last good result
	ejections   int
	ejected     bool // until the time below, then on probation until enough probes were good
	until       time.Time
	probes      int
	delays      int
	delayedTill time.Time
}

// load is the part of the target's room that is taken.
func (s *state) load(now time.Time) float64 {
	return float64(s.inFlight+s.foreignAt(now)) / float64(max(s.target.room(), 1))
}

func (s *state) foreignAt(now time.Time) int {
	if now.Sub(s.reported) > reportLifetime {
		return 0
	}
	return s.foreign
}

// free is how many more requests the target may get now.
func (s *state) free(now time.Time) int {
	if now.Before(s.delayedTill) {
		return 0
	}
	if s.ejected {
		return s.probeRoom(now)
	}
	return max(s.target.room()-s.inFlight-s.foreignAt(now), 0)
}

func (s *state) probeRoom(now time.Time) int {
	if now.Before(s.until) || s.inFlight > 0 {
		return 0
	}
	return 1
}

func (s *state) healthy() bool { return !s.ejected && s.streak < leastStreak }

// before orders targets by load, then by the time since the last pick, then by name.
func (s *state) before(other *state, now time.Time) bool {
	a, b := s.load(now), other.load(now)
	switch {
	case a != b:
		return a < b
	case s.picked != other.picked:
		return s.picked < other.picked
	default:
		return s.target.name < other.target.name
	}
}

func (s *state) delay(first, longest time.Duration, now time.Time) {
	wait := doubled(first, longest, s.delays)
	s.delays++
	s.delayedTill = now.Add(wait)
}

func (s *state) eject(now time.Time) {
	s.ejected = true
	s.probes = 0
	s.until = now.Add(doubled(firstEjection, longestEjection, s.ejections))
	s.ejections++
}

// probed takes in a result of an ejected target.
func (s *state) probed(r Result, now time.Time) {
	if now.Before(s.until) {
		return // started before the ejection
	}
	if r != Succeeded {
		s.eject(now)
		return
	}
	s.probes++
	if s.probes >= probesWanted {
		s.ejected = false
	}
}

func doubled(first, longest time.Duration, times int) time.Duration {
	d := first
	for range times {
		if d *= 2; d >= longest {
			return longest
		}
	}
	return d
}
