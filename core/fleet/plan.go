package fleet

import (
	"maps"

	"mangowing/core/fold"
	"mangowing/core/record"
)

// Plan returns the next actions. It returns none without a lease, and repeats an action until the input shows its effect.
func Plan(in PlanInput) []Action {
	if in.Token == 0 || in.Index == nil {
		return nil
	}
	p := newPlan(in)
	for _, name := range in.Index.notServing {
		p.advanceVM(name)
	}
	for _, h := range in.Health {
		p.quarantineIfDead(h)
	}
	for _, w := range in.Index.waves {
		p.advanceWave(w)
	}
	p.movePoolMembers()
	return p.actions
}

// plan collects the actions of one tick and deducts each from the pools' budgets immediately.
type plan struct {
	PlanInput
	state         *fold.State
	rows          map[string]VMRow
	serving       map[string]int
	returning     map[string]int // VMs with a step back to serving in this plan; not yet counted in serving
	minServing    map[string]int
	health        map[string]Health
	drainAcks     map[string]DrainAck
	unresponsive  map[string]bool // data centres that do not acknowledge drains
	planned       map[string]bool
	inMaintenance []maintenanceVM
	actions       []Action
}

// maintenanceVM is a VM that is drained or rebooted for a wave.
type maintenanceVM struct {
	wave   string
	pool   string
	domain string
}

func newPlan(in PlanInput) *plan {
	p := &plan{
		PlanInput: in, state: in.Index.state, rows: in.Index.rows,
		serving:      maps.Clone(in.Index.servingCount),
		returning:    map[string]int{},
		minServing:   map[string]int{},
		health:       make(map[string]Health, len(in.Health)),
		drainAcks:    make(map[string]DrainAck, len(in.DrainAcks)),
		unresponsive: map[string]bool{},
		planned:      map[string]bool{},
	}
	for _, a := range in.DrainAcks {
		p.drainAcks[a.vm] = a
	}
	for _, h := range in.Health {
		p.health[h.vm] = h
		if h.unreachable && p.isServingAndLive(h.vm) {
			p.serving[p.state.VM(h.vm).Pool()]--
		}
	}
	p.findUnresponsiveDataCentres()
	for _, w := range in.Index.waves {
		for _, name := range w.inMaintenance {
			p.inMaintenance = append(p.inMaintenance, maintenanceVM{w.name, p.state.VM(name).Pool(), p.rows[name].failureDomain()})
		}
	}
	return p
}

func (p *plan) isServingAndLive(name string) bool {
	return p.state.VM(name).State() == fold.VMServing && p.rows[name].isLive()
}

// isHealthy reports whether the VM is listed as live and reachable from the gates of its data centre.
func (p *plan) isHealthy(name string) bool {
	return p.rows[name].isLive() && !p.health[name].unreachable
}

// canDrain reports whether the VM is healthy and its data centre acknowledges drains.
func (p *plan) canDrain(name string) bool {
	return p.isHealthy(name) && !p.unresponsive[p.rows[name].DataCentre()]
}

// isDead reports whether the VM shows at least two independent signs of failure.
func (p *plan) isDead(name string) bool {
	h, signs := p.health[name], 0
	for _, sign := range []bool{p.rows[name].State() == PlatformGone, h.unreachable, h.leaseLapsed} {
		if sign {
			signs++
		}
	}
	return signs >= 2
}

func (p *plan) poolMinimum(pool string) int {
	minimum, known := p.minServing[pool]
	if !known {
		minimum = p.state.MinServing(pool)
		p.minServing[pool] = minimum
	}
	return minimum
}

// hasHeadroom reports whether the pool can lose one more VM and keep its minimum; failed VMs do not count as serving.
func (p *plan) hasHeadroom(pool string) bool { return p.serving[pool] > p.poolMinimum(pool) }

func (p *plan) addAction(a Action) { p.actions = append(p.actions, a) }

// addVMStep adds a step that keeps the VM's pool; change, if not nil, sets further fields.
func (p *plan) addVMStep(name, state string, change func(*record.VMStepSpec)) {
	vm := p.state.VM(name)
	spec := record.VMStepSpec{
		VM: name, Base: vm.Revision(), State: state, Pool: vm.Pool(), Token: p.Token,
		Generation: max(vm.Generation(), p.rows[name].Generation()),
	}
	if change != nil {
		change(&spec)
	}
	p.planned[name] = true
	p.addAction(VMStep{spec})
}

// startDrain starts the drain of a healthy serving VM, for a move to the target or for a wave, and deducts it from its pool's count.
func (p *plan) startDrain(name, target, wave string) {
	p.serving[p.state.VM(name).Pool()]--
	p.addVMStep(name, fold.VMDraining, func(s *record.VMStepSpec) { s.Target, s.Wave = target, wave })
}

// returnToServing returns the VM to serving. The step keeps the wave, except when it cancels a drain.
func (p *plan) returnToServing(name, pool string) {
	vm := p.state.VM(name)
	if p.isHealthy(name) {
		p.returning[pool]++
	}
	p.addVMStep(name, fold.VMServing, func(s *record.VMStepSpec) {
		s.Pool = pool
		if vm.State() != fold.VMDraining {
			s.Wave = vm.Wave()
		}
	})
}
