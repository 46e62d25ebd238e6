package fleet

import (
	"fmt"

	"mangowing/core/record"
)

// Action is one thing that the planner has to do: VMStep, WaveStep, Reboot, Reassign or Fence.
type Action interface {
	action()
}

// VMStep appends a step of a VM to the log.
type VMStep struct {
	spec record.VMStepSpec
}

// Spec returns the fields of the record.
func (s VMStep) Spec() record.VMStepSpec { return s.spec }

// WaveStep appends a step of a wave to the log.
type WaveStep struct {
	step record.WaveStep
}

// Record returns the record's body.
func (s WaveStep) Record() record.WaveStep { return s.step }

// Reboot asks the platform to reboot a VM.
type Reboot struct {
	call call
}

// Reassign asks the platform to move a VM to a pool.
type Reassign struct {
	call call
	pool string
}

// Fence asks the platform to cut a VM off and to end its work.
type Fence struct {
	call call
}

// call names one platform call; a repeat after a lost answer has the same request id.
type call struct {
	vm         string
	requestID  string
	generation uint64
}

func newCall(verb, vm string, revision, generation uint64) call {
	return call{vm, fmt.Sprintf("%s-%s-%d", verb, vm, revision), generation}
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

func (VMStep) action()   {}
func (WaveStep) action() {}
func (Reboot) action()   {}
func (Reassign) action() {}
func (Fence) action()    {}
