package fleet

import (
	"maps"

	"mangowing/core/fold"
	"mangowing/core/record"
)

// Plan returns the next actions; it returns none without a lease, and the same ones again until their effect shows in the view.
func Plan(v PlanInput) []Action {
	if v.Token == 0 || v.Index == nil {
		return nil
	}
	p := newPlan(v)
	for _, name := range v.Index.unsettled {
		p.carryOn(name)
	}
	for _, h := range v.Health {
		p.checkServing(h)
	}
	for _, w := range v.Index.waves {
		p.carryOnWave(w)
	}
	p.resize()
	return p.actions
}

// plan collects the actions of one tick and counts them against the budgets at once.
type plan struct {
	PlanInput
	state   *fold.State
	rows    map[string]VMRow
	serving map[string]int
	back    map[string]int // VMs on their way back to serving; counted once the state shows them
	minimum map[string]int
	health  map[string]Health
	acks    map[string]DrainAck
	silent  map[string]bool // data centres that do not acknowledge drains
	taken   map[string]bool
	out     []outVM
	actions []Action
}

// outVM is a VM out for maintenance.
type outVM struct {
	wave   string
	pool   string
	domain string
}

func newPlan(v PlanInput) *plan {
	p := &plan{
		PlanInput: v, state: v.Index.state, rows: v.Index.rows,
		serving: maps.Clone(v.Index.serving),
		back:    map[string]int{},
		minimum: map[string]int{},
		health:  make(map[string]Health, len(v.Health)),
		acks:    make(map[string]DrainAck, len(v.DrainAcks)),
		silent:  map[string]bool{},
		taken:   map[string]bool{},
	}
	for _, a := range v.DrainAcks {
		p.acks[a.vm] = a
	}
	for _, h := range v.Health {
		p.health[h.vm] = h
		if h.unreachable && p.countsAsServing(h.vm) {
			p.serving[p.state.VM(h.vm).Pool()]--
		}
	}
	p.noteSilence()
	for _, w := range v.Index.waves {
		for _, name := range w.out {
			p.out = append(p.out, outVM{w.name, p.state.VM(name).Pool(), p.rows[name].domain()})
		}
	}
	return p
}

func (p *plan) countsAsServing(name string) bool {
	return p.state.VM(name).State() == fold.VMServing && p.rows[name].live()
}

// healthy tells whether the VM is listed as live and reached by its gates.
func (p *plan) healthy(name string) bool {
	return p.rows[name].live() && !p.health[name].unreachable
}

// mayDrain tells whether the VM is healthy and its data centre takes part.
func (p *plan) mayDrain(name string) bool {
	return p.healthy(name) && !p.silent[p.rows[name].DataCentre()]
}

// dead tells whether two independent signals say that the VM is lost.
func (p *plan) dead(name string) bool {
	h, signs := p.health[name], 0
	for _, sign := range []bool{p.rows[name].State() == PlatformGone, h.unreachable, h.leaseLapsed} {
		if sign {
			signs++
		}
	}
	return signs >= 2
}

func (p *plan) floor(pool string) int {
	least, known := p.minimum[pool]
	if !known {
		least = p.state.MinServing(pool)
		p.minimum[pool] = least
	}
	return least
}

// mayTake tells whether the pool keeps its minimum without one more VM, counting those lost to failures.
func (p *plan) mayTake(pool string) bool { return p.serving[pool] > p.floor(pool) }

func (p *plan) act(a Action) { p.actions = append(p.actions, a) }

// step appends a step that keeps the VM's pool; change fills in what differs.
func (p *plan) step(name, state string, change func(*record.VMStepSpec)) {
	vm := p.state.VM(name)
	spec := record.VMStepSpec{
		VM: name, Base: vm.Revision(), State: state, Pool: vm.Pool(), Token: p.Token,
		Generation: max(vm.Generation(), p.rows[name].Generation()),
	}
	if change != nil {
		change(&spec)
	}
	p.taken[name] = true
	p.act(VMStep{spec})
}

// drain takes a healthy serving VM out of its pool's budget.
func (p *plan) drain(name, target, wave string) {
	p.serving[p.state.VM(name).Pool()]--
	p.step(name, fold.VMDraining, func(s *record.VMStepSpec) { s.Target, s.Wave = target, wave })
}

// backToServing ends whatever the VM is out for; the wave is kept where the VM was rebooted for it.
func (p *plan) backToServing(name, pool string) {
	vm := p.state.VM(name)
	if p.healthy(name) {
		p.back[pool]++
	}
	p.step(name, fold.VMServing, func(s *record.VMStepSpec) {
		s.Pool = pool
		if vm.State() != fold.VMDraining {
			s.Wave = vm.Wave()
		}
	})
}
