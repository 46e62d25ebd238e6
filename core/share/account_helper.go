package share

import (
	"time"

	"mangowing/core/decl"
)

// Adopt registers an item that has been running since the given time and reports whether its id was new. A dispatcher
// calls it when it takes over from another one.
func (s *Scheduler) Adopt(item Item, since, now time.Time) bool {
	t := s.ensureTeam(item.Team())
	if _, known := s.entries[item.ID()]; known {
		return false
	}
	s.sequence++
	n := newEntry(item, t, s.sequence)
	s.entries[item.ID()] = n
	n.chargedSeconds = max(now.Sub(since).Seconds(), 0) // already charged by the dispatcher that started it
	n.isLong = n.chargedSeconds > longRunThreshold.Seconds()
	s.markRunning(n, now)
	return true
}

// markRunning counts the item as running and charges its team in advance for the first part of the run.
func (s *Scheduler) markRunning(n *entry, now time.Time) {
	t := n.team
	t.running++
	t.queue(n.item.Class()).running++
	s.running++
	if n.isLong {
		s.runningLong++
	}
	s.updateActiveWeight(t)
	s.urgent.fix(t)
	expected := toDuration(t.queue(n.item.Class()).expectedSeconds(n.item.Expected()))
	span := min(max(expected, minPrepaid), maxPrepaid)
	n.chargedUntil = now.Add(span)
	n.chargedSeconds += span.Seconds()
	s.prepaid.push(n)
	s.charge(t, n.item.Class(), span.Seconds())
}

// chargeRunning charges running items whose prepaid time is over for the time since and for the next maxPrepaid.
func (s *Scheduler) chargeRunning(now time.Time) {
	for {
		n, ok := s.prepaid.top()
		if !ok || n.chargedUntil.After(now) {
			return
		}
		span := now.Sub(n.chargedUntil) + maxPrepaid
		n.chargedUntil = n.chargedUntil.Add(span)
		n.chargedSeconds += span.Seconds()
		s.prepaid.fix(n)
		s.charge(n.team, n.item.Class(), span.Seconds())
		s.markLong(n)
		if n.isLong {
			s.clampVirtualTime(n.team)
		}
	}
}

// markLong marks an item that has run longer than longRunThreshold. It also records the time so far as an observed run
// time, so that the class is known to run long before its first item has ended.
func (s *Scheduler) markLong(n *entry) {
	if n.isLong || n.chargedSeconds <= longRunThreshold.Seconds() {
		return
	}
	n.isLong = true
	s.runningLong++
	n.team.queue(n.item.Class()).observe(n.chargedSeconds)
}

// Finish removes a running item, corrects its charge to the time that it ran (0 if it never started) and reports
// whether the item was running.
func (s *Scheduler) Finish(id string, ran time.Duration, now time.Time) bool {
	n, ok := s.entries[id]
	if !ok || n.isWaiting() {
		return false
	}
	t := n.team
	delete(s.entries, id)
	s.prepaid.remove(n)
	s.chargeRunning(now)
	t.running--
	t.queue(n.item.Class()).running--
	s.running--
	if n.isLong {
		s.runningLong--
	}
	if ran > 0 {
		t.queue(n.item.Class()).observe(ran.Seconds())
	}
	s.charge(t, n.item.Class(), ran.Seconds()-n.chargedSeconds)
	s.clampVirtualTime(t)
	s.updateActiveWeight(t)
	s.urgent.fix(t)
	s.Unblock(t.name)
	return true
}

// Service returns the slot-seconds that this scheduler charged to the team, including those charged in advance for
// running items.
func (s *Scheduler) Service(name string) float64 {
	if t, ok := s.teams[name]; ok {
		return t.served
	}
	return 0
}

// AddRemoteService charges the team for the slot-seconds that other dispatchers of the pool gave it since the last call.
func (s *Scheduler) AddRemoteService(name string, slotSeconds float64) {
	t := s.ensureTeam(name)
	t.remoteService += slotSeconds
	s.addVirtualTime(t, slotSeconds)
	s.clampVirtualTime(t)
}

func (s *Scheduler) charge(t *team, c decl.Class, seconds float64) {
	t.charge(c, seconds)
	s.addVirtualTime(t, seconds)
}

func (s *Scheduler) addVirtualTime(t *team, seconds float64) {
	s.joinBusyPeriod(t)
	s.setVirtualTime(t, t.virtualTime+seconds/t.weight)
}

// clampVirtualTime limits how far the team's virtual time may deviate from the scheduler's. It is called only after
// final charges: a refund of a charge that was clamped away would count twice.
func (s *Scheduler) clampVirtualTime(t *team) {
	bound := s.virtualTimeFor(maxDeviation)
	s.setVirtualTime(t, min(max(t.virtualTime, s.virtualTime-bound), s.virtualTime+bound))
}

func (s *Scheduler) setVirtualTime(t *team, virtual float64) {
	t.virtualTime = virtual
	s.ready.fix(t)
	s.urgent.fix(t)
	s.deferred.fix(t)
}

// joinBusyPeriod resets the team's virtual time if a new busy period (a time in which work waits) began since its last
// charge.
func (s *Scheduler) joinBusyPeriod(t *team) {
	if t.busyPeriod != s.busyPeriod {
		t.busyPeriod = s.busyPeriod
		t.virtualTime = s.virtualTime
	}
}

// virtualTimeFor returns the virtual time that passes in the given time while all active teams get their shares.
func (s *Scheduler) virtualTimeFor(d time.Duration) float64 {
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

func (s *Scheduler) updateActiveWeight(t *team) {
	weight := 0.0
	if t.waiting+t.running > 0 {
		weight = t.weight
	}
	s.activeWeight += weight - t.activeWeight
	t.activeWeight = weight
}

func toDuration(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
