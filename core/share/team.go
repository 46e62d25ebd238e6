package share

import (
	"time"

	"mangowing/core/decl"
)

const (
	classes            = 4
	defaultQueueLength = 200
	defaultRunTime     = time.Second
	longestMemory      = 16 // observations that a mean run time remembers
	// Parts of a team's service that a class gets before more urgent classes, while it waits.
	reservedPart = 0.1
	criticalPart = 0.5
	// Background work overtakes normal work at this multiple of the time that it needs.
	promotedSlack = 2.0
	criticalSlack = 1.2
)

// classQueue is the waiting work of one class of a team, with what the class received.
type classQueue struct {
	nodes        indexHeap[*node]
	charged      float64
	chargedStart float64 // charged when the class last became backlogged
	teamStart    float64 // the team's charged service at that time
	meanSeconds  float64
	observations int
	running      int
}

func newClassQueue() classQueue {
	return classQueue{nodes: indexHeap[*node]{less: rankLess, place: func(n *node) *int { return &n.queuePlace }}}
}

// observe takes in one run time; declared run times count only until the first observation.
func (q *classQueue) observe(seconds float64) {
	q.observations = min(q.observations+1, longestMemory)
	q.meanSeconds += (seconds - q.meanSeconds) / float64(q.observations)
}

func (q *classQueue) expected(declared time.Duration) float64 {
	if q.observations > 0 {
		return q.meanSeconds
	}
	if declared > 0 {
		return declared.Seconds()
	}
	return defaultRunTime.Seconds()
}

func (q *classQueue) backlogSeconds() float64 {
	head, ok := q.nodes.top()
	if !ok {
		return 0
	}
	return float64(q.nodes.len()) * q.expected(head.item.Expected())
}

// team is one team's queues and virtual time, which is its service divided by its weight.
type team struct {
	name         string
	weight       float64
	queueLength  int
	virtual      float64
	busyPeriod   uint64
	charged      float64
	foreign      float64
	waiting      int
	running      int
	queues       [classes]classQueue
	parkedUntil  time.Time
	parked       bool
	holdsLong    bool // parked because only work that runs long waits, beyond the team's share
	readyPlace   int
	urgentPlace  int
	heldPlace    int
	activeWeight float64 // the weight that counts as active, 0 while idle
}

func newTeam(name string) *team {
	t := &team{name: name, weight: 1, queueLength: defaultQueueLength}
	for i := range t.queues {
		t.queues[i] = newClassQueue()
	}
	return t
}

func virtualLess(a, b *team) bool {
	if a.virtual != b.virtual {
		return a.virtual < b.virtual
	}
	return a.name < b.name
}

// occupancyLess orders teams by the slots that they hold for each unit of weight.
func occupancyLess(a, b *team) bool {
	left, right := float64(a.running)*b.weight, float64(b.running)*a.weight
	if left != right {
		return left < right
	}
	return virtualLess(a, b)
}

func (t *team) queue(c decl.Class) *classQueue { return &t.queues[int(c)%classes] }

func (t *team) push(n *node) {
	q := t.queue(n.item.Class())
	if q.nodes.len() == 0 {
		q.chargedStart = q.charged
		q.teamStart = t.charged
	}
	q.nodes.push(n)
	t.waiting++
}

func (t *team) remove(n *node) {
	if t.queue(n.item.Class()).nodes.remove(n) {
		t.waiting--
	}
}

// charge books slot-seconds to the team and the class; negative ones are refunds.
func (t *team) charge(c decl.Class, seconds float64) {
	t.charged += seconds
	t.queue(c).charged += seconds
}

// deficit is how many slot-seconds the class lacks of its reserved part since it became backlogged.
func (t *team) deficit(c decl.Class, part float64) float64 {
	q := t.queue(c)
	return part*(t.charged-q.teamStart) - (q.charged - q.chargedStart)
}

// backgroundSlack is the time left until the first latest finish as a multiple of the time needed on the given slots.
func (t *team) backgroundSlack(now time.Time, slots float64) (float64, bool) {
	q := t.queue(decl.Background)
	head, ok := q.nodes.top()
	if !ok || head.item.LatestFinish().IsZero() {
		return 0, false
	}
	needed := q.backlogSeconds()/max(slots, 1) + q.expected(head.item.Expected())
	return head.item.LatestFinish().Sub(now).Seconds() / needed, true
}

// pick returns the item that the team starts next, given the slots that its share is worth; shortOnly passes over long work.
func (t *team) pick(now time.Time, slots float64, shortOnly bool) (*node, bool) {
	slack, hasFinish := t.backgroundSlack(now, slots)
	critical := hasFinish && slack < criticalSlack
	order := [classes]decl.Class{decl.Urgent, decl.Normal, decl.Patient, decl.Background}
	if hasFinish && slack < promotedSlack {
		order = [classes]decl.Class{decl.Urgent, decl.Background, decl.Normal, decl.Patient}
	}
	best, found := t.mostBehind(critical, shortOnly)
	for _, c := range order {
		if found {
			return best, true
		}
		best, found = t.head(c, shortOnly)
	}
	return best, found
}

func (t *team) head(c decl.Class, shortOnly bool) (*node, bool) {
	n, ok := t.queue(c).nodes.top()
	if !ok || shortOnly && t.mayBlock(n) {
		return nil, false
	}
	return n, true
}

// mayBlock tells whether the item may hold a slot for long; urgent work and the first run of a class go ahead.
func (t *team) mayBlock(n *node) bool {
	q := t.queue(n.item.Class())
	first := q.observations == 0 && q.running == 0
	return t.runsLong(n) && n.item.Class() != decl.Urgent && !first
}

// runsLong goes by observed run times; work without any may run long, whatever was declared.
func (t *team) runsLong(n *node) bool {
	q := t.queue(n.item.Class())
	return q.observations == 0 || q.meanSeconds > longRun.Seconds()
}

// mostBehind returns the head of the waiting class that lacks most of its reserved part, so that no class starves.
func (t *team) mostBehind(critical, shortOnly bool) (*node, bool) {
	var best *node
	most := 0.0
	for _, c := range []decl.Class{decl.Background, decl.Patient, decl.Normal} {
		part := reservedPart
		if c == decl.Background && critical {
			part = criticalPart
		}
		n, ok := t.head(c, shortOnly)
		if d := t.deficit(c, part); ok && d > most {
			best, most = n, d
		}
	}
	return best, best != nil
}
