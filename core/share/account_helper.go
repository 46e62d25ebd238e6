package share

import (
	"time"

	"mangowing/core/decl"
)

// Adopt adopts an item that runs already since the given time; it tells whether the id was new.
func (s *Scheduler) Adopt(item Item, since, now time.Time) bool {
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
	t.queue(n.item.Class()).running++
	s.running++
	if n.long {
		s.runningLong++
	}
	s.updateActive(t)
	s.urgent.fix(t)
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
		if n.long {
			s.forgive(n.team)
		}
	}
}

// noticeLong also counts as an observation, so that the next ones are known to run long before the first has ended.
func (s *Scheduler) noticeLong(n *node) {
	if n.long || n.paid <= longRun.Seconds() {
		return
	}
	n.long = true
	s.runningLong++
	n.team.queue(n.item.Class()).observe(n.paid)
}

// Finish charges exactly the time that an item ran, 0 if it never started; it tells whether the item was running.
func (s *Scheduler) Finish(id string, ran time.Duration, now time.Time) bool {
	n, ok := s.nodes[id]
	if !ok || n.waiting() {
		return false
	}
	t := n.team
	delete(s.nodes, id)
	s.paid.remove(n)
	s.advance(now)
	t.running--
	t.queue(n.item.Class()).running--
	s.running--
	if n.long {
		s.runningLong--
	}
	if ran > 0 {
		t.queue(n.item.Class()).observe(ran.Seconds())
	}
	s.charge(t, n.item.Class(), ran.Seconds()-n.paid)
	s.forgive(t)
	s.updateActive(t)
	s.urgent.fix(t)
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

// AddRemoteService books slot-seconds that other dispatchers of the pool gave the team since the last call.
func (s *Scheduler) AddRemoteService(name string, foreign float64) {
	t := s.team(name)
	t.foreign += foreign
	s.addVirtual(t, foreign)
	s.forgive(t)
}

func (s *Scheduler) charge(t *team, c decl.Class, seconds float64) {
	t.charge(c, seconds)
	s.addVirtual(t, seconds)
}

func (s *Scheduler) addVirtual(t *team, seconds float64) {
	s.synchronize(t)
	s.setVirtual(t, t.virtual+seconds/t.weight)
}

// forgive keeps the team within the bounds of what is remembered; it follows settled charges only, since a refund
// after a forgiven charge would count twice.
func (s *Scheduler) forgive(t *team) {
	bound := s.virtualOf(memory)
	s.setVirtual(t, min(max(t.virtual, s.virtual-bound), s.virtual+bound))
}

func (s *Scheduler) setVirtual(t *team, virtual float64) {
	t.virtual = virtual
	s.ready.fix(t)
	s.urgent.fix(t)
	s.held.fix(t)
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

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
