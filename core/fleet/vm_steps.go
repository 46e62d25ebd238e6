package fleet

import (
	"mangowing/core/fold"
	"mangowing/core/record"
)

// advanceVM takes the next step for one VM that is not serving, or that the VM list shows as leaving or gone.
func (p *plan) advanceVM(name string) {
	vm := p.state.VM(name)
	switch {
	case p.rows[name].isLeavingOrGone() && canLeave(vm):
		p.addLeavingStep(name, vm)
		return
	case p.isDead(name) && canQuarantine(vm):
		p.quarantine(name)
		return
	}
	switch vm.State() {
	case fold.VMDraining:
		p.advanceDrain(name, vm)
	case fold.VMMoving:
		p.advanceMove(name, vm)
	case fold.VMRebooting:
		p.advanceReboot(name, vm)
	case fold.VMQuarantined:
		p.advanceQuarantine(name, vm)
	case fold.VMLeaving:
		p.returnIfLive(name, vm)
	}
}

// canLeave reports whether the VM may be recorded as leaving. A rebooting VM may not: the VM list may show it as gone, so
// only its time-out counts.
func canLeave(vm fold.VM) bool {
	return vm.State() != fold.VMLeaving && vm.State() != fold.VMRebooting
}

// addLeavingStep records the VM as leaving. It keeps the wave of a quarantined VM, so that the VM still counts as a failure of that wave.
func (p *plan) addLeavingStep(name string, vm fold.VM) {
	p.addVMStep(name, fold.VMLeaving, func(s *record.VMStepSpec) {
		if vm.State() == fold.VMQuarantined {
			s.Wave = vm.Wave()
		}
	})
}

// canQuarantine reports whether a dead VM in this state is quarantined. A rebooting VM is not: it is unreachable anyway, so
// only its time-out counts.
func canQuarantine(vm fold.VM) bool {
	switch vm.State() {
	case fold.VMServing, fold.VMDraining, fold.VMMoving:
		return true
	default:
		return false
	}
}

func (p *plan) quarantineIfDead(h Health) {
	if p.planned[h.vm] || p.state.VM(h.vm).State() != fold.VMServing {
		return
	}
	if p.isDead(h.vm) {
		p.quarantine(h.vm)
	}
}

func (p *plan) quarantine(name string) {
	vm := p.state.VM(name)
	p.addVMStep(name, fold.VMQuarantined, func(s *record.VMStepSpec) { s.Wave = vm.Wave() })
}

func (p *plan) advanceDrain(name string, vm fold.VM) {
	switch {
	case p.isDrainObsolete(vm):
		p.returnToServing(name, vm.Pool())
	case !p.isDrained(name, vm):
	case vm.Target() != "":
		p.addVMStep(name, fold.VMMoving, func(s *record.VMStepSpec) { s.Target = vm.Target() })
	case vm.Wave() != "":
		p.addVMStep(name, fold.VMRebooting, func(s *record.VMStepSpec) { s.Wave = vm.Wave() })
	}
}

// isDrainObsolete reports whether the reason for a drain no longer holds, or failures brought the VM's pool below its minimum.
func (p *plan) isDrainObsolete(vm fold.VM) bool {
	belowMinimum := p.serving[vm.Pool()]+p.returning[vm.Pool()] < p.poolMinimum(vm.Pool())
	if vm.Target() != "" {
		_, declared := p.state.Config().Pool(vm.Target())
		return !declared || vm.Target() == vm.Pool() || belowMinimum && !vm.MovedManually()
	}
	return vm.Wave() != "" && (belowMinimum || !p.isWaveActive(vm.Wave()))
}

func (p *plan) isDrained(name string, vm fold.VM) bool {
	if !p.isDrainAcknowledged(name, vm) {
		return false
	}
	return p.drainAcks[name].running == 0 || p.health[name].leaseLapsed
}

func (p *plan) isDrainAcknowledged(name string, vm fold.VM) bool {
	a, known := p.drainAcks[name]
	return known && a.revision == vm.Revision() && a.allStopped
}

// findUnresponsiveDataCentres finds the data centres that do not acknowledge drains. One that is cut off must not lose
// further VMs to drains that can't complete.
func (p *plan) findUnresponsiveDataCentres() {
	for _, name := range p.Index.DrainingVMs() {
		vm := p.state.VM(name)
		if !p.isDrainAcknowledged(name, vm) && p.NowMs-vm.SinceMs() > drainAckTimeout.Milliseconds() {
			p.unresponsive[p.rows[name].DataCentre()] = true
		}
	}
}

func (p *plan) advanceMove(name string, vm fold.VM) {
	if p.ensureReassigned(name, vm, vm.Target()) {
		p.returnToServing(name, vm.Target())
	}
}

// ensureReassigned reports whether the platform confirmed the VM's pool; if it has not, it adds a Reassign call.
func (p *plan) ensureReassigned(name string, vm fold.VM, pool string) bool {
	call := newPlatformCall("reassign", name, vm.Revision(), max(vm.Generation(), p.rows[name].Generation()))
	if p.AnsweredCalls.Has(call.requestID) {
		return true
	}
	p.addAction(Reassign{call, pool})
	return false
}

func (p *plan) advanceReboot(name string, vm fold.VM) {
	call := newPlatformCall("reboot", name, vm.Revision(), vm.Generation())
	answered := p.AnsweredCalls.Has(call.requestID)
	switch {
	case answered && p.hasRestarted(name, vm):
		p.returnToServing(name, vm.Pool())
	case p.NowMs-vm.SinceMs() > p.rebootTimeout().Milliseconds():
		p.quarantine(name)
	case !answered:
		p.addAction(Reboot{call})
	}
}

// hasRestarted reports whether the VM list shows the VM as live in a newer generation. Only the list counts: gates that send
// nothing to the VM can't detect that it answers again.
func (p *plan) hasRestarted(name string, vm fold.VM) bool {
	return p.rows[name].Generation() > vm.Generation() && p.rows[name].isLive()
}

func (p *plan) advanceQuarantine(name string, vm fold.VM) {
	if p.hasRestarted(name, vm) {
		p.returnIfLive(name, vm)
		return
	}
	if fence := newPlatformCall("fence", name, vm.Revision(), vm.Generation()); p.isDead(name) && !p.AnsweredCalls.Has(fence.requestID) {
		p.addAction(Fence{fence})
	}
}

// returnIfLive returns a VM to serving once it is live and the platform has it in the pool that the folded state names.
func (p *plan) returnIfLive(name string, vm fold.VM) {
	if !p.rows[name].isLive() {
		return
	}
	if actual := p.rows[name].Pool(); actual != "" && actual != vm.Pool() && !p.ensureReassigned(name, vm, vm.Pool()) {
		return
	}
	p.returnToServing(name, vm.Pool())
}
