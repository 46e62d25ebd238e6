package share

import (
	"time"

	"mangowing/core/decl"
)

// Background work without a latest finish is ordered as if it were due this long after its arrival.
const defaultFinishDelay = 365 * 24 * time.Hour

// ItemSpec holds the fields of an Item for NewItem.
type ItemSpec struct {
	ID           string        // the request's id, unique among waiting and running items
	Team         string        // the team that is charged
	Class        decl.Class    // the urgency within the team
	Arrived      time.Time     // preserves the order of an item that is added again; zero: the time of Add
	Deadline     time.Time     // after it the answer is of no use; zero: none
	LatestFinish time.Time     // target for background work, which is never shed; zero: none
	Expected     time.Duration // declared run time, used until a run time was observed
	Payload      any           // opaque value of the dispatcher
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

// Payload returns the opaque value that the dispatcher stored with the item.
func (i Item) Payload() any { return i.spec.Payload }

// entry is an item with its scheduling state; it is either in its class's queue or running.
type entry struct {
	item           Item
	team           *team
	rank           int64     // smaller starts first within the class
	sequence       uint64    // order of addition, breaks ties
	shedAt         time.Time // when the item can no longer meet its deadline
	chargedSeconds float64   // slot-seconds charged so far
	chargedUntil   time.Time
	isLong         bool
	queueIndex     int
	shedIndex      int
	prepaidIndex   int
}

func newEntry(item Item, t *team, sequence uint64) *entry {
	return &entry{item: item, team: t, sequence: sequence, rank: rank(item)}
}

// rank orders background work by latest finish (items without one come last) and other work by arrival.
func rank(item Item) int64 {
	switch {
	case item.Class() != decl.Background:
		return item.Arrived().UnixNano()
	case item.LatestFinish().IsZero():
		return item.Arrived().Add(defaultFinishDelay).UnixNano()
	default:
		return item.LatestFinish().UnixNano()
	}
}

func (e *entry) isWaiting() bool { return e.queueIndex != 0 }

func rankLess(a, b *entry) bool {
	if a.rank != b.rank {
		return a.rank < b.rank
	}
	return a.sequence < b.sequence
}

func shedTimeLess(a, b *entry) bool {
	if !a.shedAt.Equal(b.shedAt) {
		return a.shedAt.Before(b.shedAt)
	}
	return a.sequence < b.sequence
}

func chargedUntilLess(a, b *entry) bool {
	if !a.chargedUntil.Equal(b.chargedUntil) {
		return a.chargedUntil.Before(b.chargedUntil)
	}
	return a.sequence < b.sequence
}
