package replay

// chooseDispatcher returns the dispatcher for a request: that of the gate's own data centre if it has a free slot and no
// queue, else another such dispatcher, else the one with the shortest queue.
func (s *simulation) chooseDispatcher(r *request) *dispatcher {
	best := r.dispatcher
	for _, d := range append([]*dispatcher{r.dispatcher}, s.dispatchers...) {
		if d.scheduler.Waiting() == 0 && d.balancer.FreeSlots(s.wallClock()) > 0 {
			return d
		}
		if s.waitingPerSlot(d, r) < s.waitingPerSlot(best, r) {
			best = d
		}
	}
	return best
}

// waitingPerSlot returns the dispatcher's queue length per slot, with the request itself counted. Depending on the policy
// only the requests of the same team count.
func (s *simulation) waitingPerSlot(d *dispatcher, r *request) float64 {
	waiting := d.scheduler.Waiting()
	if s.policy.dispatcherChoice == shortestTeamQueue {
		waiting = d.scheduler.TeamWaiting(r.stream.team)
	}
	return float64(1+waiting) / float64(max(d.balancer.Slots(), 1))
}
