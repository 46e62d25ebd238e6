package queue

import (
	"time"

	"mangowing/core/share"
)

// PoolLoad is the load of a pool as its dispatcher has it.
type PoolLoad struct {
	waiting int
	running int
	slots   int
	teams   []share.TeamSnapshot
	vms     []VMLoad
	ejected []string
}

// Waiting returns the number of requests that wait.
func (l PoolLoad) Waiting() int { return l.waiting }

// Running returns the number of grants not yet released.
func (l PoolLoad) Running() int { return l.running }

// Slots returns the number of slots of the pool's serving VMs in this data centre.
func (l PoolLoad) Slots() int { return l.slots }

// Teams returns the load of each team.
func (l PoolLoad) Teams() []share.TeamSnapshot { return l.teams }

// VMs returns the VMs with grants not yet released, in no order.
func (l PoolLoad) VMs() []VMLoad { return l.vms }

// VMLoad is the number of grants on one VM.
type VMLoad struct {
	vm      string
	running int
}

// VM returns the VM's name.
func (l VMLoad) VM() string { return l.vm }

// Running returns the number of grants not yet released.
func (l VMLoad) Running() int { return l.running }

// outstandingGrant is a grant that was not released yet.
type outstandingGrant struct {
	request      string
	team         string
	vm           string
	address      string
	holder       string
	grantedAt    time.Time
	needsReclaim bool
	failed       bool // the holder reported that the VM gave no usable answer
}

type waiter struct {
	ask     askWire
	reply   chan answerWire
	askedAt time.Time
}
