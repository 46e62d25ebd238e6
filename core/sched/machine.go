package sched

import (
	"cmp"
	"slices"
	"time"

	"mangowing/core/setup"
)

// Machine is the scheduler's state.
type Machine struct {
	options Options
	cfg     *setup.Config
	begun   time.Time // start of the ownership, zero while the journal is replayed
	fenced  bool      // a higher fencing token was met

	// From the journal.
	jobs      map[string]*job
	early     map[string]bool // cancelled before the job itself arrived
	teams     map[string]*team
	pools     map[string]*pool
	poolOrder []*pool         // the same in the order in which they were met
	inbox     int64           // offset of the first record of the inbox that was not taken over
	waveSeen  map[int64]int64 // when waves became known, in Unix milliseconds
	served    map[servedKey]bool
	inService map[string]int64 // waves that machines were told to go down for and are not known to have served
	turns     turnPlan
	snapshot  openSnapshot // while the journal is replayed

	// From workers and the platform.
	workers        map[string]*worker
	byID           []*worker        // the same in order of their ids
	departed       map[string]int64 // workers whose machine was taken, with their incarnation
	workersListed  time.Time        // when the first list of workers came
	machines       map[string]*machine
	machineOrder   []*machine // the same in order of their ids
	machinesListed time.Time  // when the last list of machines came
	machinesNews   bool       // an order to a machine was answered since that was last asked
	expecting      bool       // machines are on their way
	waves          map[int64]*wave

	// Kept for speed, or from one decision to the next.
	open      map[*job]bool // jobs that are neither cancelled nor ended
	finished  []*job        // in the order in which they ended
	planned   time.Time     // when machines were last planned
	replanned time.Time     // when all waiting tasks were last looked at
	swept     time.Time     // when all workers and open jobs were last gone through
	hasten    bool          // they are to be gone through at once
	strain    strainMeter
	window    startWindow
	flow      flowMeter
	budget    orderBudget
	demand    map[string]*poolDemand
	teamLoads map[string]teamLoad

	// What came out since it was last taken.
	out       Batch
	now       []Order
	touched   map[*job]bool // jobs whose state changed
	saw       map[*worker]bool
	decisions []Decision
	counters  Counters
}

// team counts what runs for an organisation.
type team struct {
	name  string
	used  setup.Resources
	share shareMeter
}

// pool holds the steps that wait for workers of a pool.
type pool struct {
	name    string
	waiting map[*step]bool
	dirty   bool               // something happened since its waiting tasks were last looked at
	passed  time.Time          // when its waiting tasks were last gone through
	running map[string]float64 // cores at work by team
}

// Batch is what came out of the machine since the last Take.
type Batch struct {
	Records []Record
	After   []Order // to be given once the records are stored
	shows   []shownJob
	seen    []seenWorker
}

type shownJob struct {
	job   *job
	state State
}

type seenWorker struct {
	worker *worker
	born   int64
	number int64
}

// Empty tells whether the batch changes nothing that is stored or shown.
func (b *Batch) Empty() bool {
	return len(b.Records) == 0 && len(b.After) == 0 && len(b.shows) == 0 && len(b.seen) == 0
}

// New returns a machine without jobs or workers.
func New(options Options) *Machine {
	return &Machine{
		options: options.withDefaults(),
		cfg:     setup.New(0, nil, nil, nil, setup.Limits{}),
		jobs:    map[string]*job{}, early: map[string]bool{}, workers: map[string]*worker{},
		teams: map[string]*team{}, pools: map[string]*pool{}, machines: map[string]*machine{},
		open: map[*job]bool{}, departed: map[string]int64{}, waveSeen: map[int64]int64{}, served: map[servedKey]bool{}, inService: map[string]int64{},
		waves: map[int64]*wave{}, touched: map[*job]bool{}, saw: map[*worker]bool{},
	}
}

// Begin starts the ownership: all workers are asked what they run before anything else is ordered there. The owner
// before may go on renewing what runs for the time given.
func (m *Machine) Begin(now time.Time, renewed time.Duration) {
	m.begun = now
	m.out = Batch{}
	clear(m.touched)
	for _, j := range m.jobs {
		j.stored, j.shown = true, j.state()
		if j.outcome.Final() || j.cancelled {
			j.ended = now
			m.finished = append(m.finished, j)
			continue
		}
		for _, r := range j.rounds {
			for _, s := range r.steps {
				m.prepare(s, now)
			}
		}
	}
	for _, w := range m.byID {
		w.verified, w.nextHold = false, now
		w.lapse = now.Add(renewed + m.options.lapseAfter())
	}
	m.hasten = true
	m.Called(now)
}

// Configure puts a configuration in force.
func (m *Machine) Configure(_ time.Time, cfg *setup.Config) {
	m.cfg = cfg
	m.wakeAll()
}

// Fenced tells whether a worker or machine was already called under a higher fencing token.
func (m *Machine) Fenced() bool { return m.fenced }

// InboxOffset returns the offset of the first record of the inbox that was not taken over.
func (m *Machine) InboxOffset() int64 { return m.inbox }

// Orders returns the orders that are to be given at once.
func (m *Machine) Orders() []Order {
	orders := m.now
	m.now = nil
	return orders
}

// Take returns what came out of the machine since the last call, but for the orders to be given at once.
func (m *Machine) Take() Batch {
	b := m.out
	m.out = Batch{}
	for j := range m.touched {
		b.shows = append(b.shows, shownJob{j, j.state()})
	}
	clear(m.touched)
	for w := range m.saw {
		b.seen = append(b.seen, seenWorker{w, w.born, w.seen})
	}
	clear(m.saw)
	return b
}

// Stored tells the machine that the batch's records are on the journal.
func (m *Machine) Stored(b Batch) {
	for _, s := range b.shows {
		s.job.stored = true
		s.job.shown = s.state
	}
	for _, s := range b.seen {
		if s.worker.born == s.born {
			s.worker.stored = max(s.worker.stored, s.number)
		}
	}
}

// State returns what may be told of a job, and whether it is known.
func (m *Machine) State(id string) (State, bool) {
	j, found := m.jobs[id]
	if !found || !j.stored {
		return Queued, false
	}
	return j.shown, true
}

// Pending returns how many accepted jobs of the queue no worker has begun.
func (m *Machine) Pending(queue string) int {
	n := 0
	for j := range m.open {
		if j.spec.Queue == queue && !j.begun {
			n++
		}
	}
	return n
}

// emit applies the record and hands it out to be stored.
func (m *Machine) emit(r Record) {
	m.out.Records = append(m.out.Records, r)
}

func (m *Machine) orderNow(o Order) { m.now = append(m.now, o) }

// orderAfter gives the order once all records so far are stored.
func (m *Machine) orderAfter(o Order) { m.out.After = append(m.out.After, o) }

func (m *Machine) touch(j *job) { m.touched[j] = true }

func (m *Machine) teamOf(name string) *team {
	t, found := m.teams[name]
	if !found {
		t = &team{name: name}
		m.teams[name] = t
	}
	return t
}

func (m *Machine) poolOf(name string) *pool {
	p, found := m.pools[name]
	if !found {
		p = &pool{name: name, waiting: map[*step]bool{}, running: map[string]float64{}}
		m.pools[name] = p
		m.poolOrder = append(m.poolOrder, p)
	}
	return p
}

// poolNameOf returns the pool that runs the job: that of its acceptance, or where its queue leads now if that pool is
// no longer declared.
func (m *Machine) poolNameOf(j *job) string {
	if _, declared := m.cfg.Pool(j.spec.Pool); declared || m.cfg.Version() == 0 {
		return j.spec.Pool
	}
	if q, found := m.cfg.Queue(j.spec.Queue); found {
		return q.Pool
	}
	return j.spec.Pool
}

func (m *Machine) wake(pool string) { m.poolOf(pool).dirty = true }

func (m *Machine) wakeAll() {
	for _, p := range m.poolOrder {
		p.dirty = true
	}
}

func (m *Machine) workerOf(id string) *worker {
	w, found := m.workers[id]
	if !found {
		w = &worker{id: id, entry: WorkerEntry{ID: id}, runs: map[runKey]*run{}}
		m.workers[id] = w
		at, _ := slices.BinarySearchFunc(m.byID, id, func(w *worker, id string) int { return cmp.Compare(w.id, id) })
		m.byID = slices.Insert(m.byID, at, w)
	}
	return w
}
