package share

import (
	"time"

	"mangowing/core/decl"
)

// Adopt registers an item that has been running since the given time and reports whether its id was new. A dispatcher
// calls it when it takes over from another one.
func (s *Scheduler) Adopt(item Item, startedAt, now time.Time) bool {
	t := s.ensureTeam(item.Team())
	if _, known := s.entries[item.ID()]; known {
		return false
	}
	s.sequence++
	e := newEntry(item, t, s.sequence)
	s.entries[item.ID()] = e
	e.chargedSeconds = max(now.Sub(startedAt).Seconds(), 0) // already charged by the dispatcher that started it
	e.isLong = e.chargedSeconds > longRunThreshold.Seconds()
	s.markRunning(e, now)
	return true
}

// markRunning counts the item as running and charges its team in advance for the first part of the run.
func (s *Scheduler) markRunning(e *entry, now time.Time) {
	t := e.team
	t.running++
	t.queue(e.item.Class()).running++
	s.running++
	if e.isLong {
		s.runningLong++
	}
	s.updateActiveWeight(t)
	s.urgent.fix(t)
	expected := toDuration(t.queue(e.item.Class()).expectedSeconds(e.item.Expected()))
	span := min(max(expected, minPrepaid), maxPrepaid)
	e.chargedUntil = now.Add(span)
	e.chargedSeconds += span.Seconds()
	s.prepaid.push(e)
	s.charge(t, e.item.Class(), span.Seconds())
}

// chargeRunning charges each running item whose prepaid time is over, for the time since then and for a further maxPrepaid.
func (s *Scheduler) chargeRunning(now time.Time) {
	for {
		e, ok := s.prepaid.top()
		if !ok || e.chargedUntil.After(now) {
			return
		}
		span := now.Sub(e.chargedUntil) + maxPrepaid
		e.chargedUntil = e.chargedUntil.Add(span)
		e.chargedSeconds += span.Seconds()
		s.prepaid.fix(e)
		s.charge(e.team, e.item.Class(), span.Seconds())
		s.markLong(e)
		if e.isLong {
			s.clampVirtualTime(e.team)
		}
	}
}

// markLong marks an item that has run longer than longRunThreshold. It also records the time so far as an observed run
// time, so that the class is known to run long before its first item has ended.
func (s *Scheduler) markLong(e *entry) {
	if e.isLong || e.chargedSeconds <= longRunThreshold.Seconds() {
		return
	}
	e.isLong = true
	s.runningLong++
	e.team.queue(e.item.Class()).observe(e.chargedSeconds)
}

// Finish removes a running item, corrects its charge to the time that it ran (0 if it never started) and reports
// whether the item was running.
func (s *Scheduler) Finish(id string, ran time.Duration, now time.Time) bool {
	e, ok := s.entries[id]
	if !ok || e.isWaiting() {
		return false
	}
	t := e.team
	delete(s.entries, id)
	s.prepaid.remove(e)
	s.chargeRunning(now)
	t.running--
	t.queue(e.item.Class()).running--
	s.running--
	if e.isLong {
		s.runningLong--
	}
	if ran > 0 {
		t.queue(e.item.Class()).observe(ran.Seconds())
	}
	s.charge(t, e.item.Class(), ran.Seconds()-e.chargedSeconds)
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

// clampVirtualTime limits how far the team's virtual time may deviate from the scheduler's. Charges in advance are not
// clamped until they are final, since a refund of a charge that was clamped away would count twice. Only those of
// long-running items are clamped at once.
func (s *Scheduler) clampVirtualTime(t *team) {
	bound := s.virtualTimeFor(maxDeviation)
	s.setVirtualTime(t, min(max(t.virtualTime, s.virtualTime-bound), s.virtualTime+bound))
}

func (s *Scheduler) setVirtualTime(t *team, virtualTime float64) {
	t.virtualTime = virtualTime
	s.ready.fix(t)
	s.urgent.fix(t)
	s.deferred.fix(t)
}

// joinBusyPeriod resets the team's virtual time if a new busy period began since its last charge. A busy period is a time in
// which items wait.
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
