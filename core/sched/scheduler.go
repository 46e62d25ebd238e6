package sched

import (
	"cmp"
	"slices"
	"time"

	"mangowing/core/setup"
)

// Scheduler holds the state of all jobs, workers and machines, and derives from it the orders that are due.
type Scheduler struct {
	options    Options
	cfg        *setup.Config
	ownedSince time.Time // when this owner took over, zero while the journal is replayed
	fenced     bool      // a worker or machine has reported a higher fencing token, or there are no more generations
	generation int64     // latest generation of calls to any worker

	predecessorRenewsUntil time.Time            // the previous owner may renew leases until then
	formerLeases           map[string]time.Time // by ID of a removed worker: until then its leases, or late renewals, may last

	// State that is restored from the journal.
	jobs              map[string]*job
	earlyCancels      map[string]time.Time // when jobs were cancelled that have not arrived, by id; during replay zero
	teams             map[string]*team
	pools             map[string]*pool
	poolOrder         []*pool         // all pools in order of creation
	inboxOffset       int64           // offset of the first record of the first inbox partition that has not been processed
	inboxOffsets      map[int]int64   // the same for the other partitions
	waveFirstSeen     map[int64]int64 // wave number -> when it became known, in Unix milliseconds
	maintained        map[maintenanceKey]bool
	maintenanceOrders map[string]int64 // machine id -> wave whose maintenance was ordered and is not confirmed as done
	evacuations       evacuations
	surges            surgeForecast
	snapshot          pendingSnapshot // used during replay only

	// State reported by workers and the platform.
	workers              map[string]*worker
	workersByID          []*worker              // all workers in order of id
	workerList           map[string]WorkerEntry // as last passed to UpdateWorkers
	sharedMachines       map[string][]*worker   // machines for which several workers are listed
	replacedWorkers      map[string]int64       // worker id -> incarnation, for workers whose machine runs another worker or was taken down
	firstWorkerList      time.Time              // when the first list of workers arrived
	machines             map[string]*machine
	machinesByID         []*machine // all machines in order of id
	lastMachineList      time.Time  // when the last list of machines arrived
	machineListRequested bool       // a machine has confirmed an order since TakeMachineListRequest
	machinesArriving     bool       // orders to machines are in flight
	waves                map[int64]*wave

	// Indexes and timers.
	openJobs          map[*job]bool // jobs whose tasks may still be started
	jobMemory         memoryMeter   // of all jobs
	runCount          int           // attempts on workers
	endedJobs         []*job        // in the order in which they ended, cancelled ones included
	settlingJobs      []*job        // ended jobs that may have attempts left
	settledJobs       []*job        // ended jobs without attempts that still have their steps, in the order in which they were released
	keepEndedSince    time.Time     // jobs that ended after it are not forgotten, zero for no such bound
	lastMachinePlan   time.Time     // when machines were last planned
	lastPeriodicCheck time.Time     // when the periodic checks last ran
	lastFullPass      time.Time     // when Decide last went through all workers and open jobs
	fullPassDue       bool          // the next Decide goes through all of them, whatever lastFullPass says
	callLatency       latencyMeter
	startWindow       startWindow
	throughput        throughputMeter
	orderLimiter      orderLimiter
	demand            map[string]*poolDemand
	teamLoads         map[string]*teamLoad
	admission         admissionPlan

	// Output that has not been taken yet.
	batch              Batch
	immediateOrders    []Order
	changedJobs        map[*job]bool
	workersWithNewEnds map[*worker]bool
	decisions          []Decision
	counters           Counters
	localityWaits      LocalityWaits
}

// team tracks the resources that an organisation uses, its rate of new jobs, and what its jobs cost the owner.
type team struct {
	name     string
	used     setup.Resources
	share    shareBucket
	memory   memoryMeter // of its jobs
	runCount int         // attempts on workers
	openJobs int
}

// pool holds the steps that wait for workers of one pool.
type pool struct {
	name         string
	waitingSteps map[*step]bool
	dirty        bool               // something changed since the last placement pass
	lastPass     time.Time          // when the last placement pass ran
	runningCores map[string]float64 // cores in use by team
	crashes      []time.Time        // when workers crashed lately under their tasks
	hasReserved  bool               // workers may be reserved for suspects of crashes
}

// Batch is the scheduler's output since the last TakeBatch: records to append to the journal, and orders that must wait for them.
type Batch struct {
	Records        []Record
	DeferredOrders []Order // to be sent once the records are stored
	jobStates      []storedJobState
	lastEnds       []workerEnd
}

// storedJobState is the state that clients see of a job once the batch is stored.
type storedJobState struct {
	job   *job
	state JobState
}

// workerEnd is the number of the last end of a worker that the batch covers.
type workerEnd struct {
	worker      *worker
	incarnation int64
	number      int64
}

// IsEmpty reports whether storing the batch would change nothing on the journal, for clients or for workers.
func (b *Batch) IsEmpty() bool {
	return len(b.Records) == 0 && len(b.DeferredOrders) == 0 && len(b.jobStates) == 0 && len(b.lastEnds) == 0
}

// New returns a scheduler without jobs or workers.
func New(options Options) *Scheduler {
	return &Scheduler{
		options: options.withDefaults(),
		cfg:     setup.New(0, nil, nil, nil, setup.Limits{}),
		jobs:    map[string]*job{}, earlyCancels: map[string]time.Time{}, workers: map[string]*worker{},
		teams: map[string]*team{}, pools: map[string]*pool{}, machines: map[string]*machine{}, inboxOffsets: map[int]int64{},
		openJobs: map[*job]bool{}, replacedWorkers: map[string]int64{}, formerLeases: map[string]time.Time{}, waveFirstSeen: map[int64]int64{}, maintained: map[maintenanceKey]bool{}, maintenanceOrders: map[string]int64{},
		waves: map[int64]*wave{}, changedJobs: map[*job]bool{}, workersWithNewEnds: map[*worker]bool{},
	}
}

// TakeOwnership starts scheduling after the replay. Each worker is polled for what it runs before anything else is ordered
// there. predecessorRenewalTime is how long the previous owner may still renew leases.
func (sc *Scheduler) TakeOwnership(now time.Time, predecessorRenewalTime time.Duration) {
	sc.ownedSince = now
	sc.batch = Batch{}
	sc.dropDisabledEvacuations()
	clear(sc.changedJobs)
	for _, j := range sc.jobs {
		j.stored, j.storedState = true, j.state()
		if j.finalState.IsFinal() || j.cancelled {
			sc.markEnded(j, now)
			continue
		}
		sc.updateJobReadiness(j, now)
	}
	for id := range sc.earlyCancels {
		sc.earlyCancels[id] = now
	}
	sc.predecessorRenewsUntil = now.Add(predecessorRenewalTime)
	for _, w := range sc.workersByID {
		w.verified, w.nextPollAt = false, now
		w.extendLeaseExpiry(sc.predecessorRenewsUntil.Add(sc.options.leaseExpiryBound()))
		sc.allowForFormerIncarnation(now, w, w.incarnation)
	}
	sc.fullPassDue = true
	sc.RecordSubmission(now)
}

// Configure replaces the configuration.
func (sc *Scheduler) Configure(now time.Time, cfg *setup.Config) {
	sc.cfg = cfg
	if sc.workerList != nil {
		sc.UpdateWorkers(now, sc.workerList)
	}
	sc.markAllPoolsDirty()
}

// IsFenced reports whether a worker or machine has already been called under a higher fencing token, so that this owner
// must stop.
func (sc *Scheduler) IsFenced() bool { return sc.fenced }

// InboxOffset returns the offset of the first record of an inbox partition that has not been processed.
func (sc *Scheduler) InboxOffset(partition int) int64 {
	if partition == 0 {
		return sc.inboxOffset
	}
	return sc.inboxOffsets[partition]
}

// InboxPartitions returns how many partitions of the inbox have been read.
func (sc *Scheduler) InboxPartitions() int {
	n := 1
	for partition := range sc.inboxOffsets {
		n = max(n, partition+1)
	}
	return n
}

// TakeImmediateOrders returns and clears the orders that are sent without waiting for a record to be stored.
func (sc *Scheduler) TakeImmediateOrders() []Order {
	orders := sc.immediateOrders
	sc.immediateOrders = nil
	return orders
}

// TakeBatch returns and clears the records and deferred orders since the last call.
func (sc *Scheduler) TakeBatch() Batch {
	b := sc.batch
	sc.batch = Batch{}
	for j := range sc.changedJobs {
		b.jobStates = append(b.jobStates, storedJobState{j, j.state()})
	}
	clear(sc.changedJobs)
	for w := range sc.workersWithNewEnds {
		b.lastEnds = append(b.lastEnds, workerEnd{w, w.incarnation, w.lastEndSeen})
	}
	clear(sc.workersWithNewEnds)
	return b
}

// ConfirmStored marks the batch's records as stored on the journal: its job states become visible to clients, and its ends
// are acknowledged to the workers.
func (sc *Scheduler) ConfirmStored(b Batch) {
	for _, s := range b.jobStates {
		s.job.stored = true
		s.job.storedState = s.state
	}
	for _, s := range b.lastEnds {
		if s.worker.incarnation == s.incarnation {
			s.worker.lastEndStored = max(s.worker.lastEndStored, s.number)
		}
	}
}

// State returns the stored state of a job, and false if the job isn't known or its acceptance isn't stored yet.
func (sc *Scheduler) State(id string) (JobState, bool) {
	j, found := sc.jobs[id]
	if !found || !j.stored {
		return StateQueued, false
	}
	return j.storedState, true
}

// PendingJobs returns the number of accepted jobs of the queue that no worker has started.
func (sc *Scheduler) PendingJobs(queue string) int {
	n := 0
	for j := range sc.openJobs {
		if j.spec.Queue == queue && !j.started {
			n++
		}
	}
	return n
}

func (sc *Scheduler) appendRecord(r Record) {
	sc.batch.Records = append(sc.batch.Records, r)
}

func (sc *Scheduler) orderImmediately(o Order) { sc.immediateOrders = append(sc.immediateOrders, o) }

// orderOnceStored defers the order until all records so far are stored.
func (sc *Scheduler) orderOnceStored(o Order) {
	sc.batch.DeferredOrders = append(sc.batch.DeferredOrders, o)
}

func (sc *Scheduler) markChanged(j *job) { sc.changedJobs[j] = true }

func (sc *Scheduler) ensureTeam(name string) *team {
	t, found := sc.teams[name]
	if !found {
		t = &team{name: name, memory: memoryMeter{total: &sc.jobMemory}}
		sc.teams[name] = t
	}
	return t
}

func (sc *Scheduler) ensurePool(name string) *pool {
	p, found := sc.pools[name]
	if !found {
		p = &pool{name: name, waitingSteps: map[*step]bool{}, runningCores: map[string]float64{}}
		sc.pools[name] = p
		sc.poolOrder = append(sc.poolOrder, p)
	}
	return p
}

// currentPool returns the name of the pool that runs the job: the one at its acceptance, or the queue's present pool if that
// one is no longer declared.
func (sc *Scheduler) currentPool(j *job) string {
	if _, declared := sc.cfg.Pool(j.spec.Pool); declared || sc.cfg.Version() == 0 {
		return j.spec.Pool
	}
	if q, found := sc.cfg.Queue(j.spec.Queue); found {
		return q.Pool
	}
	return j.spec.Pool
}

func (sc *Scheduler) markPoolDirty(pool string) { sc.ensurePool(pool).dirty = true }

func (sc *Scheduler) markAllPoolsDirty() {
	for _, p := range sc.poolOrder {
		p.dirty = true
	}
}

func (sc *Scheduler) ensureWorker(id string) *worker {
	w, found := sc.workers[id]
	if !found {
		w = &worker{id: id, entry: WorkerEntry{ID: id}, runs: map[runKey]*run{}, generation: sc.generation}
		sc.workers[id] = w
		at, _ := slices.BinarySearchFunc(sc.workersByID, id, func(w *worker, id string) int { return cmp.Compare(w.id, id) })
		sc.workersByID = slices.Insert(sc.workersByID, at, w)
	}
	return w
}
