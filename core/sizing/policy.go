package sizing

import (
	"math"
	"time"

	"mangowing/core/decl"
	"mangowing/core/fleet"
)

// Policy is a policy for sizing pools: Static, Threshold or Joint.
type Policy interface {
	policy()
}

// Static keeps every pool at its declared size.
type Static struct{}

// Threshold moves VMs to a pool whose utilization is above the high mark, from the spare pool first, and returns them when it
// is below the low mark.
type Threshold struct {
	high float64
	low  float64
}

// Joint sizes all pools together at the least total cost of shortfall, moves, idle VMs and delayed roll-outs.
type Joint struct {
	weights Weights
	horizon time.Duration
}

// Weights holds the unit costs whose sum Joint minimizes.
type Weights struct {
	Shortfall float64 // cost of one slot-second of shortfall
	Move      float64 // cost of one move
	Idle      float64 // cost of one idle VM-second outside the spare pool
	RollOut   float64 // cost of one VM-second that a running wave lacks to keep its pace
}

const (
	defaultHighMark = 0.85
	defaultLowMark  = 0.30
	// At equal weights a move costs as much as this many slot-seconds of shortfall.
	moveCost = 100
	// At equal weights an idle VM-second costs as much as this many slot-seconds of shortfall.
	idleCost = 0.05
	// At equal weights a VM-second that a wave lacks costs as much as this many slot-seconds of shortfall.
	rollOutCost = 0.5
	// A move always has a cost, since a VM serves no pool while it moves.
	minMoveWeight = 0.5
)

// WeightsOf returns the unit costs for the fleet's declared weights.
func WeightsOf(f decl.Fleet) Weights {
	return Weights{
		Shortfall: f.WeightShare(),
		Move:      moveCost * max(minMoveWeight, f.WeightMoves()),
		Idle:      idleCost * f.WeightBuffer(),
		RollOut:   rollOutCost * f.WeightRollOut(),
	}
}

// NewThreshold returns the policy with the given utilization marks, as fractions of a pool's slots.
func NewThreshold(high, low float64) Threshold { return Threshold{high, low} }

// NewJoint returns the policy with the given unit costs. A move must pay for itself within the horizon.
func NewJoint(w Weights, horizon time.Duration) Joint { return Joint{w, horizon} }

// ForFleet returns the policy that the fleet declares.
func ForFleet(f decl.Fleet) Policy {
	switch f.Sizing() {
	case "static":
		return Static{}
	case "threshold":
		return NewThreshold(defaultHighMark, defaultLowMark)
	default:
		return NewJoint(WeightsOf(f), f.MinimumStay())
	}
}

func (Static) policy()    {}
func (Threshold) policy() {}
func (Joint) policy()     {}

// Decide returns the transfers of VMs that bring the pools to the sizes that the policy chooses. Spare names the pool that
// gives VMs first, empty for none.
func Decide(p Policy, loads []fleet.PoolLoad, spare string) []fleet.Transfer {
	t := newTable(loads, spare)
	switch policy := p.(type) {
	case Static:
		t.decideStatic()
	case Threshold:
		t.decideThreshold(policy)
	case Joint:
		t.decideJoint(policy)
	}
	return t.toTransfers()
}

// poolRow is the state of one pool during a decision.
type poolRow struct {
	load    fleet.PoolLoad
	isSpare bool
	vms     int
	movable int
}

func (r *poolRow) slots() float64 { return float64(r.vms * r.load.SlotsPerVM()) }

func (r *poolRow) demand() float64 { return float64(r.load.Demand()) }

func (r *poolRow) utilization() float64 {
	if r.vms == 0 {
		return math.Inf(1)
	}
	return r.demand() / r.slots()
}

// table holds all pools and the number of VMs to move between each two of them.
type table struct {
	rows           []*poolRow
	transferCounts [][]int
}

func newTable(loads []fleet.PoolLoad, spare string) *table {
	t := &table{}
	for _, load := range loads {
		t.rows = append(t.rows, &poolRow{load, load.Pool() == spare, load.VMs(), load.Movable()})
		t.transferCounts = append(t.transferCounts, make([]int, len(loads)))
	}
	return t
}

func (t *table) move(from, to int) {
	t.rows[from].vms--
	t.rows[from].movable--
	t.rows[to].vms++
	t.transferCounts[from][to]++
}

func (t *table) toTransfers() []fleet.Transfer {
	var out []fleet.Transfer
	for from := range t.transferCounts {
		for to, n := range t.transferCounts[from] {
			if n > 0 {
				out = append(out, fleet.NewTransfer(t.rows[from].load.Pool(), t.rows[to].load.Pool(), n))
			}
		}
	}
	return out
}

// decideStatic moves VMs from pools above their declared size to pools below it.
func (t *table) decideStatic() {
	for from, source := range t.rows {
		for to, target := range t.rows {
			for source.movable > 0 && source.vms > source.load.DeclaredVMs() && target.vms < target.load.DeclaredVMs() {
				t.move(from, to)
			}
		}
	}
}
