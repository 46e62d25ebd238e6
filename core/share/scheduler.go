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
	// RetryDelay is how long a team that mayStart refused is not asked again.
	RetryDelay = 5 * time.Millisecond

	// Shortest and longest time that a running item is charged for in advance.
	shortestCharge = 5 * time.Millisecond
	longestCharge  = 500 * time.Millisecond
	// Time of its own share by which a team may be ahead at most before more is forgiven, or behind at most.
	memory = 4 * time.Second
	// Work that is expected to take longer than this runs long.
	longRun = 8400 * time.Millisecond
	// Part of the slots that work which runs long may hold; the rest is left for urgent work.
	defaultLongPart = 0.75
	// Part of the expected run time that must be left before a deadline for an item not to be shed.
	shedPart = 0.5
)

// Scheduler is weighted fair queueing by team over observed slot-seconds; the zero value works.
type Scheduler struct {
	teams        map[string]*team
	nodes        map[string]*node // waiting and running, by id
	ready        indexHeap[*team] // teams with waiting work that may be asked
	urgent       indexHeap[*team] // those of them with urgent work waiting, by the slots that they hold
	shed         indexHeap[*node] // waiting items with a deadline
	paid         indexHeap[*node] // running items by the time they are charged for
	held         indexHeap[*team] // parked ones whose work that runs long waits until nobody else does
	parked       []parking        // teams that are not asked for a short time, in order of its end
	virtual      float64
	busyPeriod   uint64
	activeWeight float64
	rate         virtualRate
	waiting      int
	running      int
	runningLong  int
	slots        int
	sequence     uint64
	longPart     float64 // of the slots, for work that runs long
	hasLongPart  bool
}

// New returns an empty scheduler.
func New() *Scheduler { return &Scheduler{} }

func (s *Scheduler) prepare() {
	if s.teams != nil {
		return
	}
	s.teams = map[string]*team{}
	s.nodes = map[string]*node{}
	s.ready = indexHeap[*team]{less: virtualLess, place: func(t *team) *int { return &t.readyPlace }}
	s.urgent = indexHeap[*team]{less: occupancyLess, place: func(t *team) *int { return &t.urgentPlace }}
	s.held = indexHeap[*team]{less: virtualLess, place: func(t *team) *int { return &t.heldPlace }}
	s.shed = indexHeap[*node]{less: shedLess, place: func(n *node) *int { return &n.shedPlace }}
	s.paid = indexHeap[*node]{less: paidLess, place: func(n *node) *int { return &n.paidPlace }}
}

// SetSlots sets how many slots the dispatcher fills, 0 if that is not known.
func (s *Scheduler) SetSlots(slots int) { s.slots = slots }

// SetLongRunReserve sets the percentage of the slots that work which runs long leaves free, at first 25.
func (s *Scheduler) SetLongRunReserve(percent int) {
	s.longPart = 1 - float64(percent)/100
	s.hasLongPart = true
}

// SetTeam sets a team's weight and how many of its items may wait; a value below 1 means the default.
func (s *Scheduler) SetTeam(name string, weight, queueLength int) {
	t := s.team(name)
	t.weight = float64(max(weight, 1))
	s.urgent.fix(t)
	t.queueLength = defaultQueueLength
	if queueLength > 0 {
		t.queueLength = queueLength
	}
	s.updateActive(t)
}

// SetWeight changes the weight of a team that waits or runs and tells whether there is one; a value below 1 counts as 1.
func (s *Scheduler) SetWeight(name string, weight int) bool {
	t, ok := s.teams[name]
	if !ok || t.activeWeight == 0 {
		return false
	}
	s.SetTeam(name, weight, t.queueLength)
	return true
}

func (s *Scheduler) team(name string) *team {
	s.prepare()
	t, ok := s.teams[name]
	if !ok {
		t = newTeam(name)
		s.teams[name] = t
	}
	return t
}

// Add lets an item wait; it answers OK, QueueFull, DeadlineUnmeetable or, for an id that waits or runs, AlreadyClaimed.
func (s *Scheduler) Add(item Item, now time.Time) codes.Code {
	t := s.team(item.Team())
	if _, known := s.nodes[item.ID()]; known {
		return codes.AlreadyClaimed
	}
	if t.waiting >= t.queueLength {
		return codes.QueueFull
	}
	if s.unmeetable(t, item, now) {
		return codes.DeadlineUnmeetable
	}
	if item.spec.Arrived.IsZero() {
		item.spec.Arrived = now
	}
	s.sequence++
	s.enqueue(newNode(item, t, s.sequence))
	return codes.OK
}

func (s *Scheduler) enqueue(n *node) {
	t := n.team
	if s.waiting == 0 {
		s.busyPeriod++ // nobody waited, so nobody is owed anything
	}
	s.synchronize(t)
	if t.waiting == 0 {
		t.virtual = max(t.virtual, s.virtual)
	}
	s.nodes[n.item.ID()] = n
	t.push(n)
	s.waiting++
	if d := n.item.Deadline(); !d.IsZero() {
		n.shedAt = d.Add(-s.leastRun(n))
		s.shed.push(n)
	}
	s.updateActive(t)
	s.updateReady(t)
	if t.holdsLong && !t.mayBlock(n) {
		s.release(t)
	}
}

// leastRun is the time that an item needs at least, as far as run times were observed.
func (s *Scheduler) leastRun(n *node) time.Duration {
	return leastRun(n.team.queue(n.item.Class()))
}

func leastRun(q *classQueue) time.Duration {
	if q.observations < longestMemory {
		return 0
	}
	return seconds(shedPart * q.meanSeconds)
}

// unmeetable estimates the wait from the team's work ahead and the slots that it has or is entitled to.
func (s *Scheduler) unmeetable(t *team, item Item, now time.Time) bool {
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
	wait := seconds(ahead / slots)
	return now.Add(wait + leastRun(t.queue(item.Class()))).After(item.Deadline())
}

// Remove takes a waiting item out; it tells whether the item was waiting.
func (s *Scheduler) Remove(id string) bool {
	n, ok := s.nodes[id]
	if !ok || !n.waiting() {
		return false
	}
	s.dequeue(n)
	delete(s.nodes, id)
	return true
}

func (s *Scheduler) dequeue(n *node) {
	n.team.remove(n)
	s.shed.remove(n)
	s.waiting--
	s.updateActive(n.team)
	s.updateReady(n.team)
}

// Expire takes out and returns the waiting items that can't meet their deadline any more.
func (s *Scheduler) Expire(now time.Time) []Item {
	var out []Item
	for {
		n, ok := s.shed.top()
		if !ok || n.shedAt.After(now) {
			return out
		}
		s.dequeue(n)
		delete(s.nodes, n.item.ID())
		out = append(out, n.item)
	}
}

// Next takes out the item that starts now and charges its team; a nil mayStart allows every team.
func (s *Scheduler) Next(now time.Time, mayStart func(team string) bool) (Item, bool) {
	s.advance(now)
	s.unpark(now)
	s.rate.note(s.virtual, now)
	for {
		t, ok := s.leader()
		if !ok {
			return s.nextHeld(now, mayStart)
		}
		n, ok := t.pick(now, s.entitledSlots(t), s.longFull() || s.beyondShare(t))
		if !ok {
			s.park(t, true, now)
			continue
		}
		if mayStart != nil && !mayStart(t.name) {
			s.park(t, false, now)
			continue
		}
		s.start(n, now)
		return n.item, true
	}
}

// nextHeld starts work that runs long beyond its team's share, since no other team waits.
func (s *Scheduler) nextHeld(now time.Time, mayStart func(team string) bool) (Item, bool) {
	for !s.longFull() {
		t, ok := s.held.top()
		if !ok {
			break
		}
		n, ok := t.pick(now, s.entitledSlots(t), false)
		if !ok || mayStart != nil && !mayStart(t.name) {
			s.park(t, false, now)
			continue
		}
		s.start(n, now)
		return n.item, true
	}
	return Item{}, false
}

// beyondShare tells whether the team runs as much as its share, so that more long runs would take others' slots.
func (s *Scheduler) beyondShare(t *team) bool {
	rate := s.rate.perSecond
	if rate == 0 {
		rate = s.slotCount() / max(s.activeWeight, t.weight)
	}
	return float64(t.running) >= max(math.Round(t.weight*rate), 1)
}

// Take takes out up to n waiting items of the team, in the order in which they would start, for another dispatcher.
func (s *Scheduler) Take(name string, n int, now time.Time) []Item {
	t, ok := s.teams[name]
	if !ok {
		return nil
	}
	var out []Item
	for len(out) < n {
		next, found := t.pick(now, s.entitledSlots(t), false)
		if !found {
			return out
		}
		s.dequeue(next)
		delete(s.nodes, next.item.ID())
		out = append(out, next.item)
	}
	return out
}

// leader returns the team with the least virtual time, or one with urgent work that holds fewer slots than its share.
func (s *Scheduler) leader() (*team, bool) {
	least, ok := s.ready.top()
	if !ok {
		return nil, false
	}
	s.virtual = max(s.virtual, least.virtual)
	if u, found := s.urgent.top(); found && float64(u.running+1) <= s.entitledSlots(u) {
		return u, true
	}
	return least, true
}

func (s *Scheduler) longFull() bool {
	if s.slots == 0 {
		return false
	}
	part := defaultLongPart
	if s.hasLongPart {
		part = s.longPart
	}
	return float64(s.runningLong) >= part*float64(s.slots)
}

func (s *Scheduler) start(n *node, now time.Time) {
	t := n.team
	n.long = t.runsLong(n)
	s.dequeue(n)
	s.run(n, now)
}

// Waiting returns the number of waiting items.
func (s *Scheduler) Waiting() int { return s.waiting }

// TeamWaiting returns the number of the team's waiting items.
func (s *Scheduler) TeamWaiting(team string) int {
	if t, ok := s.teams[team]; ok {
		return t.waiting
	}
	return 0
}

// Running returns the number of running items.
func (s *Scheduler) Running() int { return s.running }

// TeamSnapshot is a team's state for metrics.
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

// Ahead returns the slot-seconds by which the team is ahead of its share, negative if behind.
func (t TeamSnapshot) Ahead() float64 { return t.ahead }

// Snapshot returns the teams with waiting or running work, by name.
func (s *Scheduler) Snapshot() []TeamSnapshot {
	var out []TeamSnapshot
	for _, t := range s.teams {
		if t.activeWeight > 0 {
			ahead := (t.virtual - s.virtual) * t.weight
			out = append(out, TeamSnapshot{t.name, t.weight, t.waiting, t.running, t.charged, ahead})
		}
	}
	slices.SortFunc(out, func(a, b TeamSnapshot) int { return strings.Compare(a.name, b.name) })
	return out
}
