package sizing

import "math"

// Probability that a pool's recent peak returns within the horizon.
const peakReturnProbability = 0.005

// decideJoint repeats the best single move while it pays. This minimizes the total cost, because each pool's cost is convex
// in its size.
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
	source, loss := t.cheapestSource(p)
	target, gain := t.bestTarget(p, source)
	if source < 0 || target < 0 || gain-loss <= p.weights.Move {
		return -1, -1
	}
	return source, target
}

// cheapestSource returns the pool whose cost rises least by losing a VM, the first one among equals, or -1.
func (t *table) cheapestSource(p Joint) (source int, loss float64) {
	source, loss = -1, math.Inf(1)
	for i, r := range t.rows {
		if r.movable <= 0 {
			continue
		}
		if l := p.cost(r, r.vms-1) - p.cost(r, r.vms); l < loss {
			source, loss = i, l
		}
	}
	return source, loss
}

func (t *table) bestTarget(p Joint, source int) (target int, gain float64) {
	target = -1
	for i, r := range t.rows {
		if i == source {
			continue
		}
		if g := p.cost(r, r.vms) - p.cost(r, r.vms+1); target < 0 || g > gain {
			target, gain = i, g
		}
	}
	return target, gain
}

// cost returns the cost of a pool of n VMs over the horizon.
func (p Joint) cost(r *poolRow, n int) float64 {
	slots := float64(n * r.load.SlotsPerVM())
	cost := p.weights.Shortfall * (max(0, r.demand()-slots) + peakReturnProbability*r.peakShortfall(slots))
	if !r.isSpare {
		idle := max(0, slots-r.demand()) / float64(max(1, r.load.SlotsPerVM()))
		cost += p.weights.Idle * idle
	}
	cost += p.weights.RollOut * float64(max(0, r.load.VMsForWavePace()-n))
	return cost * p.horizon.Seconds()
}

// peakShortfall returns the weighted shortfall at the recent peak, which counts as at least the declared size. It grows with
// the square of the missing slots, so that the largest pools lose VMs first.
func (r *poolRow) peakShortfall(slots float64) float64 {
	peak := float64(max(r.load.RecentPeak(), r.load.DeclaredVMs()*r.load.SlotsPerVM()))
	if peak <= slots {
		return 0
	}
	return (peak - slots) * (peak - slots) / peak
}
