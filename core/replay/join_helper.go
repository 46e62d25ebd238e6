package replay

// join returns the dispatcher that the request's gate asks: its own if a slot is free, another with a free slot, or
// the one with the shortest queue.
func (w *world) join(r *request) *dispatcher {
	best := r.dispatcher
	for _, d := range append([]*dispatcher{r.dispatcher}, w.dispatchers...) {
		if d.scheduler.Waiting() == 0 && d.balancer.FreeSlots(w.clock()) > 0 {
			return d
		}
		if w.queueAt(d, r) < w.queueAt(best, r) {
			best = d
		}
	}
	return best
}

// queueAt returns the requests that wait for each slot.
func (w *world) queueAt(d *dispatcher, r *request) float64 {
	waiting := d.scheduler.Waiting()
	if w.policy.joining == shortestTeamQueue {
		waiting = d.scheduler.TeamWaiting(r.stream.team)
	}
	return float64(1+waiting) / float64(max(d.balancer.Slots(), 1))
}
