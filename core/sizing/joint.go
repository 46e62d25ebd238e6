package sizing

import "math"

// A pool's recent peak is expected back within the horizon with this probability.
const peakReturns = 0.005

// decideJoint takes the best single move again and again; prices are convex in a pool's size, so the sum ends at its minimum.
func (t *table) decideJoint(p Joint) {
	for {
		from, to := t.bestMove(p)
		if from < 0 {
			return
		}
		t.move(from, to)
	}
}

func (t *table) bestMove(p Joint) (from, to int) {
	giver, loss := t.cheapestGiver(p)
	receiver, gain := t.neediestReceiver(p, giver)
	if giver < 0 || receiver < 0 || gain-loss <= p.weights.Move {
		return -1, -1
	}
	return giver, receiver
}

// cheapestGiver returns the pool whose price rises least by giving a VM; among equals the spare pool, then the one furthest above home.
func (t *table) cheapestGiver(p Joint) (giver int, loss float64) {
	giver, loss = -1, math.Inf(1)
	for i, r := range t.rows {
		if r.movable <= 0 {
			continue
		}
		if l := p.price(r, r.vms-1) - p.price(r, r.vms); l < loss {
			giver, loss = i, l
		}
	}
	return giver, loss
}

func (t *table) neediestReceiver(p Joint, giver int) (receiver int, gain float64) {
	receiver = -1
	for i, r := range t.rows {
		if i == giver {
			continue
		}
		if g := p.price(r, r.vms) - p.price(r, r.vms+1); receiver < 0 || g > gain {
			receiver, gain = i, g
		}
	}
	return receiver, gain
}

// price returns what a pool of n VMs costs over the horizon.
func (p Joint) price(r *row, n int) float64 {
	slots := float64(n * r.load.SlotsPerVM())
	cost := p.weights.Shortfall * (max(0, r.demand()-slots) + peakReturns*r.riskAt(slots))
	if !r.isSpare {
		idle := max(0, slots-r.demand()) / float64(max(1, r.load.SlotsPerVM()))
		cost += p.weights.Idle * idle
	}
	cost += p.weights.RollOut * float64(max(0, r.load.VMsForWavePace()-n))
	return cost * p.horizon.Seconds()
}

// riskAt returns the shortfall that the recent peak would cause, at least one that fills the declared size;
// it grows with the square, so that the largest pools give first.
func (r *row) riskAt(slots float64) float64 {
	peak := float64(max(r.load.RecentPeak(), r.load.DeclaredVMs()*r.load.SlotsPerVM()))
	if peak <= slots {
		return 0
	}
	return (peak - slots) * (peak - slots) / peak
}
