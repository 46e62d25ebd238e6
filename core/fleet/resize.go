package fleet

import (
	"maps"
	"slices"

	"mangowing/core/decl"
	"mangowing/core/fold"
)

// Transfer is a number of VMs that a sizing policy wants moved from one pool to another.
type Transfer struct {
	from  string
	to    string
	count int
}

// NewTransfer returns a wish to move count VMs.
func NewTransfer(from, to string, count int) Transfer { return Transfer{from, to, count} }

// From returns the pool that gives.
func (t Transfer) From() string { return t.from }

// To returns the pool that receives.
func (t Transfer) To() string { return t.to }

// Count returns the number of VMs.
func (t Transfer) Count() int { return t.count }

// PoolLoad is what a sizing policy has to know of one pool.
type PoolLoad struct {
	spec PoolLoadSpec
}

// PoolLoadSpec names the fields of a PoolLoad for NewPoolLoad.
type PoolLoadSpec struct {
	Pool           string // the pool's name
	Serving        int    // VMs that serve it
	VMs            int    // VMs that serve it or are on their way to it
	Movable        int    // VMs that may leave it now
	DeclaredVMs    int    // VMs that it declares
	SlotsPerVM     int    // slots of one VM
	Demand         int    // slots asked for now
	RecentPeak     int    // most slots asked for lately
	VMsForWavePace int    // VMs that it needs so that a running wave keeps its pace, 0 for no wave
}

// NewPoolLoad returns the load described by the specification.
func NewPoolLoad(s PoolLoadSpec) PoolLoad { return PoolLoad{s} }

// Pool returns the pool's name.
func (l PoolLoad) Pool() string { return l.spec.Pool }

// Serving returns how many VMs serve the pool.
func (l PoolLoad) Serving() int { return l.spec.Serving }

// VMs returns how many VMs serve the pool or are on their way to it.
func (l PoolLoad) VMs() int { return l.spec.VMs }

// Movable returns how many VMs may leave the pool now.
func (l PoolLoad) Movable() int { return l.spec.Movable }

// DeclaredVMs returns how many VMs the pool declares.
func (l PoolLoad) DeclaredVMs() int { return l.spec.DeclaredVMs }

// SlotsPerVM returns the slots of one of the pool's VMs.
func (l PoolLoad) SlotsPerVM() int { return l.spec.SlotsPerVM }

// Demand returns the slots asked for now.
func (l PoolLoad) Demand() int { return l.spec.Demand }

// RecentPeak returns the most slots asked for lately.
func (l PoolLoad) RecentPeak() int { return l.spec.RecentPeak }

// VMsForWavePace returns how many VMs the pool needs so that a running wave over it keeps its pace, 0 for no wave.
func (l PoolLoad) VMsForWavePace() int { return l.spec.VMsForWavePace }

// PoolLoads returns the load of every declared pool, with the demand left at zero, in order of name.
func PoolLoads(v PlanInput) []PoolLoad {
	p := newPlan(v)
	cfg := p.state.Config()
	var out []PoolLoad
	for _, name := range cfg.Pools() {
		pool, _ := cfg.Pool(name)
		spare := p.serving[name] - p.floor(name)
		out = append(out, NewPoolLoad(PoolLoadSpec{
			Pool: name, DeclaredVMs: len(pool.VMs()), SlotsPerVM: p.vmSlots(name),
			Serving:        p.serving[name],
			VMs:            p.serving[name] + v.Index.incoming[name],
			Movable:        max(0, min(spare, len(p.donors(name, "")))),
			VMsForWavePace: p.wavePace(name),
		}))
	}
	return out
}

// WithDemand returns the load with the slots asked for now and the most asked for lately.
func (l PoolLoad) WithDemand(now, recentPeak int) PoolLoad {
	l.spec.Demand, l.spec.RecentPeak = now, recentPeak
	return l
}

func (p *plan) wavePace(pool string) int {
	most := 0
	for _, w := range p.Index.waves {
		if declared, _ := p.state.Config().Wave(w.name); w.pools[pool] {
			most = max(most, p.floor(pool)+declared.Pace())
		}
	}
	return most
}

func (p *plan) vmSlots(pool string) int {
	for _, name := range p.Index.members[pool] {
		if slots := p.rows[name].Slots(); slots > 0 {
			return slots
		}
	}
	return 1
}

// donors returns the VMs that may leave a pool, those at home in the target first, then other lent ones, then the pool's own.
func (p *plan) donors(pool, target string) []string {
	var out []string
	for _, name := range p.Index.members[pool] {
		if p.mayMove(name) {
			out = append(out, name)
		}
	}
	cfg := p.state.Config()
	slices.SortStableFunc(out, func(a, b string) int {
		return donorRank(cfg, a, pool, target) - donorRank(cfg, b, pool, target)
	})
	return out
}

func donorRank(cfg *decl.Config, name, pool, target string) int {
	switch cfg.Home(name) {
	case target:
		return 0
	case pool:
		return 2
	default:
		return 1
	}
}

// mayMove leaves alone a VM that an operator moved away from home, and one whose minimum stay has not passed.
func (p *plan) mayMove(name string) bool {
	vm := p.state.VM(name)
	cfg := p.state.Config()
	if p.taken[name] || vm.State() != fold.VMServing || !p.mayDrain(name) {
		return false
	}
	if vm.MovedManually() && vm.Pool() != cfg.Home(name) {
		return false
	}
	stay := cfg.Fleet().MinimumStay().Milliseconds()
	return vm.Revision() == 0 || p.NowMs-vm.SinceMs() >= stay
}

func (p *plan) resize() {
	p.moveOrphans()
	for _, t := range p.Transfers {
		p.transfer(t)
	}
}

// moveOrphans sends the VMs of pools that are no longer declared to their declared home.
func (p *plan) moveOrphans() {
	cfg := p.state.Config()
	for _, pool := range slices.Sorted(maps.Keys(p.Index.members)) {
		if _, declared := cfg.Pool(pool); declared {
			continue
		}
		for _, name := range p.Index.members[pool] {
			home := cfg.Home(name)
			if home != "" && !p.taken[name] && p.mayDrain(name) {
				p.drain(name, home, "")
			}
		}
	}
}

func (p *plan) transfer(t Transfer) {
	left := t.count
	for _, name := range p.donors(t.from, t.to) {
		if left <= 0 || !p.mayTake(t.from) {
			return
		}
		p.drain(name, t.to, "")
		left--
	}
}
