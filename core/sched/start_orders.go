package sched

import "time"

// startOrders is what is known of the orders to start a run. An order without an answer is repeated, and several copies may be on their
// way to the worker; one of them starts the run.
type startOrders struct {
	firstPending     bool      // the first order has not been answered yet
	repeats          int       // how often the order was repeated
	repeatPending    bool      // a repeated order has not been answered yet
	repeatGeneration int64     // generation of the last repeated order
	unansweredAt     time.Time // when an order got no answer, zero if the worker refuses it by now
	unansweredAs     int64     // generation of that order
}

// repeat records that the order is sent again, as one of the generation.
func (o *startOrders) repeat(generation int64) {
	o.repeatPending, o.repeatGeneration = true, generation
}

// markUnanswered records that an order of the generation got no answer, and may still be carried out.
func (o *startOrders) markUnanswered(now time.Time, generation int64) {
	o.unansweredAt, o.unansweredAs = now, max(o.unansweredAs, generation)
}

// clearUnanswered forgets the order without an answer if the worker refuses it, having received a call of the generation.
func (o *startOrders) clearUnanswered(generation int64) {
	if o.unansweredAs < generation {
		o.unansweredAt = time.Time{}
	}
}

// isInFlight reports whether an order has not been answered yet.
func (o *startOrders) isInFlight() bool { return o.firstPending || o.repeatPending }

// mayCopyArrive reports whether an order besides the one that has started the run may still be carried out.
func (o *startOrders) mayCopyArrive() bool { return o.repeatPending || !o.unansweredAt.IsZero() }

// mayArriveAfter reports whether a worker that has received a call of the generation may still carry out an order.
func (o *startOrders) mayArriveAfter(generation int64) bool {
	return !o.unansweredAt.IsZero() && generation <= o.unansweredAs || o.repeatPending && generation <= o.repeatGeneration
}
