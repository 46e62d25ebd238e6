package share

import (
	"time"

	"mangowing/core/decl"
)

const (
	classCount         = 4
	defaultQueueLength = 200
	defaultRunTime     = time.Second
	maxObservations    = 16 // window of the moving average of run times
	// Fractions of its team's service that a backlogged class gets before more urgent classes.
	reservedFraction = 0.1
	criticalFraction = 0.5
	// Background work goes before normal work once its slack (see backgroundSlack) is below promotionSlack, and gets the
	// criticalFraction once it is below criticalSlack.
	promotionSlack = 2.0
	criticalSlack  = 1.2
)

// classQueue holds the waiting items of one class of a team, the slot-seconds that the class was given, and its run times.
type classQueue struct {
	entries             indexHeap[*entry]
	served              float64
	servedAtBacklog     float64 // served when the class last became backlogged
	teamServedAtBacklog float64 // the team's served at that time
	meanSeconds         float64
	observations        int
	running             int
}

func newClassQueue() classQueue {
	return classQueue{entries: indexHeap[*entry]{less: rankLess, position: func(e *entry) *int { return &e.queueIndex }}}
}

// observe adds one run time to the mean. Declared run times are used only until the first observation.
func (q *classQueue) observe(seconds float64) {
	q.observations = min(q.observations+1, maxObservations)
	q.meanSeconds += (seconds - q.meanSeconds) / float64(q.observations)
}

func (q *classQueue) expectedSeconds(declared time.Duration) float64 {
	if q.observations > 0 {
		return q.meanSeconds
	}
	if declared > 0 {
		return declared.Seconds()
	}
	return defaultRunTime.Seconds()
}

func (q *classQueue) backlogSeconds() float64 {
	head, ok := q.entries.top()
	if !ok {
		return 0
	}
	return float64(q.entries.len()) * q.expectedSeconds(head.item.Expected())
}

// team holds one team's queues and its virtual time, which is its service divided by its weight.
type team struct {
	name            string
	weight          float64
	queueLength     int
	virtualTime     float64
	busyPeriod      uint64
	served          float64
	remoteService   float64
	waiting         int
	running         int
	queues          [classCount]classQueue
	backoffUntil    time.Time
	isBackingOff    bool
	hasDeferredLong bool // backing off because only long-running work waits, which the team's share does not cover
	readyIndex      int
	urgentIndex     int
	deferredIndex   int
	activeWeight    float64 // weight, or 0 while idle
}

func newTeam(name string) *team {
	t := &team{name: name, weight: 1, queueLength: defaultQueueLength}
	for i := range t.queues {
		t.queues[i] = newClassQueue()
	}
	return t
}

func virtualTimeLess(a, b *team) bool {
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.name < b.name
}

// occupancyLess orders teams by slots held per unit of weight.
func occupancyLess(a, b *team) bool {
	left, right := float64(a.running)*b.weight, float64(b.running)*a.weight
	if left != right {
		return left < right
	}
	return virtualTimeLess(a, b)
}

func (t *team) queue(c decl.Class) *classQueue { return &t.queues[int(c)%classCount] }

func (t *team) push(e *entry) {
	q := t.queue(e.item.Class())
	if q.entries.len() == 0 {
		q.servedAtBacklog = q.served
		q.teamServedAtBacklog = t.served
	}
	q.entries.push(e)
	t.waiting++
}

func (t *team) remove(e *entry) {
	if t.queue(e.item.Class()).entries.remove(e) {
		t.waiting--
	}
}

// charge adds slot-seconds to the team and the class; a negative amount is a refund.
func (t *team) charge(c decl.Class, seconds float64) {
	t.served += seconds
	t.queue(c).served += seconds
}

// deficit returns the slot-seconds by which the class is short of its reserved fraction since it became backlogged.
func (t *team) deficit(c decl.Class, fraction float64) float64 {
	q := t.queue(c)
	return fraction*(t.served-q.teamServedAtBacklog) - (q.served - q.servedAtBacklog)
}

// backgroundSlack returns the time left until the earliest latest finish, as a multiple of the time needed on the given
// slots. It returns false if no background item has a latest finish.
func (t *team) backgroundSlack(now time.Time, slots float64) (float64, bool) {
	q := t.queue(decl.Background)
	head, ok := q.entries.top()
	if !ok || head.item.LatestFinish().IsZero() {
		return 0, false
	}
	needed := q.backlogSeconds()/max(slots, 1) + q.expectedSeconds(head.item.Expected())
	return head.item.LatestFinish().Sub(now).Seconds() / needed, true
}

// pickNext returns the item that the team starts next, given the number of slots that it is entitled to. With shortOnly,
// long-running work is skipped.
func (t *team) pickNext(now time.Time, slots float64, shortOnly bool) (*entry, bool) {
	slack, hasFinish := t.backgroundSlack(now, slots)
	critical := hasFinish && slack < criticalSlack
	order := [classCount]decl.Class{decl.Urgent, decl.Normal, decl.Patient, decl.Background}
	if hasFinish && slack < promotionSlack {
		order = [classCount]decl.Class{decl.Urgent, decl.Background, decl.Normal, decl.Patient}
	}
	best, found := t.mostUnderserved(critical, shortOnly)
	for _, c := range order {
		if found {
			return best, true
		}
		best, found = t.head(c, shortOnly)
	}
	return best, found
}

func (t *team) head(c decl.Class, shortOnly bool) (*entry, bool) {
	e, ok := t.queue(c).entries.top()
	if !ok || shortOnly && t.isLimitedAsLong(e) {
		return nil, false
	}
	return e, true
}

// isLimitedAsLong reports whether the limits on long-running work apply to the item. Urgent work and the first run of a
// class are exempt.
func (t *team) isLimitedAsLong(e *entry) bool {
	q := t.queue(e.item.Class())
	first := q.observations == 0 && q.running == 0
	return t.mayRunLong(e) && e.item.Class() != decl.Urgent && !first
}

// mayRunLong reports whether the item is expected to run long, by observed run times. Without any, it may run long whatever
// was declared.
func (t *team) mayRunLong(e *entry) bool {
	q := t.queue(e.item.Class())
	return q.observations == 0 || q.meanSeconds > longRunThreshold.Seconds()
}

// mostUnderserved returns the head of the backlogged class with the largest deficit, so that no class starves.
func (t *team) mostUnderserved(critical, shortOnly bool) (*entry, bool) {
	var best *entry
	most := 0.0
	for _, c := range []decl.Class{decl.Background, decl.Patient, decl.Normal} {
		fraction := reservedFraction
		if c == decl.Background && critical {
			fraction = criticalFraction
		}
		e, ok := t.head(c, shortOnly)
		if d := t.deficit(c, fraction); ok && d > most {
			best, most = e, d
		}
	}
	return best, best != nil
}
