package share

import (
	"time"

	"mangowing/core/decl"
)

// Started adopts an item that runs already since the given time; it tells whether the id was new.
func (s *Scheduler) Started(item Item, since, now time.Time) bool {
	t := s.team(item.Team())
	if _, known := s.nodes[item.ID()]; known {
		return false
	}
	s.sequence++
	n := newNode(item, t, s.sequence)
	s.nodes[item.ID()] = n
	n.paid = max(now.Sub(since).Seconds(), 0) // charged where it started
	n.long = n.paid > longRun.Seconds()
	s.run(n, now)
	return true
}

// run counts the item as running and charges its team for the first span.
func (s *Scheduler) run(n *node, now time.Time) {
	t := n.team
	t.running++
	s.running++
	if n.long {
		s.runningLong++
	}
	s.updateActive(t)
	expected := seconds(t.queue(n.item.Class()).expected(n.item.Expected()))
	span := min(max(expected, shortestCharge), longestCharge)
	n.paidUntil = now.Add(span)
	n.paid += span.Seconds()
	s.paid.push(n)
	s.charge(t, n.item.Class(), span.Seconds())
}

// advance charges the running items whose charged time is over for the next span.
func (s *Scheduler) advance(now time.Time) {
	for {
		n, ok := s.paid.top()
		if !ok || n.paidUntil.After(now) {
			return
		}
		span := now.Sub(n.paidUntil) + longestCharge
		n.paidUntil = n.paidUntil.Add(span)
		n.paid += span.Seconds()
		s.paid.fix(n)
		s.charge(n.team, n.item.Class(), span.Seconds())
		s.noticeLong(n)
	}
}

func (s *Scheduler) noticeLong(n *node) {
	if !n.long && n.paid > longRun.Seconds() {
		n.long = true
		s.runningLong++
	}
}

// Ended charges exactly the time that an item ran, 0 if it never started; it tells whether the item was running.
func (s *Scheduler) Ended(id string, ran time.Duration, now time.Time) bool {
	n, ok := s.nodes[id]
	if !ok || n.waiting() {
		return false
	}
	s.advance(now)
	t := n.team
	delete(s.nodes, id)
	s.paid.remove(n)
	t.running--
	s.running--
	if n.long {
		s.runningLong--
		s.releaseShort()
	}
	if ran > 0 {
		t.queue(n.item.Class()).observe(ran.Seconds())
	}
	s.charge(t, n.item.Class(), ran.Seconds()-n.paid)
	s.updateActive(t)
	s.Unblock(t.name)
	return true
}

// Service returns the slot-seconds charged to the team here, with those that running items paid in advance.
func (s *Scheduler) Service(name string) float64 {
	if t, ok := s.teams[name]; ok {
		return t.charged
	}
	return 0
}

// Correct books slot-seconds that other dispatchers of the pool gave the team since the last call.
func (s *Scheduler) Correct(name string, foreign float64) {
	t := s.team(name)
	t.foreign += foreign
	s.addVirtual(t, foreign)
}

func (s *Scheduler) charge(t *team, c decl.Class, seconds float64) {
	t.charge(c, seconds)
	s.addVirtual(t, seconds)
}

// addVirtual moves the team's virtual time, within the bounds of what is remembered.
func (s *Scheduler) addVirtual(t *team, seconds float64) {
	s.synchronize(t)
	bound := s.virtualOf(memory)
	t.virtual += seconds / t.weight
	t.virtual = min(max(t.virtual, s.virtual-bound), s.virtual+bound)
	s.ready.fix(t)
	s.urgent.fix(t)
}

// synchronize starts the team's account anew if a time without waiting work lies between.
func (s *Scheduler) synchronize(t *team) {
	if t.busyPeriod != s.busyPeriod {
		t.busyPeriod = s.busyPeriod
		t.virtual = s.virtual
	}
}

// virtualOf returns the virtual time that passes in the given time while all active teams get their shares.
func (s *Scheduler) virtualOf(d time.Duration) float64 {
	return d.Seconds() * s.slotCount() / max(s.activeWeight, 1)
}

func (s *Scheduler) slotCount() float64 {
	if s.slots > 0 {
		return float64(s.slots)
	}
	return float64(max(s.running, 1))
}

func (s *Scheduler) entitledSlots(t *team) float64 {
	return s.slotCount() * t.weight / max(s.activeWeight, t.weight)
}

func (s *Scheduler) updateActive(t *team) {
	weight := 0.0
	if t.waiting+t.running > 0 {
		weight = t.weight
	}
	s.activeWeight += weight - t.activeWeight
	t.activeWeight = weight
}

// updateReady puts the team into the heaps where it belongs now.
func (s *Scheduler) updateReady(t *team) {
	mayBeAsked := t.waiting > 0 && !t.parked && !t.awaitsShort
	place(&s.ready, t, mayBeAsked)
	place(&s.urgent, t, mayBeAsked && t.queue(decl.Urgent).nodes.len() > 0)
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

func (s *Scheduler) park(t *team, now time.Time) {
	t.parked = true
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
	s.synchronize(t)
	t.virtual = max(t.virtual, s.virtual)
	s.updateReady(t)
}

func (s *Scheduler) awaitShort(t *team) {
	t.awaitsShort = true
	if !t.listedShort {
		t.listedShort = true
		s.awaitsShort = append(s.awaitsShort, t)
	}
	s.updateReady(t)
}

func (s *Scheduler) releaseShort() {
	if s.longFull() {
		return
	}
	for _, t := range s.awaitsShort {
		t.awaitsShort = false
		t.listedShort = false
		s.updateReady(t)
	}
	s.awaitsShort = s.awaitsShort[:0]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
