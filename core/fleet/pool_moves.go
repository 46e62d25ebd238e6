package fleet

import (
	"maps"
	"slices"

	"mangowing/core/decl"
	"mangowing/core/fold"
)

// Transfer is a sizing policy's request to move a number of VMs from one pool to another.
type Transfer struct {
	from  string
	to    string
	count int
}

// NewTransfer returns a request to move count VMs.
func NewTransfer(from, to string, count int) Transfer { return Transfer{from, to, count} }

// From returns the pool that loses VMs.
func (t Transfer) From() string { return t.from }

// To returns the pool that receives VMs.
func (t Transfer) To() string { return t.to }

// Count returns the number of VMs to move.
func (t Transfer) Count() int { return t.count }

// PoolLoad is the capacity and demand of one pool, the input of a sizing policy.
type PoolLoad struct {
	spec PoolLoadSpec
}

// PoolLoadSpec names the fields of a PoolLoad for NewPoolLoad.
type PoolLoadSpec struct {
	Pool           string // the pool's name
	Serving        int    // VMs that serve the pool
	VMs            int    // VMs that serve the pool or are moving to it
	Movable        int    // VMs that can be moved out of the pool now
	DeclaredVMs    int    // VMs in the pool's declaration
	SlotsPerVM     int    // slots of one VM
	Demand         int    // slots demanded now
	RecentPeak     int    // highest recent demand in slots
	VMsForWavePace int    // VMs that the pool needs for a running wave to keep its pace, 0 for no wave
}

// NewPoolLoad returns the load described by the specification.
func NewPoolLoad(s PoolLoadSpec) PoolLoad { return PoolLoad{s} }

// Pool returns the pool's name.
func (l PoolLoad) Pool() string { return l.spec.Pool }

// Serving returns how many VMs serve the pool.
func (l PoolLoad) Serving() int { return l.spec.Serving }

// VMs returns how many VMs serve the pool or are moving to it.
func (l PoolLoad) VMs() int { return l.spec.VMs }

// Movable returns how many VMs can be moved out of the pool now.
func (l PoolLoad) Movable() int { return l.spec.Movable }

// DeclaredVMs returns how many VMs the pool's declaration lists.
func (l PoolLoad) DeclaredVMs() int { return l.spec.DeclaredVMs }

// SlotsPerVM returns the number of slots of one of the pool's VMs.
func (l PoolLoad) SlotsPerVM() int { return l.spec.SlotsPerVM }

// Demand returns the slots demanded now.
func (l PoolLoad) Demand() int { return l.spec.Demand }

// RecentPeak returns the highest recent demand in slots.
func (l PoolLoad) RecentPeak() int { return l.spec.RecentPeak }

// VMsForWavePace returns how many VMs the pool needs for a running wave over it to keep its pace, 0 for no wave.
func (l PoolLoad) VMsForWavePace() int { return l.spec.VMsForWavePace }

// PoolLoads returns the load of every declared pool, sorted by name, with zero demand.
func PoolLoads(in PlanInput) []PoolLoad {
	p := newPlan(in)
	cfg := p.state.Config()
	var out []PoolLoad
	for _, name := range cfg.Pools() {
		pool, _ := cfg.Pool(name)
		headroom := p.serving[name] - p.poolMinimum(name)
		out = append(out, NewPoolLoad(PoolLoadSpec{
			Pool: name, DeclaredVMs: len(pool.VMs()), SlotsPerVM: p.slotsPerVM(name),
			Serving:        p.serving[name],
			VMs:            p.serving[name] + in.Index.incomingCount[name],
			Movable:        max(0, min(headroom, len(p.movableVMs(name, "")))),
			VMsForWavePace: p.vmsForWavePace(name),
		}))
	}
	return out
}

// WithDemand returns the load with the current demand and the highest recent demand, both in slots.
func (l PoolLoad) WithDemand(now, recentPeak int) PoolLoad {
	l.spec.Demand, l.spec.RecentPeak = now, recentPeak
	return l
}

func (p *plan) vmsForWavePace(pool string) int {
	most := 0
	for _, w := range p.Index.waves {
		if declared, _ := p.state.Config().Wave(w.name); w.pools[pool] {
			most = max(most, p.poolMinimum(pool)+declared.MaxUnavailable())
		}
	}
	return most
}

func (p *plan) slotsPerVM(pool string) int {
	for _, name := range p.Index.servingVMs[pool] {
		if slots := p.rows[name].Slots(); slots > 0 {
			return slots
		}
	}
	return 1
}

// movableVMs returns the VMs that can leave a pool: first those declared in the target, then those declared in other
// pools, then the pool's own.
func (p *plan) movableVMs(pool, target string) []string {
	var out []string
	for _, name := range p.Index.servingVMs[pool] {
		if p.canMove(name) {
			out = append(out, name)
		}
	}
	cfg := p.state.Config()
	slices.SortStableFunc(out, func(a, b string) int {
		return moveRank(cfg, a, pool, target) - moveRank(cfg, b, pool, target)
	})
	return out
}

func moveRank(cfg *decl.Config, name, pool, target string) int {
	switch cfg.HomePool(name) {
	case target:
		return 0
	case pool:
		return 2
	default:
		return 1
	}
}

// canMove reports whether a transfer may take the VM. It may not take one that an operator moved out of its declared
// pool, nor one whose minimum stay has not passed.
func (p *plan) canMove(name string) bool {
	vm := p.state.VM(name)
	cfg := p.state.Config()
	if p.planned[name] || vm.State() != fold.VMServing || !p.canDrain(name) {
		return false
	}
	if vm.MovedManually() && vm.Pool() != cfg.HomePool(name) {
		return false
	}
	minimumStay := cfg.Fleet().MinimumStay().Milliseconds()
	return vm.Revision() == 0 || p.NowMs-vm.SinceMs() >= minimumStay
}

func (p *plan) movePoolMembers() {
	p.moveFromUndeclaredPools()
	for _, t := range p.Transfers {
		p.startTransfer(t)
	}
}

// moveFromUndeclaredPools moves the VMs of pools that are no longer declared to the pools that declare them.
func (p *plan) moveFromUndeclaredPools() {
	cfg := p.state.Config()
	for _, pool := range slices.Sorted(maps.Keys(p.Index.servingVMs)) {
		if _, declared := cfg.Pool(pool); declared {
			continue
		}
		for _, name := range p.Index.servingVMs[pool] {
			home := cfg.HomePool(name)
			if home != "" && !p.planned[name] && p.canDrain(name) {
				p.startDrain(name, home, "")
			}
		}
	}
}

func (p *plan) startTransfer(t Transfer) {
	remaining := t.count
	for _, name := range p.movableVMs(t.from, t.to) {
		if remaining <= 0 || !p.hasHeadroom(t.from) {
			return
		}
		p.startDrain(name, t.to, "")
		remaining--
	}
}
