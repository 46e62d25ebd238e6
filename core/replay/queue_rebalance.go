package replay

import "mangowing/core/share"

func (s *simulation) newHedgeItem(r *request, id string) share.Item {
	return share.NewItem(share.ItemSpec{ID: id, Team: r.stream.team, Class: r.stream.class, Expected: r.stream.medianRunTime, Payload: r})
}

// rebalanceQueues moves waiting requests between dispatchers so that each team's requests are spread in proportion to the
// dispatchers' slots.
func (s *simulation) rebalanceQueues() {
	slots := 0
	for _, d := range s.dispatchers {
		slots += d.balancer.Slots()
	}
	for _, t := range s.deployment.teams {
		s.rebalanceTeam(t.name, slots)
	}
	for _, d := range s.dispatchers {
		s.startWaiting(d)
	}
}

func (s *simulation) rebalanceTeam(team string, slots int) {
	total := 0
	for _, d := range s.dispatchers {
		total += d.scheduler.TeamWaiting(team)
	}
	var unassigned []share.Item
	for _, d := range s.dispatchers {
		surplus := d.scheduler.TeamWaiting(team) - s.proportionalPart(d, total, slots) - 1
		unassigned = append(unassigned, d.scheduler.Take(team, surplus, s.wallClock())...)
	}
	s.meter.moved += len(unassigned)
	for _, d := range s.dispatchers {
		n := min(max(s.proportionalPart(d, total, slots)+1-d.scheduler.TeamWaiting(team), 0), len(unassigned))
		s.requeue(unassigned[:n], d)
		unassigned = unassigned[n:]
	}
	s.requeue(unassigned, s.dispatchers[0])
}

func (s *simulation) proportionalPart(d *dispatcher, total, slots int) int {
	return total * d.balancer.Slots() / max(slots, 1)
}

func (s *simulation) requeue(items []share.Item, target *dispatcher) {
	for _, item := range items {
		r := item.Payload().(*request)
		s.meter.waiting[r.demand.teamIndex]--
		r.dispatcher = target
		s.enqueue(r)
	}
}
