package fleet

import (
	"fmt"

	"mangowing/core/record"
)

// Action is one action for the planner to execute: VMStep, WaveStep, Reboot, Reassign or Fence.
type Action interface {
	isAction()
}

// VMStep appends a state transition of a VM to the log.
type VMStep struct {
	spec record.VMStepSpec
}

// Spec returns the fields of the record to append.
func (s VMStep) Spec() record.VMStepSpec { return s.spec }

// WaveStep appends a state transition of a maintenance wave to the log.
type WaveStep struct {
	step record.WaveStep
}

// Record returns the body of the record to append.
func (s WaveStep) Record() record.WaveStep { return s.step }

// Reboot asks the platform to reboot a VM.
type Reboot struct {
	call platformCall
}

// Reassign asks the platform to assign a VM to another pool.
type Reassign struct {
	call platformCall
	pool string
}

// Fence asks the platform to isolate a VM and to terminate its work.
type Fence struct {
	call platformCall
}

// platformCall identifies one platform call; a retry after a lost answer carries the same request id.
type platformCall struct {
	vm         string
	requestID  string
	generation uint64
}

func newPlatformCall(operation, vm string, revision, generation uint64) platformCall {
	return platformCall{vm, fmt.Sprintf("%s-%s-%d", operation, vm, revision), generation}
}

// VM returns the VM's name.
func (r Reboot) VM() string { return r.call.vm }

// RequestID returns the id that makes the call idempotent.
func (r Reboot) RequestID() string { return r.call.requestID }

// Generation returns the generation that the call is meant for.
func (r Reboot) Generation() uint64 { return r.call.generation }

// VM returns the VM's name.
func (r Reassign) VM() string { return r.call.vm }

// RequestID returns the id that makes the call idempotent.
func (r Reassign) RequestID() string { return r.call.requestID }

// Generation returns the generation that the call is meant for.
func (r Reassign) Generation() uint64 { return r.call.generation }

// Pool returns the pool that the VM is moved to.
func (r Reassign) Pool() string { return r.pool }

// VM returns the VM's name.
func (f Fence) VM() string { return f.call.vm }

// RequestID returns the id that makes the call idempotent.
func (f Fence) RequestID() string { return f.call.requestID }

// Generation returns the generation that the call is meant for.
func (f Fence) Generation() uint64 { return f.call.generation }

func (VMStep) isAction()   {}
func (WaveStep) isAction() {}
func (Reboot) isAction()   {}
func (Reassign) isAction() {}
func (Fence) isAction()    {}
