package sizing

import (
	"math"
	"time"

	"mangowing/core/decl"
	"mangowing/core/fleet"
)

// Policy is a way to size pools: Static, Threshold or Joint.
type Policy interface {
	policy()
}

// Static keeps every pool at its declared size.
type Static struct{}

// Threshold lends VMs of the spare pool to a pool above its high mark and returns them below its low mark.
type Threshold struct {
	high float64
	low  float64
}

// Joint assigns all pools together at the least price of shortfall, moves and idle VMs.
type Joint struct {
	weights Weights
	horizon time.Duration
}

// Weights are the prices that Joint minimizes the sum of.
type Weights struct {
	Shortfall float64 // price of one slot-second of shortfall
	Move      float64 // price of one move
	Idle      float64 // price of one idle VM-second outside the spare pool
	RollOut   float64 // price of one VM-second that a running wave lacks to keep its pace
}

const (
	defaultHighMark = 0.85
	defaultLowMark  = 0.30
	// At equal weights a move costs as much as this many slot-seconds of shortfall.
	moveUnit = 100
	// At equal weights an idle VM-second costs as much as this many slot-seconds of shortfall.
	idleUnit = 0.05
	// At equal weights a VM-second that a wave lacks costs as much as this many slot-seconds of shortfall.
	rollOutUnit = 0.5
	// A move is never free: a VM on its way serves no pool.
	leastMoveWeight = 0.5
)

// WeightsOf returns the prices that the fleet's declared weights stand for.
func WeightsOf(f decl.Fleet) Weights {
	return Weights{
		Shortfall: f.WeightShare(),
		Move:      moveUnit * max(leastMoveWeight, f.WeightMoves()),
		Idle:      idleUnit * f.WeightBuffer(),
		RollOut:   rollOutUnit * f.WeightRollOut(),
	}
}

// NewThreshold returns the policy with marks of utilization, each a fraction of a pool's slots.
func NewThreshold(high, low float64) Threshold { return Threshold{high, low} }

// NewJoint returns the policy with the given prices; a move has to pay for itself within the horizon.
func NewJoint(w Weights, horizon time.Duration) Joint { return Joint{w, horizon} }

// ForFleet returns the policy that the fleet's declaration chooses.
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

// Decide returns the transfers that a policy wants now; spare names the pool that lends first, empty for none.
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
	return t.transfers()
}

// row is one pool while transfers are being decided.
type row struct {
	load    fleet.PoolLoad
	isSpare bool
	vms     int
	movable int
}

func (r *row) slots() float64 { return float64(r.vms * r.load.SlotsPerVM()) }

func (r *row) demand() float64 { return float64(r.load.Demand()) }

func (r *row) utilization() float64 {
	if r.vms == 0 {
		return math.Inf(1)
	}
	return r.demand() / r.slots()
}

// table holds every pool and counts the transfers between each two of them.
type table struct {
	rows  []*row
	moved [][]int
}

func newTable(loads []fleet.PoolLoad, spare string) *table {
	t := &table{}
	for _, load := range loads {
		t.rows = append(t.rows, &row{load, load.Pool() == spare, load.VMs(), load.Movable()})
		t.moved = append(t.moved, make([]int, len(loads)))
	}
	return t
}

func (t *table) move(from, to int) {
	t.rows[from].vms--
	t.rows[from].movable--
	t.rows[to].vms++
	t.moved[from][to]++
}

func (t *table) transfers() []fleet.Transfer {
	var out []fleet.Transfer
	for from := range t.moved {
		for to, n := range t.moved[from] {
			if n > 0 {
				out = append(out, fleet.NewTransfer(t.rows[from].load.Pool(), t.rows[to].load.Pool(), n))
			}
		}
	}
	return out
}

// decideStatic moves VMs from pools above their declared size to pools below it.
func (t *table) decideStatic() {
	for from, giver := range t.rows {
		for to, receiver := range t.rows {
			for giver.movable > 0 && giver.vms > giver.load.DeclaredVMs() && receiver.vms < receiver.load.DeclaredVMs() {
				t.move(from, to)
			}
		}
	}
}
