package replay

import (
	"container/heap"
	"time"
)

// event is something that happens at a time of the replay.
type event interface{ isEvent() }

type (
	arrival   struct{ request *request } // at the dispatcher
	leaving   struct{ request *request } // the caller cancels
	finish    struct{ attempt *attempt }
	hedging   struct{ attempt *attempt } // the attempt has run unusually long
	heartbeat struct{}                   // dispatchers shed, retry and take samples
	gossip    struct{}
	retry     struct{ request *request } // a job's next try is due
)

func (arrival) isEvent()   {}
func (leaving) isEvent()   {}
func (finish) isEvent()    {}
func (hedging) isEvent()   {}
func (heartbeat) isEvent() {}
func (gossip) isEvent()    {}
func (retry) isEvent()     {}

type scheduled struct {
	at       time.Duration
	sequence int
	event    event
}

// eventQueue gives out events in order of time, those of one time in the order in which they were put in.
type eventQueue struct {
	entries  entries
	sequence int
}

func (q *eventQueue) push(at time.Duration, e event) {
	q.sequence++
	heap.Push(&q.entries, scheduled{at, q.sequence, e})
}

func (q *eventQueue) pop() (scheduled, bool) {
	if len(q.entries) == 0 {
		return scheduled{}, false
	}
	return heap.Pop(&q.entries).(scheduled), true
}

// entries implements heap.Interface.
type entries []scheduled

// Len implements heap.Interface.
func (e entries) Len() int { return len(e) }

// Less implements heap.Interface.
func (e entries) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e entries) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *entries) Push(x any) { *e = append(*e, x.(scheduled)) }

// Pop implements heap.Interface.
func (e *entries) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
