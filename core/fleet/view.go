package fleet

import "time"

// DefaultRebootTimeout is how long a VM may take to come back before it counts as a fault.
const DefaultRebootTimeout = 10 * time.Minute

// A data centre that has not acknowledged a drain for this long gets no further ones.
const drainAckTimeout = 10 * time.Second

// PlanInput is everything that one plan is made from; Plan changes none of it.
type PlanInput struct {
	Index         *Index        // agreed state and VM list
	Token         uint64        // the fencing token of the planner's lease, 0 for no lease
	NowMs         int64         // wall clock in Unix milliseconds
	DrainAcks     []DrainAck    // what the gates say about draining VMs
	Health        []Health      // VMs with a sign of failure
	Transfers     []Transfer    // what the sizing policy wants moved
	AnsweredCalls *RequestIDs   // platform calls that were answered
	RebootTimeout time.Duration // 0 for DefaultRebootTimeout
}

func (v PlanInput) rebootTimeout() time.Duration {
	if v.RebootTimeout == 0 {
		return DefaultRebootTimeout
	}
	return v.RebootTimeout
}

func (v PlanInput) timeOfDay() time.Duration {
	return time.Duration(v.NowMs) * time.Millisecond % (24 * time.Hour)
}

// DrainAck tells how far a VM's drain got in its data centre.
type DrainAck struct {
	vm       string
	revision uint64
	all      bool
	running  int
}

// NewDrainAck returns what the gates say about the drain of the VM's revision: whether all of them stopped sending, and how much still runs.
func NewDrainAck(vm string, revision uint64, all bool, running int) DrainAck {
	return DrainAck{vm, revision, all, running}
}

// Health holds the signs of failure of one VM that the VM list does not show.
type Health struct {
	vm          string
	unreachable bool
	leaseLapsed bool
}

// NewHealth returns a VM's signs: its data centre's gates can't reach it, and every lease of work on it lapsed.
func NewHealth(vm string, unreachable, leaseLapsed bool) Health {
	return Health{vm, unreachable, leaseLapsed}
}

// PoolDemand is what the queues of a pool ask for.
type PoolDemand struct {
	pool    string
	running int
	waiting int
}

// NewPoolDemand returns a pool's demand: the numbers of requests that run and that wait.
func NewPoolDemand(pool string, running, waiting int) PoolDemand {
	return PoolDemand{pool, running, waiting}
}

// Pool returns the pool's name.
func (d PoolDemand) Pool() string { return d.pool }

// Running returns how many requests run.
func (d PoolDemand) Running() int { return d.running }

// Waiting returns how many requests wait.
func (d PoolDemand) Waiting() int { return d.waiting }

// Slots returns how many slots would hold all of them.
func (d PoolDemand) Slots() int { return d.running + d.waiting }

// RequestIDs is a set of platform request ids; the zero value is empty.
type RequestIDs struct {
	ids map[string]bool
}

// Add puts an id into the set.
func (r *RequestIDs) Add(id string) {
	if r.ids == nil {
		r.ids = map[string]bool{}
	}
	r.ids[id] = true
}

// Has tells whether the id is in the set; a nil set is empty.
func (r *RequestIDs) Has(id string) bool { return r != nil && r.ids[id] }

// Len returns the number of ids.
func (r *RequestIDs) Len() int { return len(r.ids) }
