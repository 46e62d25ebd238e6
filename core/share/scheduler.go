package share

import (
	"math"
	"slices"
	"strings"
	"time"

	"mangowing/core/codes"
	"mangowing/core/decl"
)

const (
	// RetryDelay is how long a team is skipped after mayStart refused it.
	RetryDelay = 5 * time.Millisecond

	// Bounds on the run time that an item is charged for in advance.
	minPrepaid = 5 * time.Millisecond
	maxPrepaid = 500 * time.Millisecond
	// Maximum by which a team's service may be ahead of or behind its share, given as the time in which its share provides
	// that much service. Any excess is dropped.
	maxDeviation = 4 * time.Second
	// Work with a longer expected run time counts as long.
	longRunThreshold = 8400 * time.Millisecond
	// Fraction of the slots that long-running work may hold; the rest stays free for urgent work.
	defaultLongFraction = 0.75
	// An item is shed once less than this fraction of its expected run time is left before its deadline.
	shedFraction = 0.5
)

// Scheduler implements weighted fair queueing between teams, measured in observed slot-seconds. The zero value is ready to
// use.
type Scheduler struct {
	teams           map[string]*team
	entries         map[string]*entry // waiting and running, by id
	ready           indexHeap[*team]  // teams with waiting work that are not backing off
	urgent          indexHeap[*team]  // ready teams with waiting urgent work, by occupancyLess
	byShedTime      indexHeap[*entry] // waiting items with a deadline
	prepaid         indexHeap[*entry] // running items, by the time up to which they are charged
	deferred        indexHeap[*team]  // teams backing off with only long-running work, which starts if no team is ready
	backoffs        []backoff         // teams to skip, by end of the backoff
	virtualTime     float64           // least virtual time of the ready teams; never decreases
	busyPeriod      uint64            // number of the current one; it ends when no item waits
	activeWeight    float64           // sum over teams with waiting or running items
	rate            virtualRate
	waiting         int
	running         int
	runningLong     int
	slots           int
	sequence        uint64
	longFraction    float64 // of the slots, that long-running work may hold
	hasLongFraction bool
}

// New returns an empty scheduler.
func New() *Scheduler { return &Scheduler{} }

func (s *Scheduler) initialize() {
	if s.teams != nil {
		return
	}
	s.teams = map[string]*team{}
	s.entries = map[string]*entry{}
	s.ready = indexHeap[*team]{less: virtualTimeLess, position: func(t *team) *int { return &t.readyIndex }}
	s.urgent = indexHeap[*team]{less: occupancyLess, position: func(t *team) *int { return &t.urgentIndex }}
	s.deferred = indexHeap[*team]{less: virtualTimeLess, position: func(t *team) *int { return &t.deferredIndex }}
	s.byShedTime = indexHeap[*entry]{less: shedTimeLess, position: func(e *entry) *int { return &e.shedIndex }}
	s.prepaid = indexHeap[*entry]{less: chargedUntilLess, position: func(e *entry) *int { return &e.prepaidIndex }}
}

// SetSlots sets the number of slots that the dispatcher fills, 0 if unknown.
func (s *Scheduler) SetSlots(slots int) { s.slots = slots }

// SetLongRunReserve sets the percentage of the slots that long-running work leaves free. The default is 25.
func (s *Scheduler) SetLongRunReserve(percent int) {
	s.longFraction = 1 - float64(percent)/100
	s.hasLongFraction = true
}

// SetTeam sets a team's weight and the maximum length of its queue. A value below 1 selects the default (1 and 200).
func (s *Scheduler) SetTeam(name string, weight, queueLength int) {
	t := s.ensureTeam(name)
	t.weight = float64(max(weight, 1))
	s.urgent.fix(t)
	t.queueLength = defaultQueueLength
	if queueLength > 0 {
		t.queueLength = queueLength
	}
	s.updateActiveWeight(t)
}

// SetWeight changes the weight of a team with waiting or running items and reports whether there is one. A value below 1
// counts as 1.
func (s *Scheduler) SetWeight(name string, weight int) bool {
	t, ok := s.teams[name]
	if !ok || t.activeWeight == 0 {
		return false
	}
	s.SetTeam(name, weight, t.queueLength)
	return true
}

func (s *Scheduler) ensureTeam(name string) *team {
	s.initialize()
	t, ok := s.teams[name]
	if !ok {
		t = newTeam(name)
		s.teams[name] = t
	}
	return t
}

// Add enqueues an item. It returns OK, QueueFull, DeadlineUnmeetable, or AlreadyClaimed for the id of a waiting or running
// item.
func (s *Scheduler) Add(item Item, now time.Time) codes.Code {
	t := s.ensureTeam(item.Team())
	if _, known := s.entries[item.ID()]; known {
		return codes.AlreadyClaimed
	}
	if t.waiting >= t.queueLength {
		return codes.QueueFull
	}
	if s.isDeadlineUnmeetable(t, item, now) {
		return codes.DeadlineUnmeetable
	}
	if item.spec.Arrived.IsZero() {
		item.spec.Arrived = now
	}
	s.sequence++
	s.enqueue(newEntry(item, t, s.sequence))
	return codes.OK
}

func (s *Scheduler) enqueue(e *entry) {
	t := e.team
	if s.waiting == 0 {
		s.busyPeriod++ // nothing waited, so no team is owed service and virtual times start anew
	}
	s.joinBusyPeriod(t)
	if t.waiting == 0 {
		t.virtualTime = max(t.virtualTime, s.virtualTime)
	}
	s.entries[e.item.ID()] = e
	t.push(e)
	s.waiting++
	if d := e.item.Deadline(); !d.IsZero() {
		e.shedAt = d.Add(-s.minRunTime(e))
		s.byShedTime.push(e)
	}
	s.updateActiveWeight(t)
	s.updateHeaps(t)
	if t.hasDeferredLong && !t.isLimitedAsLong(e) {
		s.endBackoff(t)
	}
}

// minRunTime returns the time that an item needs at least, 0 until enough run times were observed.
func (s *Scheduler) minRunTime(e *entry) time.Duration {
	return minRunTime(e.team.queue(e.item.Class()))
}

func minRunTime(q *classQueue) time.Duration {
	if q.observations < maxObservations {
		return 0
	}
	return toDuration(shedFraction * q.meanSeconds)
}

// isDeadlineUnmeetable estimates the wait from the team's backlog ahead of the item and from the slots that the team holds
// or is entitled to, whichever is more.
func (s *Scheduler) isDeadlineUnmeetable(t *team, item Item, now time.Time) bool {
	if item.Deadline().IsZero() {
		return false
	}
	ahead := t.queue(decl.Urgent).backlogSeconds()
	if item.Class() != decl.Urgent {
		ahead += t.queue(decl.Normal).backlogSeconds()
	}
	if item.Class() == decl.Patient || item.Class() == decl.Background {
		ahead += t.queue(decl.Patient).backlogSeconds()
	}
	slots := max(s.entitledSlots(t), float64(t.running), 1)
	wait := toDuration(ahead / slots)
	return now.Add(wait + minRunTime(t.queue(item.Class()))).After(item.Deadline())
}

// Remove dequeues a waiting item and reports whether it was waiting.
func (s *Scheduler) Remove(id string) bool {
	e, ok := s.entries[id]
	if !ok || !e.isWaiting() {
		return false
	}
	s.dequeue(e)
	delete(s.entries, id)
	return true
}

func (s *Scheduler) dequeue(e *entry) {
	e.team.remove(e)
	s.byShedTime.remove(e)
	s.waiting--
	s.updateActiveWeight(e.team)
	s.updateHeaps(e.team)
}

// Expire dequeues and returns the waiting items that can no longer meet their deadline.
func (s *Scheduler) Expire(now time.Time) []Item {
	var out []Item
	for {
		e, ok := s.byShedTime.top()
		if !ok || e.shedAt.After(now) {
			return out
		}
		s.dequeue(e)
		delete(s.entries, e.item.ID())
		out = append(out, e.item)
	}
}

// Next dequeues the item to start now, marks it as running and charges its team. A nil mayStart allows every team.
func (s *Scheduler) Next(now time.Time, mayStart func(team string) bool) (Item, bool) {
	s.chargeRunning(now)
	s.endExpiredBackoffs(now)
	s.rate.sample(s.virtualTime, now)
	for {
		t, ok := s.nextTeam()
		if !ok {
			return s.nextDeferred(now, mayStart)
		}
		e, ok := t.pickNext(now, s.entitledSlots(t), s.isLongCapacityFull() || s.hasFullShare(t))
		if !ok {
			s.backOff(t, true, now)
			continue
		}
		if mayStart != nil && !mayStart(t.name) {
			s.backOff(t, false, now)
			continue
		}
		s.start(e, now)
		return e.item, true
	}
}

// nextDeferred starts long-running work of a team that already has its full share, since no other team has startable work.
func (s *Scheduler) nextDeferred(now time.Time, mayStart func(team string) bool) (Item, bool) {
	for !s.isLongCapacityFull() {
		t, ok := s.deferred.top()
		if !ok {
			break
		}
		e, ok := t.pickNext(now, s.entitledSlots(t), false)
		if !ok || mayStart != nil && !mayStart(t.name) {
			s.backOff(t, false, now)
			continue
		}
		s.start(e, now)
		return e.item, true
	}
	return Item{}, false
}

// hasFullShare reports whether the team already runs its full share, so that more long runs would take other teams' slots.
func (s *Scheduler) hasFullShare(t *team) bool {
	rate := s.rate.perSecond
	if rate == 0 {
		rate = s.slotCount() / max(s.activeWeight, t.weight)
	}
	return float64(t.running) >= max(math.Round(t.weight*rate), 1)
}

// Take dequeues up to n waiting items of the team, in the order in which they would start, to move them to another
// dispatcher.
func (s *Scheduler) Take(name string, n int, now time.Time) []Item {
	t, ok := s.teams[name]
	if !ok {
		return nil
	}
	var out []Item
	for len(out) < n {
		next, found := t.pickNext(now, s.entitledSlots(t), false)
		if !found {
			return out
		}
		s.dequeue(next)
		delete(s.entries, next.item.ID())
		out = append(out, next.item)
	}
	return out
}

// nextTeam returns the ready team with the least virtual time. A team with urgent work that holds fewer slots than its
// share goes first.
func (s *Scheduler) nextTeam() (*team, bool) {
	least, ok := s.ready.top()
	if !ok {
		return nil, false
	}
	s.virtualTime = max(s.virtualTime, least.virtualTime)
	if u, found := s.urgent.top(); found && float64(u.running+1) <= s.entitledSlots(u) {
		return u, true
	}
	return least, true
}

func (s *Scheduler) isLongCapacityFull() bool {
	if s.slots == 0 {
		return false
	}
	fraction := defaultLongFraction
	if s.hasLongFraction {
		fraction = s.longFraction
	}
	return float64(s.runningLong) >= fraction*float64(s.slots)
}

func (s *Scheduler) start(e *entry, now time.Time) {
	t := e.team
	e.isLong = t.mayRunLong(e)
	s.dequeue(e)
	s.markRunning(e, now)
}

// Waiting returns the number of waiting items.
func (s *Scheduler) Waiting() int { return s.waiting }

// TeamWaiting returns the number of waiting items of one team.
func (s *Scheduler) TeamWaiting(team string) int {
	if t, ok := s.teams[team]; ok {
		return t.waiting
	}
	return 0
}

// Running returns the number of running items.
func (s *Scheduler) Running() int { return s.running }

// TeamSnapshot holds a team's state for metrics.
type TeamSnapshot struct {
	name    string
	weight  float64
	waiting int
	running int
	service float64
	ahead   float64
}

// Name returns the team's name.
func (t TeamSnapshot) Name() string { return t.name }

// Weight returns the team's weight.
func (t TeamSnapshot) Weight() float64 { return t.weight }

// Waiting returns the number of waiting items.
func (t TeamSnapshot) Waiting() int { return t.waiting }

// Running returns the number of running items.
func (t TeamSnapshot) Running() int { return t.running }

// Service returns the slot-seconds charged by this scheduler.
func (t TeamSnapshot) Service() float64 { return t.service }

// Ahead returns the slot-seconds by which the team is ahead of its share; it is negative if the team is behind.
func (t TeamSnapshot) Ahead() float64 { return t.ahead }

// Snapshot returns the teams with waiting or running items, sorted by name.
func (s *Scheduler) Snapshot() []TeamSnapshot {
	var out []TeamSnapshot
	for _, t := range s.teams {
		if t.activeWeight > 0 {
			ahead := (t.virtualTime - s.virtualTime) * t.weight
			out = append(out, TeamSnapshot{t.name, t.weight, t.waiting, t.running, t.served, ahead})
		}
	}
	slices.SortFunc(out, func(a, b TeamSnapshot) int { return strings.Compare(a.name, b.name) })
	return out
}
