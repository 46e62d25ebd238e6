package replay

import "mangowing/core/share"

func (w *world) hedgeItem(r *request, id string) share.Item {
	return share.NewItem(share.ItemSpec{ID: id, Team: r.stream.team, Class: r.stream.class, Expected: r.stream.run, Payload: r})
}

// levelQueues moves each team's waiting requests so that every dispatcher has its part by slots.
func (w *world) levelQueues() {
	slots := 0
	for _, d := range w.dispatchers {
		slots += d.balancer.Slots()
	}
	for _, t := range w.deployment.teams {
		w.levelTeam(t.name, slots)
	}
	for _, d := range w.dispatchers {
		w.fill(d)
	}
}

func (w *world) levelTeam(team string, slots int) {
	total := 0
	for _, d := range w.dispatchers {
		total += d.scheduler.TeamWaiting(team)
	}
	var moving []share.Item
	for _, d := range w.dispatchers {
		surplus := d.scheduler.TeamWaiting(team) - w.part(d, total, slots) - 1
		moving = append(moving, d.scheduler.Take(team, surplus, w.clock())...)
	}
	w.meter.moved += len(moving)
	for _, d := range w.dispatchers {
		wanted := min(max(w.part(d, total, slots)+1-d.scheduler.TeamWaiting(team), 0), len(moving))
		w.hand(moving[:wanted], d)
		moving = moving[wanted:]
	}
	w.hand(moving, w.dispatchers[0])
}

func (w *world) part(d *dispatcher, total, slots int) int {
	return total * d.balancer.Slots() / max(slots, 1)
}

func (w *world) hand(items []share.Item, to *dispatcher) {
	for _, item := range items {
		r := item.Payload().(*request)
		w.meter.waiting[r.demand.team]--
		r.dispatcher = to
		w.enqueue(r)
	}
}
