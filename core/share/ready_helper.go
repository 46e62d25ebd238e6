package share

import (
	"time"

	"mangowing/core/decl"
)

// updateReady puts the team into the heaps where it belongs now.
func (s *Scheduler) updateReady(t *team) {
	waits := t.waiting > 0
	place(&s.ready, t, waits && !t.parked)
	place(&s.urgent, t, waits && !t.parked && t.queue(decl.Urgent).nodes.len() > 0)
	place(&s.held, t, waits && t.parked && t.holdsLong)
}

func place(h *indexHeap[*team], t *team, wanted bool) {
	switch {
	case wanted && !h.contains(t):
		h.push(t)
	case !wanted:
		h.remove(t)
	}
}

// parking notes until when a team is not asked; a later one of the same team replaces it.
type parking struct {
	team  *team
	until time.Time
}

// park keeps the team from being asked for a short time; holdsLong tells that it may run long if nobody else waits.
func (s *Scheduler) park(t *team, holdsLong bool, now time.Time) {
	t.parked = true
	t.holdsLong = holdsLong
	t.parkedUntil = now.Add(RetryDelay)
	s.parked = append(s.parked, parking{t, t.parkedUntil})
	s.updateReady(t)
}

func (s *Scheduler) unpark(now time.Time) {
	for len(s.parked) > 0 && !s.parked[0].until.After(now) {
		p := s.parked[0]
		s.parked = s.parked[1:]
		if p.until.Equal(p.team.parkedUntil) {
			s.release(p.team)
		}
	}
}

// Unblock lets a team that mayStart refused be asked again at once.
func (s *Scheduler) Unblock(name string) {
	if t, ok := s.teams[name]; ok {
		s.release(t)
	}
}

// release lets the team be asked again; it gains nothing from the time in which it could not start.
func (s *Scheduler) release(t *team) {
	if !t.parked {
		return
	}
	t.parked = false
	s.updateReady(t) // leaves the heap before its virtual time changes
	place(&s.ready, t, false)
	place(&s.urgent, t, false)
	s.synchronize(t)
	t.virtual = max(t.virtual, s.virtual)
	s.updateReady(t)
}
