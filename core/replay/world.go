package replay

import (
	"math/rand/v2"
	"strconv"
	"time"

	"mangowing/core/codes"
	"mangowing/core/route"
	"mangowing/core/share"
)

const (
	slotsPerWorker       = 8
	connectionsPerWorker = 64
	dataCentres          = 3
	queueLength          = 1200 // of one team in the whole pool
	heartbeatPeriod      = 50 * time.Millisecond
	brokenRun            = 20 * time.Millisecond // of a worker that fails everything
	contention           = 0.2                   // by which a run takes longer on a full worker
	mostTries            = 4                     // of a request without a budget
	ejectedPercent       = 30
	fifoTeam             = "all"
)

var origin = time.Date(2027, 3, 1, 0, 0, 0, 0, time.UTC)

// request is one request of the trace on its way.
type request struct {
	demand     *demand
	stream     *stream
	id         string
	dispatcher *dispatcher
	code       codes.Code
	tries      int
	live       int // attempts that run
	attempts   []*attempt
	started    bool
	calm       bool // met a pool with free slots
	ended      bool
}

// attempt is one run of a request on a worker.
type attempt struct {
	request    *request
	dispatcher *dispatcher
	worker     *worker
	id         string
	since      time.Duration
	till       time.Duration
	hedge      bool
	fails      bool
	ended      bool
}

type worker struct {
	name       string
	dataCentre int
	running    int
}

// dispatcher is a queue with the workers that it fills.
type dispatcher struct {
	dataCentre int
	scheduler  *share.Scheduler
	balancer   *route.Balancer
	budget     route.RetryBudget
	workers    []*worker
	gossiped   []float64 // service of each team at the last gossip
	refused    bool      // by a worker, until the next heartbeat
}

// world is the state of one replay.
type world struct {
	deployment  deployment
	policy      policy
	faults      faults
	trace       trace
	rng         *rand.Rand
	now         time.Duration
	events      eventQueue
	workers     []*worker
	byName      map[string]*worker
	dispatchers []*dispatcher
	blame       *route.FailureTracker
	meter       *meter
	requests    []*request
}

func newWorld(d deployment, p policy, f faults, cycle, queue int, sz size) *world {
	w := &world{deployment: d, policy: p, faults: f, byName: map[string]*worker{}}
	w.trace = newTrace(d, f, cycle, queue, sz)
	w.rng = rand.New(rand.NewPCG(uint64(cycle), uint64(queue)))
	w.blame = route.NewFailureTracker(p.setAside)
	w.meter = newMeter(d, sz.workers*slotsPerWorker, w.trace)
	for i := range sz.workers {
		name := "w" + strconv.Itoa(i)
		w.workers = append(w.workers, &worker{name: name, dataCentre: i % dataCentres})
		w.byName[name] = w.workers[i]
	}
	w.addDispatchers()
	return w
}

func (w *world) dispatcherCount() int {
	switch w.policy.layout {
	case perDataCentre:
		return dataCentres
	case perGate:
		return w.deployment.gates
	default:
		return 1
	}
}

func (w *world) addDispatchers() {
	switch w.policy.layout {
	case perPool:
		w.addDispatcher(0, w.workers)
	case perDataCentre:
		for dc := range dataCentres {
			w.addDispatcher(dc, w.workersOf(dc))
		}
	case perGate:
		for gate := range w.deployment.gates {
			w.addDispatcher(gate%dataCentres, w.workersOf(gate%dataCentres))
		}
	}
}

func (w *world) workersOf(dataCentre int) []*worker {
	var out []*worker
	for _, k := range w.workers {
		if k.dataCentre == dataCentre {
			out = append(out, k)
		}
	}
	return out
}

func (w *world) addDispatcher(dataCentre int, workers []*worker) {
	d := &dispatcher{dataCentre: dataCentre, scheduler: share.New(), workers: workers}
	options := route.Options{MaxEjectedPercent: ejectedPercent}
	if w.policy.noEjection {
		options.MaxEjectedPercent = 0
	}
	d.balancer = route.New(options)
	var targets []route.Target
	for _, k := range workers {
		targets = append(targets, route.NewTarget(k.name, k.name, slotsPerWorker, connectionsPerWorker))
	}
	d.balancer.SetTargets(targets)
	if w.policy.layout != perGate {
		d.scheduler.SetSlots(len(workers) * slotsPerWorker)
	}
	length := queueLength / w.dispatcherCount()
	d.scheduler.SetLongRunReserve(w.policy.reserve)
	for _, t := range w.deployment.teams {
		d.scheduler.SetTeam(t.name, t.weight, length)
	}
	d.scheduler.SetTeam(fifoTeam, 1, length*len(w.deployment.teams))
	d.gossiped = make([]float64, len(w.deployment.teams))
	w.dispatchers = append(w.dispatchers, d)
}

// run replays the whole trace and returns what was measured.
func (w *world) run() *meter {
	for i := range w.trace.demands {
		w.announce(i)
	}
	w.events.push(0, heartbeat{})
	if w.policy.gossip > 0 {
		w.events.push(w.policy.gossip, gossip{})
	}
	for {
		next, ok := w.events.pop()
		if !ok || next.at > w.trace.end {
			return w.meter
		}
		w.now = next.at
		w.handle(next.event)
	}
}

// announce schedules the arrival of a request at the dispatcher that its gate hands it to.
func (w *world) announce(i int) {
	d := &w.trace.demands[i]
	r := &request{demand: d, stream: &w.deployment.streams[d.stream], id: strconv.Itoa(i)}
	w.requests = append(w.requests, r)
	gateDC := d.gate % dataCentres
	hop := time.Duration(0)
	switch w.policy.layout {
	case perPool:
		r.dispatcher = w.dispatchers[0]
	case perDataCentre:
		r.dispatcher = w.dispatchers[gateDC]
		if w.policy.joining == spreadBySlots {
			r.dispatcher = w.dispatchers[w.workers[i%len(w.workers)].dataCentre]
		}
	case perGate:
		r.dispatcher = w.dispatchers[d.gate]
	}
	if w.policy.layout != perGate {
		hop = w.roundTrip(gateDC, r.dispatcher.dataCentre)
	}
	w.events.push(d.arrive+hop, arrival{r})
	if d.cancel > 0 {
		w.events.push(max(d.cancel, d.arrive+hop), leaving{r})
	}
}

func (w *world) roundTrip(a, b int) time.Duration {
	if a == b {
		return 2 * localHop
	}
	return 2 * w.deployment.hop
}

func (w *world) handle(e event) {
	switch e := e.(type) {
	case arrival:
		w.arrive(e.request)
	case leaving:
		w.leave(e.request)
	case finish:
		w.finish(e.attempt)
	case hedging:
		w.hedge(e.attempt)
	case retry:
		w.retryJob(e.request)
	case heartbeat:
		w.beat()
	case gossip:
		w.exchange()
	}
}

func (w *world) clock() time.Time { return origin.Add(w.now) }

func (w *world) arrive(r *request) {
	if w.policy.joining >= shortestQueue {
		r.dispatcher = w.join(r)
	}
	r.dispatcher.budget.Deposit()
	w.meter.arrived(r)
	w.enqueue(r)
	w.fill(r.dispatcher)
}

func (w *world) enqueue(r *request) {
	code := r.dispatcher.scheduler.Add(w.item(r), w.clock())
	if code != codes.OK {
		w.end(r, code)
		return
	}
	w.meter.waiting[r.demand.team]++
}

func (w *world) item(r *request) share.Item {
	s := share.ItemSpec{
		ID: r.id, Team: r.stream.team, Class: r.stream.class, Arrived: origin.Add(r.demand.arrive),
		Expected: r.stream.declared, Payload: r,
	}
	if w.policy.arrival {
		s.Team, s.Class = fifoTeam, 0
	}
	if r.stream.deadline > 0 {
		s.Deadline = s.Arrived.Add(r.stream.deadline)
	}
	if r.demand.finish > 0 {
		s.LatestFinish = origin.Add(r.demand.finish)
	}
	return share.NewItem(s)
}

// end settles the request for good.
func (w *world) end(r *request, code codes.Code) {
	if r.ended {
		return
	}
	r.ended = true
	r.code = code
	w.blame.Forget(r.id)
	w.meter.ended(r, w.now)
}

func (w *world) leave(r *request) {
	if r.ended {
		return
	}
	if r.dispatcher.scheduler.Remove(r.id) {
		w.meter.waiting[r.demand.team]--
	}
	w.end(r, codes.CallerLeft)
}

func (w *world) beat() {
	for _, d := range w.dispatchers {
		d.refused = false
		for _, item := range d.scheduler.Expire(w.clock()) {
			r := item.Payload().(*request)
			w.meter.waiting[r.demand.team]--
			w.end(r, codes.DeadlineUnmeetable)
		}
		w.fill(d)
	}
	w.meter.sample(float64(w.usableSlots()))
	w.events.push(w.now+heartbeatPeriod, heartbeat{})
}

// usableSlots leaves out the slots of workers that fail everything, unless all do.
func (w *world) usableSlots() int {
	slots := 0
	for _, k := range w.workers {
		if !w.broken(k) {
			slots += slotsPerWorker
		}
	}
	if slots == 0 {
		return len(w.workers) * slotsPerWorker
	}
	return slots
}

// exchange lets the dispatchers of the pool talk to each other.
func (w *world) exchange() {
	if w.policy.correct {
		w.correctShares()
	}
	if w.policy.level {
		w.levelQueues()
	}
	w.events.push(w.now+w.policy.gossip, gossip{})
}

// correctShares tells each dispatcher the service that the others gave.
func (w *world) correctShares() {
	for i, t := range w.deployment.teams {
		for _, d := range w.dispatchers {
			given := d.scheduler.Service(t.name) - d.gossiped[i]
			d.gossiped[i] += given
			for _, other := range w.dispatchers {
				if other != d {
					other.scheduler.AddRemoteService(t.name, given)
				}
			}
		}
	}
}
