package replay

import (
	"container/heap"
	"time"
)

// event is a simulated event.
type event interface{ isEvent() }

type (
	arrival      struct{ request *request } // a request arrives at its dispatcher
	cancellation struct{ request *request } // the caller cancels the request
	completion   struct{ attempt *attempt } // the attempt's run time is over
	hedgeDue     struct{ attempt *attempt } // the attempt has run long enough for a second one
	heartbeat    struct{}                   // dispatchers expire requests and start waiting ones; slots are sampled
	gossip       struct{}                   // dispatchers exchange state
	retryDue     struct{ request *request } // a failed job's next attempt is due
)

func (arrival) isEvent()      {}
func (cancellation) isEvent() {}
func (completion) isEvent()   {}
func (hedgeDue) isEvent()     {}
func (heartbeat) isEvent()    {}
func (gossip) isEvent()       {}
func (retryDue) isEvent()     {}

type scheduledEvent struct {
	at       time.Duration
	sequence int
	event    event
}

// eventQueue is a priority queue of events by time. Events at the same time are returned in the order of push.
type eventQueue struct {
	heap     eventHeap
	sequence int
}

func (q *eventQueue) push(at time.Duration, e event) {
	q.sequence++
	heap.Push(&q.heap, scheduledEvent{at, q.sequence, e})
}

func (q *eventQueue) pop() (scheduledEvent, bool) {
	if len(q.heap) == 0 {
		return scheduledEvent{}, false
	}
	return heap.Pop(&q.heap).(scheduledEvent), true
}

// eventHeap implements heap.Interface.
type eventHeap []scheduledEvent

// Len implements heap.Interface.
func (e eventHeap) Len() int { return len(e) }

// Less implements heap.Interface.
func (e eventHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

// Swap implements heap.Interface.
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(scheduledEvent)) }

// Pop implements heap.Interface.
func (e *eventHeap) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}
