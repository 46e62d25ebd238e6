package fleet

import (
	"mangowing/core/fold"
	"mangowing/core/record"
)

// carryOn takes one VM that is not simply serving a step further.
func (p *plan) carryOn(name string) {
	vm := p.state.VM(name)
	switch {
	case p.rows[name].dropped() && mayLeave(vm):
		p.leave(name, vm)
		return
	case p.dead(name) && mayBeQuarantined(vm):
		p.quarantine(name)
		return
	}
	switch vm.State() {
	case fold.VMDraining:
		p.carryOnDrain(name, vm)
	case fold.VMMoving:
		p.carryOnMove(name, vm)
	case fold.VMRebooting:
		p.carryOnReboot(name, vm)
	case fold.VMQuarantined:
		p.carryOnQuarantine(name, vm)
	case fold.VMLeaving:
		p.returnIfListed(name, vm)
	}
}

// The list may show a rebooting VM as gone; its time-out decides.
func mayLeave(vm fold.VM) bool {
	return vm.State() != fold.VMLeaving && vm.State() != fold.VMRebooting
}

// leave keeps the wave of a quarantined VM, which still counts as that wave's fault.
func (p *plan) leave(name string, vm fold.VM) {
	p.step(name, fold.VMLeaving, func(s *record.VMStepSpec) {
		if vm.State() == fold.VMQuarantined {
			s.Wave = vm.Wave()
		}
	})
}

// A rebooting VM can't be reached in any case; its time-out decides.
func mayBeQuarantined(vm fold.VM) bool {
	switch vm.State() {
	case fold.VMServing, fold.VMDraining, fold.VMMoving:
		return true
	default:
		return false
	}
}

func (p *plan) checkServing(h Health) {
	if p.taken[h.vm] || p.state.VM(h.vm).State() != fold.VMServing {
		return
	}
	if p.dead(h.vm) {
		p.quarantine(h.vm)
	}
}

func (p *plan) quarantine(name string) {
	vm := p.state.VM(name)
	p.step(name, fold.VMQuarantined, func(s *record.VMStepSpec) { s.Wave = vm.Wave() })
}

func (p *plan) carryOnDrain(name string, vm fold.VM) {
	switch {
	case p.drainObsolete(vm):
		p.backToServing(name, vm.Pool())
	case !p.drained(name, vm):
	case vm.Target() != "":
		p.step(name, fold.VMMoving, func(s *record.VMStepSpec) { s.Target = vm.Target() })
	case vm.Wave() != "":
		p.step(name, fold.VMRebooting, func(s *record.VMStepSpec) { s.Wave = vm.Wave() })
	}
}

// drainObsolete tells whether a drain's cause is gone, or whether failures made the VM necessary where it is.
func (p *plan) drainObsolete(vm fold.VM) bool {
	short := p.serving[vm.Pool()]+p.back[vm.Pool()] < p.floor(vm.Pool())
	if vm.Target() != "" {
		_, declared := p.state.Config().Pool(vm.Target())
		return !declared || vm.Target() == vm.Pool() || short && !vm.MovedManually()
	}
	return vm.Wave() != "" && (short || !p.mayStart(vm.Wave()))
}

func (p *plan) drained(name string, vm fold.VM) bool {
	if !p.acknowledged(name, vm) {
		return false
	}
	return p.acks[name].running == 0 || p.health[name].leaseLapsed
}

func (p *plan) acknowledged(name string, vm fold.VM) bool {
	a, known := p.acks[name]
	return known && a.revision == vm.Revision() && a.all
}

// noteSilence finds the data centres that do not acknowledge drains, so that a cut one keeps its other VMs.
func (p *plan) noteSilence() {
	for _, name := range p.Index.DrainingVMs() {
		vm := p.state.VM(name)
		if !p.acknowledged(name, vm) && p.NowMs-vm.SinceMs() > drainAckTimeout.Milliseconds() {
			p.silent[p.rows[name].DataCentre()] = true
		}
	}
}

func (p *plan) carryOnMove(name string, vm fold.VM) {
	if p.reassigned(name, vm, vm.Target()) {
		p.backToServing(name, vm.Target())
	}
}

// reassigned tells whether the platform confirmed the VM's pool, and asks it to set the pool otherwise.
func (p *plan) reassigned(name string, vm fold.VM, pool string) bool {
	c := newCall("reassign", name, vm.Revision(), max(vm.Generation(), p.rows[name].Generation()))
	if p.AnsweredCalls.Has(c.requestID) {
		return true
	}
	p.act(Reassign{c, pool})
	return false
}

func (p *plan) carryOnReboot(name string, vm fold.VM) {
	c := newCall("reboot", name, vm.Revision(), vm.Generation())
	answered := p.AnsweredCalls.Has(c.requestID)
	switch {
	case answered && p.restarted(name, vm):
		p.backToServing(name, vm.Pool())
	case p.NowMs-vm.SinceMs() > p.rebootTimeout().Milliseconds():
		p.quarantine(name)
	case !answered:
		p.act(Reboot{c})
	}
}

// restarted trusts the VM list alone: gates that send nothing to the VM can't tell that it answers again.
func (p *plan) restarted(name string, vm fold.VM) bool {
	return p.rows[name].Generation() > vm.Generation() && p.rows[name].live()
}

func (p *plan) carryOnQuarantine(name string, vm fold.VM) {
	if p.restarted(name, vm) {
		p.returnIfListed(name, vm)
		return
	}
	if fence := newCall("fence", name, vm.Revision(), vm.Generation()); p.dead(name) && !p.AnsweredCalls.Has(fence.requestID) {
		p.act(Fence{fence})
	}
}

// returnIfListed lets a VM serve its agreed pool again once the platform has it there too.
func (p *plan) returnIfListed(name string, vm fold.VM) {
	if !p.rows[name].live() {
		return
	}
	if actual := p.rows[name].Pool(); actual != "" && actual != vm.Pool() && !p.reassigned(name, vm, vm.Pool()) {
		return
	}
	p.backToServing(name, vm.Pool())
}
