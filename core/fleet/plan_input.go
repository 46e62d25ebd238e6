package fleet

import "time"

// DefaultRebootTimeout is how long a reboot may take before the VM counts as failed.
const DefaultRebootTimeout = 10 * time.Minute

// drainAckTimeout is how long a data centre may leave a drain unacknowledged before no further drains are started there.
const drainAckTimeout = 10 * time.Second

// PlanInput is the input of Plan, which does not modify it.
type PlanInput struct {
	Index         *Index        // folded state and VM list
	Token         uint64        // the fencing token of the planner's lease, 0 for no lease
	NowMs         int64         // wall clock in Unix milliseconds
	DrainAcks     []DrainAck    // drain progress by VM, as reported by the gates
	Health        []Health      // VMs that show a sign of failure
	Transfers     []Transfer    // moves requested by the sizing policy
	AnsweredCalls *RequestIDs   // ids of platform calls that were answered
	RebootTimeout time.Duration // 0 for DefaultRebootTimeout
}

func (in PlanInput) rebootTimeout() time.Duration {
	if in.RebootTimeout == 0 {
		return DefaultRebootTimeout
	}
	return in.RebootTimeout
}

func (in PlanInput) timeOfDay() time.Duration {
	return time.Duration(in.NowMs) * time.Millisecond % (24 * time.Hour)
}

// DrainAck is the progress of a VM's drain as reported by the gates of its data centre.
type DrainAck struct {
	vm         string
	revision   uint64
	allStopped bool
	running    int
}

// NewDrainAck returns the progress of the drain that began at the VM's revision: whether all gates stopped sending
// requests to the VM, and how many still run on it.
func NewDrainAck(vm string, revision uint64, allStopped bool, running int) DrainAck {
	return DrainAck{vm, revision, allStopped, running}
}

// Health holds signs of failure of one VM that are not in the VM list.
type Health struct {
	vm          string
	unreachable bool
	leaseLapsed bool
}

// NewHealth returns a VM's signs of failure: whether the gates of its data centre can't reach it, and whether every lease
// of work on it has lapsed.
func NewHealth(vm string, unreachable, leaseLapsed bool) Health {
	return Health{vm, unreachable, leaseLapsed}
}

// PoolDemand is the demand of a pool's queues.
type PoolDemand struct {
	pool    string
	running int
	waiting int
}

// NewPoolDemand returns a pool's demand as the numbers of running and waiting requests.
func NewPoolDemand(pool string, running, waiting int) PoolDemand {
	return PoolDemand{pool, running, waiting}
}

// Pool returns the pool's name.
func (d PoolDemand) Pool() string { return d.pool }

// Running returns how many requests run.
func (d PoolDemand) Running() int { return d.running }

// Waiting returns how many requests wait.
func (d PoolDemand) Waiting() int { return d.waiting }

// Slots returns how many slots the running and waiting requests need together.
func (d PoolDemand) Slots() int { return d.running + d.waiting }

// RequestIDs is a set of platform request ids; the zero value is empty.
type RequestIDs struct {
	ids map[string]bool
}

// Add adds an id to the set.
func (r *RequestIDs) Add(id string) {
	if r.ids == nil {
		r.ids = map[string]bool{}
	}
	r.ids[id] = true
}

// Has reports whether the id is in the set; a nil set is empty.
func (r *RequestIDs) Has(id string) bool { return r != nil && r.ids[id] }

// Len returns the number of ids.
func (r *RequestIDs) Len() int { return len(r.ids) }
