package sched

import (
	"hash/fnv"
	"time"
)

const (
	// A job is of no use to its caller when it takes this many times its objective.
	uselessFactor = 3
	// A team's jobs beyond its share are refused when the pool's work takes longer than this.
	excessWait = 700 * time.Millisecond
	// Callers are spread over this time when they come back.
	retrySpread = time.Second
	// A team may hand in this many seconds of its share at once.
	shareBurst = 4 * time.Second
)

// shareMeter tells which of a team's jobs are beyond its share of jobs in a second.
type shareMeter struct {
	credit float64
	filled time.Time
}

// take tells whether a job that comes now is within the share.
func (s *shareMeter) take(now time.Time, perSecond float64) bool {
	burst := perSecond * shareBurst.Seconds()
	if s.filled.IsZero() {
		s.credit = burst
	} else {
		s.credit = min(burst, s.credit+perSecond*now.Sub(s.filled).Seconds())
	}
	s.filled = now
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// beyondShare tells whether the job is more than its team may ask for.
func (m *Machine) beyondShare(now time.Time, spec *JobSpec) bool {
	t, declared := m.cfg.Team(spec.Team)
	if !declared || t.Weight <= 0 || spec.Lasting() || spec.Timed() {
		return false
	}
	return !m.teamOf(spec.Team).share.take(now, t.Weight)
}

// overloaded tells whether a new job could not be done in any useful time, and when to come back.
func (m *Machine) overloaded(spec *JobSpec) (time.Duration, bool) {
	d := m.demand[spec.Pool]
	if d == nil || d.reach <= 0 || spec.Lasting() || spec.Timed() {
		return 0, false
	}
	wait := time.Duration(d.urgent / d.reach * float64(time.Second))
	j := job{spec: spec}
	chain := j.chain(everyStep)
	useful := uselessFactor*(time.Duration(spec.Slack*float64(chain))+time.Duration(spec.TargetMs)*time.Millisecond) - chain
	if spec.Excess && wait <= excessWait || !spec.Excess && wait <= useful {
		return 0, false
	}
	return wait + spreadOf(spec.ID), true
}

// spreadOf returns a time that differs from job to job.
func spreadOf(id string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return time.Duration(h.Sum32()%uint32(retrySpread/time.Millisecond)) * time.Millisecond
}
