package share

import (
	"time"

	"mangowing/core/decl"
)

// Background work without a latest finish is ordered as if it had this long.
const noFinishDelay = 365 * 24 * time.Hour

// ItemSpec names the fields of an Item for NewItem.
type ItemSpec struct {
	ID           string        // the request's id, unique among waiting and running items
	Team         string        // the team that is charged
	Class        decl.Class    // the urgency within the team
	Arrived      time.Time     // keeps an item's place when it is added again; zero: the time of Add
	Deadline     time.Time     // the answer is of no use later; zero: none
	LatestFinish time.Time     // background work should be done by then, it is never shed; zero: none
	Expected     time.Duration // declared run time, used until run times were observed
	Payload      any           // the dispatcher's own value
}

// Item is one request that waits for a slot.
type Item struct {
	spec ItemSpec
}

// NewItem returns the item described by the specification.
func NewItem(s ItemSpec) Item { return Item{s} }

// ID returns the request's id.
func (i Item) ID() string { return i.spec.ID }

// Team returns the team that is charged.
func (i Item) Team() string { return i.spec.Team }

// Class returns the urgency within the team.
func (i Item) Class() decl.Class { return i.spec.Class }

// Arrived returns when the item was first added.
func (i Item) Arrived() time.Time { return i.spec.Arrived }

// Deadline returns the time after which the answer is of no use, zero for none.
func (i Item) Deadline() time.Time { return i.spec.Deadline }

// LatestFinish returns the time by which background work should be done, zero for none.
func (i Item) LatestFinish() time.Time { return i.spec.LatestFinish }

// Expected returns the declared run time.
func (i Item) Expected() time.Duration { return i.spec.Expected }

// Payload returns the dispatcher's own value.
func (i Item) Payload() any { return i.spec.Payload }

// node is an item's place in the scheduler; it waits in its class's queue or runs.
type node struct {
	item       Item
	team       *team
	rank       int64 // smaller starts first within the class
	sequence   uint64
	shedAt     time.Time
	paid       float64 // slot-seconds charged so far while running
	paidUntil  time.Time
	long       bool
	queuePlace int
	shedPlace  int
	paidPlace  int
}

func newNode(item Item, t *team, sequence uint64) *node {
	return &node{item: item, team: t, sequence: sequence, rank: rank(item)}
}

// rank orders background work by latest finish, work without one last, and other work by arrival.
func rank(item Item) int64 {
	switch {
	case item.Class() != decl.Background:
		return item.Arrived().UnixNano()
	case item.LatestFinish().IsZero():
		return item.Arrived().Add(noFinishDelay).UnixNano()
	default:
		return item.LatestFinish().UnixNano()
	}
}

func (n *node) waiting() bool { return n.queuePlace != 0 }

func rankLess(a, b *node) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.sequence < b.sequence
}

func shedLess(a, b *node) bool {
	if !a.shedAt.Equal(b.shedAt) {
		return a.shedAt.Before(b.shedAt)
	}
	return a.sequence < b.sequence
}

func paidLess(a, b *node) bool {
	if !a.paidUntil.Equal(b.paidUntil) {
		return a.paidUntil.Before(b.paidUntil)
	}
	return a.sequence < b.sequence
}
