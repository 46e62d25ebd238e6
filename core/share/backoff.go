package share

import (
	"time"

	"mangowing/core/decl"
)

// updateHeaps adds the team to the heaps, or removes it from them, according to its current state.
func (s *Scheduler) updateHeaps(t *team) {
	waits := t.waiting > 0
	setMembership(&s.ready, t, waits && !t.isBackingOff)
	setMembership(&s.urgent, t, waits && !t.isBackingOff && t.queue(decl.Urgent).entries.len() > 0)
	setMembership(&s.deferred, t, waits && t.isBackingOff && t.hasDeferredLong)
}

func setMembership(h *indexHeap[*team], t *team, wanted bool) {
	switch {
	case wanted && !h.contains(t):
		h.push(t)
	case !wanted:
		h.remove(t)
	}
}

// backoff records until when a team is skipped; a later backoff of the same team replaces it.
type backoff struct {
	team  *team
	until time.Time
}

// backOff skips the team for RetryDelay. With hasDeferredLong, its long-running work may still start if no other team
// has startable work.
func (s *Scheduler) backOff(t *team, hasDeferredLong bool, now time.Time) {
	t.isBackingOff = true
	t.hasDeferredLong = hasDeferredLong
	t.backoffUntil = now.Add(RetryDelay)
	s.backoffs = append(s.backoffs, backoff{t, t.backoffUntil})
	s.updateHeaps(t)
}

func (s *Scheduler) endExpiredBackoffs(now time.Time) {
	for len(s.backoffs) > 0 && !s.backoffs[0].until.After(now) {
		next := s.backoffs[0]
		s.backoffs = s.backoffs[1:]
		if next.until.Equal(next.team.backoffUntil) {
			s.endBackoff(next.team)
		}
	}
}

// Unblock ends the backoff of a team that mayStart refused, so that it is retried at once.
func (s *Scheduler) Unblock(name string) {
	if t, ok := s.teams[name]; ok {
		s.endBackoff(t)
	}
}

// endBackoff makes the team eligible again. Its virtual time is raised to the current one, so that it earns no credit
// for the time in which it could not start.
func (s *Scheduler) endBackoff(t *team) {
	if !t.isBackingOff {
		return
	}
	t.isBackingOff = false
	// The team leaves all heaps before its virtual time, their sort key, changes.
	s.updateHeaps(t)
	setMembership(&s.ready, t, false)
	setMembership(&s.urgent, t, false)
	s.joinBusyPeriod(t)
	t.virtualTime = max(t.virtualTime, s.virtualTime)
	s.updateHeaps(t)
}
