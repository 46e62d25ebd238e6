package replay

import "time"

// queueLayout says where requests wait.
type queueLayout uint8

const (
	perDataCentre queueLayout = iota // one dispatcher for each data centre's part of the pool
	perPool                          // one dispatcher for the whole pool
	perGate                          // one dispatcher for each gate
)

// workerChoice says how a dispatcher chooses a worker.
type workerChoice uint8

const (
	leastLoaded workerChoice = iota
	twoRandom                // the less loaded of two random workers
)

// retryRule says when a failed idempotent request is retried.
type retryRule uint8

const (
	retryWithBudget retryRule = iota // while the dispatcher's retry budget permits it
	retryThreeTimes                  // up to three times per request
	neverRetry
)

// dispatcherChoice says which data centre's dispatcher receives a request.
type dispatcherChoice uint8

const (
	ownDataCentre     dispatcherChoice = iota // that of the gate's data centre
	spreadBySlots                             // round robin over the pool's workers
	shortestQueue                             // one with a free slot, else the one with the fewest waiting requests per slot
	shortestTeamQueue                         // like shortestQueue, but only the waiting requests of the same team count
)

// policy is a combination of scheduling and routing rules.
type policy struct {
	name             string
	layout           queueLayout
	fifo             bool          // first come, first served, regardless of team and class
	gossipInterval   time.Duration // how often the pool's dispatchers exchange state, 0 for never
	exchangesService bool          // dispatchers account for the service that a team received from the others
	dispatcherChoice dispatcherChoice
	rebalances       bool // waiting requests are moved between dispatchers in proportion to slots
	workerChoice     workerChoice
	noEjection       bool
	retryRule        retryRule
	hedges           bool
	setAsideAfter    int // distinct workers on which a job fails before it is set aside, 0 for never
	longRunReserve   int // percentage of the slots that is not given to long runs
}

// faults selects the faults that are injected into a replay.
type faults struct {
	badWorkers int  // number of workers that fail everything for a third of the turn
	outage     bool // all workers fail everything for a sixth of the turn
	longFlood  bool // patient work that runs very long fills the pool just before the turn
}
