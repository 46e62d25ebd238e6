package sched

import (
	"cmp"
	"slices"
	"time"

	"mangowing/core/setup"
)

// Machine is the scheduler's state.
type Scheduler struct {
	options    Options
	cfg        *setup.Config
	ownedSince time.Time // start of the ownership, zero while the journal is replayed
	fenced     bool      // a higher fencing token was met

	// From the journal.
	jobs              map[string]*job
	earlyCancels      map[string]bool // cancelled before the job itself arrived
	teams             map[string]*team
	pools             map[string]*pool
	poolOrder         []*pool         // the same in the order in which they were met
	inboxOffset       int64           // offset of the first record of the inbox that was not taken over
	waveFirstSeen     map[int64]int64 // when waves became known, in Unix milliseconds
	maintained        map[maintenanceKey]bool
	maintenanceOrders map[string]int64 // waves that machines were told to go down for and are not known to have served
	surges            surgeForecast
	snapshot          pendingSnapshot // while the journal is replayed

	// From workers and the platform.
	workers          map[string]*worker
	workersByID      []*worker        // the same in order of their ids
	replacedWorkers  map[string]int64 // workers whose machine was taken, with their incarnation
	firstWorkerList  time.Time        // when the first list of workers came
	machines         map[string]*machine
	machinesByID     []*machine // the same in order of their ids
	lastMachineList  time.Time  // when the last list of machines came
	machineAnswered  bool       // an order to a machine was answered since that was last asked
	machinesArriving bool       // machines are on their way
	waves            map[int64]*wave

	// Kept for speed, or from one decision to the next.
	openJobs        map[*job]bool // jobs that are neither cancelled nor ended
	finishedJobs    []*job        // in the order in which they ended
	lastMachinePlan time.Time     // when machines were last planned
	lastReplan      time.Time     // when all waiting tasks were last looked at
	lastFullPass    time.Time     // when all workers and open jobs were last gone through
	fullPassDue     bool          // they are to be gone through at once
	callLatency     latencyMeter
	startWindow     startWindow
	throughput      throughputMeter
	orderLimiter    orderLimiter
	demand          map[string]*poolDemand
	teamLoads       map[string]teamLoad

	// What came out since it was last taken.
	batch              Batch
	immediateOrders    []Order
	changedJobs        map[*job]bool // jobs whose state changed
	workersWithNewEnds map[*worker]bool
	decisions          []Decision
	counters           Counters
}

// team counts what runs for an organisation.
type team struct {
	name  string
	used  setup.Resources
	share shareBucket
}

// pool holds the steps that wait for workers of a pool.
type pool struct {
	name         string
	waitingSteps map[*step]bool
	dirty        bool               // something happened since its waiting tasks were last looked at
	lastPass     time.Time          // when its waiting tasks were last gone through
	runningCores map[string]float64 // cores at work by team
}

// Batch is what came out of the machine since the last Take.
type Batch struct {
	Records        []Record
	DeferredOrders []Order // to be given once the records are stored
	jobStates      []storedJobState
	lastEnds       []workerEnd
}

type storedJobState struct {
	job   *job
	state JobState
}

type workerEnd struct {
	worker      *worker
	incarnation int64
	number      int64
}

// Empty tells whether the batch changes nothing that is stored or shown.
func (b *Batch) IsEmpty() bool {
	return len(b.Records) == 0 && len(b.DeferredOrders) == 0 && len(b.jobStates) == 0 && len(b.lastEnds) == 0
}

// New returns a machine without jobs or workers.
func New(options Options) *Scheduler {
	return &Scheduler{
		options: options.withDefaults(),
		cfg:     setup.New(0, nil, nil, nil, setup.Limits{}),
		jobs:    map[string]*job{}, earlyCancels: map[string]bool{}, workers: map[string]*worker{},
		teams: map[string]*team{}, pools: map[string]*pool{}, machines: map[string]*machine{},
		openJobs: map[*job]bool{}, replacedWorkers: map[string]int64{}, waveFirstSeen: map[int64]int64{}, maintained: map[maintenanceKey]bool{}, maintenanceOrders: map[string]int64{},
		waves: map[int64]*wave{}, changedJobs: map[*job]bool{}, workersWithNewEnds: map[*worker]bool{},
	}
}

// Begin starts the ownership: all workers are asked what they run before anything else is ordered there. The owner
// before may go on renewing what runs for the time given.
func (sc *Scheduler) TakeOwnership(now time.Time, earlierLease time.Duration) {
	sc.ownedSince = now
	sc.batch = Batch{}
	clear(sc.changedJobs)
	for _, j := range sc.jobs {
		j.stored, j.storedState = true, j.state()
		if j.finalState.IsFinal() || j.cancelled {
			j.endedAt = now
			sc.finishedJobs = append(sc.finishedJobs, j)
			continue
		}
		for _, r := range j.rounds {
			for _, s := range r.steps {
				sc.updateReadiness(s, now)
			}
		}
	}
	for _, w := range sc.workersByID {
		w.verified, w.nextPollAt = false, now
		w.leasesExpireAt = now.Add(earlierLease + sc.options.leaseExpiryBound())
	}
	sc.fullPassDue = true
	sc.RecordCall(now)
}

// Configure puts a configuration in force.
func (sc *Scheduler) Configure(_ time.Time, cfg *setup.Config) {
	sc.cfg = cfg
	sc.markAllPoolsDirty()
}

// Fenced tells whether a worker or machine was already called under a higher fencing token.
func (sc *Scheduler) IsFenced() bool { return sc.fenced }

// InboxOffset returns the offset of the first record of the inbox that was not taken over.
func (sc *Scheduler) InboxOffset() int64 { return sc.inboxOffset }

// Orders returns the orders that are to be given at once.
func (sc *Scheduler) TakeImmediateOrders() []Order {
	orders := sc.immediateOrders
	sc.immediateOrders = nil
	return orders
}

// Take returns what came out of the machine since the last call, but for the orders to be given at once.
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

// Stored tells the machine that the batch's records are on the journal.
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

// State returns what may be told of a job, and whether it is known.
func (sc *Scheduler) State(id string) (JobState, bool) {
	j, found := sc.jobs[id]
	if !found || !j.stored {
		return StateQueued, false
	}
	return j.storedState, true
}

// Pending returns how many accepted jobs of the queue no worker has begun.
func (sc *Scheduler) PendingJobs(queue string) int {
	n := 0
	for j := range sc.openJobs {
		if j.spec.Queue == queue && !j.started {
			n++
		}
	}
	return n
}

// emit applies the record and hands it out to be stored.
func (sc *Scheduler) appendRecord(r Record) {
	sc.batch.Records = append(sc.batch.Records, r)
}

func (sc *Scheduler) orderImmediately(o Order) { sc.immediateOrders = append(sc.immediateOrders, o) }

// orderAfter gives the order once all records so far are stored.
func (sc *Scheduler) orderOnceStored(o Order) {
	sc.batch.DeferredOrders = append(sc.batch.DeferredOrders, o)
}

func (sc *Scheduler) markChanged(j *job) { sc.changedJobs[j] = true }

func (sc *Scheduler) ensureTeam(name string) *team {
	t, found := sc.teams[name]
	if !found {
		t = &team{name: name}
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

// poolNameOf returns the pool that runs the job: that of its acceptance, or where its queue leads now if that pool is
// no longer declared.
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
		w = &worker{id: id, entry: WorkerEntry{ID: id}, runs: map[runKey]*run{}}
		sc.workers[id] = w
		at, _ := slices.BinarySearchFunc(sc.workersByID, id, func(w *worker, id string) int { return cmp.Compare(w.id, id) })
		sc.workersByID = slices.Insert(sc.workersByID, at, w)
	}
	return w
}
