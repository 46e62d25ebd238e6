package replay

import "time"

// layout is where requests wait.
type layout uint8

const (
	perDataCentre layout = iota // one dispatcher for each data centre's part of the pool
	perPool                     // one dispatcher for the whole pool
	perGate                     // each gate has a queue of its own
)

// choice is how a worker is chosen.
type choice uint8

const (
	leastLoaded choice = iota
	twoRandom
)

// retrying is when a failed idempotent request is tried again.
type retrying uint8

const (
	withBudget retrying = iota
	threeTimes
	never
)

// joining is which data centre's dispatcher a gate asks.
type joining uint8

const (
	ownDataCentre joining = iota
	spreadBySlots
	shortestQueue     // a free slot, else the fewest waiting for each slot
	shortestTeamQueue // the same, but of the request's team
)

// policy is one way of taking the decisions.
type policy struct {
	name       string
	layout     layout
	arrival    bool          // first come, first served, whatever the team
	gossip     time.Duration // how often dispatchers of the pool talk to each other, 0 for never
	correct    bool          // by the service that the others gave
	joining    joining
	level      bool // so that each has its part of every team's waiting requests
	choice     choice
	noEjection bool
	retrying   retrying
	hedging    bool
	setAside   int // distinct workers on which a job must fail, 0 for never
	reserve    int // percent of the slots that long runs leave free
}

// faults is what goes wrong in a replay.
type faults struct {
	badWorkers int  // fail everything they start for half of the turn
	outage     bool // all workers fail everything for a sixth of the turn
	longFlood  bool // patient work that runs very long fills the pool just before the turn
}
