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
	poolQueueLength      = 1200 // waiting requests per team in the whole pool, divided among the dispatchers
	heartbeatPeriod      = 50 * time.Millisecond
	brokenRunTime        = 20 * time.Millisecond // of an attempt on a worker that fails everything
	fullWorkerSlowdown   = 0.2                   // fraction by which a run takes longer on a full worker
	maxAttempts          = 4                     // per request under retryThreeTimes
	maxEjectedPercent    = 30
	fifoTeam             = "all"
)

var startTime = time.Date(2027, 3, 1, 0, 0, 0, 0, time.UTC)

// request is the state of one request of the trace.
type request struct {
	demand         *demand
	stream         *stream
	id             string
	dispatcher     *dispatcher
	code           codes.Code
	attemptCount   int
	running        int // running attempts
	attempts       []*attempt
	hasStarted     bool
	foundFreeSlots bool // the pool had free slots and no queue on arrival
	isEnded        bool
}

// attempt is one run of a request on a worker.
type attempt struct {
	request    *request
	dispatcher *dispatcher
	worker     *worker
	id         string
	startedAt  time.Duration
	endedAt    time.Duration
	isHedge    bool
	willFail   bool
	isEnded    bool
}

type worker struct {
	name       string
	dataCentre int
	running    int
}

// dispatcher is a queue with the workers that it starts requests on.
type dispatcher struct {
	dataCentre  int
	scheduler   *share.Scheduler
	balancer    *route.Balancer
	budget      route.RetryBudget
	workers     []*worker
	lastService []float64 // service given to each team, as of the last gossip
	wasRefused  bool      // a worker refused a request since the last heartbeat
}

// simulation is the state of one replay.
type simulation struct {
	deployment    deployment
	policy        policy
	faults        faults
	trace         trace
	rng           *rand.Rand
	now           time.Duration
	events        eventQueue
	workers       []*worker
	workersByName map[string]*worker
	dispatchers   []*dispatcher
	failures      *route.FailureTracker
	meter         *meter
	requests      []*request
}

func newSimulation(d deployment, p policy, f faults, cycle, queue int, sz traceSize) *simulation {
	s := &simulation{deployment: d, policy: p, faults: f, workersByName: map[string]*worker{}}
	s.trace = newTrace(d, f, cycle, queue, sz)
	s.rng = rand.New(rand.NewPCG(uint64(cycle), uint64(queue)))
	s.failures = route.NewFailureTracker(p.setAsideAfter)
	s.meter = newMeter(d, sz.workers*slotsPerWorker, s.trace)
	for i := range sz.workers {
		name := "w" + strconv.Itoa(i)
		s.workers = append(s.workers, &worker{name: name, dataCentre: i % dataCentres})
		s.workersByName[name] = s.workers[i]
	}
	s.addDispatchers()
	return s
}

func (s *simulation) dispatcherCount() int {
	switch s.policy.layout {
	case perDataCentre:
		return dataCentres
	case perGate:
		return s.deployment.gates
	default:
		return 1
	}
}

func (s *simulation) addDispatchers() {
	switch s.policy.layout {
	case perPool:
		s.addDispatcher(0, s.workers)
	case perDataCentre:
		for dc := range dataCentres {
			s.addDispatcher(dc, s.workersOf(dc))
		}
	case perGate:
		for gate := range s.deployment.gates {
			s.addDispatcher(gate%dataCentres, s.workersOf(gate%dataCentres))
		}
	}
}

func (s *simulation) workersOf(dataCentre int) []*worker {
	var out []*worker
	for _, w := range s.workers {
		if w.dataCentre == dataCentre {
			out = append(out, w)
		}
	}
	return out
}

func (s *simulation) addDispatcher(dataCentre int, workers []*worker) {
	d := &dispatcher{dataCentre: dataCentre, scheduler: share.New(), workers: workers}
	options := route.Options{MaxEjectedPercent: maxEjectedPercent}
	if s.policy.noEjection {
		options.MaxEjectedPercent = 0
	}
	d.balancer = route.New(options)
	var targets []route.Target
	for _, w := range workers {
		targets = append(targets, route.NewTarget(w.name, w.name, slotsPerWorker, connectionsPerWorker))
	}
	d.balancer.SetTargets(targets)
	if s.policy.layout != perGate {
		d.scheduler.SetSlots(len(workers) * slotsPerWorker)
	}
	length := poolQueueLength / s.dispatcherCount()
	d.scheduler.SetLongRunReserve(s.policy.longRunReserve)
	for _, t := range s.deployment.teams {
		d.scheduler.SetTeam(t.name, t.weight, length)
	}
	d.scheduler.SetTeam(fifoTeam, 1, length*len(s.deployment.teams))
	d.lastService = make([]float64, len(s.deployment.teams))
	s.dispatchers = append(s.dispatchers, d)
}

// run replays the whole trace and returns the measurements.
func (s *simulation) run() *meter {
	for i := range s.trace.demands {
		s.scheduleArrival(i)
	}
	s.events.push(0, heartbeat{})
	if s.policy.gossipInterval > 0 {
		s.events.push(s.policy.gossipInterval, gossip{})
	}
	for {
		next, ok := s.events.pop()
		if !ok || next.at > s.trace.end {
			return s.meter
		}
		s.now = next.at
		s.handleEvent(next.event)
	}
}

// scheduleArrival schedules the arrival of a request at its dispatcher, and its cancellation if its caller cancels.
func (s *simulation) scheduleArrival(i int) {
	d := &s.trace.demands[i]
	r := &request{demand: d, stream: &s.deployment.streams[d.streamIndex], id: strconv.Itoa(i)}
	s.requests = append(s.requests, r)
	gateDC := d.gate % dataCentres
	delay := time.Duration(0)
	switch s.policy.layout {
	case perPool:
		r.dispatcher = s.dispatchers[0]
	case perDataCentre:
		r.dispatcher = s.dispatchers[gateDC]
		if s.policy.dispatcherChoice == spreadBySlots {
			r.dispatcher = s.dispatchers[s.workers[i%len(s.workers)].dataCentre]
		}
	case perGate:
		r.dispatcher = s.dispatchers[d.gate]
	}
	if s.policy.layout != perGate {
		delay = s.roundTrip(gateDC, r.dispatcher.dataCentre)
	}
	s.events.push(d.arrivesAt+delay, arrival{r})
	if d.cancelAt > 0 {
		s.events.push(max(d.cancelAt, d.arrivesAt+delay), cancellation{r})
	}
}

func (s *simulation) roundTrip(a, b int) time.Duration {
	if a == b {
		return 2 * localDelay
	}
	return 2 * s.deployment.crossDataCentreDelay
}

func (s *simulation) handleEvent(e event) {
	switch e := e.(type) {
	case arrival:
		s.handleArrival(e.request)
	case cancellation:
		s.cancelRequest(e.request)
	case completion:
		s.completeAttempt(e.attempt)
	case hedgeDue:
		s.startHedge(e.attempt)
	case retryDue:
		s.retryJob(e.request)
	case heartbeat:
		s.handleHeartbeat()
	case gossip:
		s.handleGossip()
	}
}

func (s *simulation) wallClock() time.Time { return startTime.Add(s.now) }

func (s *simulation) handleArrival(r *request) {
	if s.policy.dispatcherChoice >= shortestQueue {
		r.dispatcher = s.chooseDispatcher(r)
	}
	r.dispatcher.budget.Deposit()
	s.meter.recordArrival(r)
	s.enqueue(r)
	s.startWaiting(r.dispatcher)
}

func (s *simulation) enqueue(r *request) {
	code := r.dispatcher.scheduler.Add(s.newItem(r), s.wallClock())
	if code != codes.OK {
		s.endRequest(r, code)
		return
	}
	s.meter.waiting[r.demand.teamIndex]++
}

func (s *simulation) newItem(r *request) share.Item {
	spec := share.ItemSpec{
		ID: r.id, Team: r.stream.team, Class: r.stream.class, Arrived: startTime.Add(r.demand.arrivesAt),
		Expected: r.stream.declaredRunTime, Payload: r,
	}
	if s.policy.fifo {
		spec.Team, spec.Class = fifoTeam, 0
	}
	if r.stream.deadline > 0 {
		spec.Deadline = spec.Arrived.Add(r.stream.deadline)
	}
	if r.demand.latestFinish > 0 {
		spec.LatestFinish = startTime.Add(r.demand.latestFinish)
	}
	return share.NewItem(spec)
}

// endRequest sets the request's final outcome. Later calls have no effect.
func (s *simulation) endRequest(r *request, code codes.Code) {
	if r.isEnded {
		return
	}
	r.isEnded = true
	r.code = code
	s.failures.Forget(r.id)
	s.meter.recordEnd(r, s.now)
}

func (s *simulation) cancelRequest(r *request) {
	if r.isEnded {
		return
	}
	if r.dispatcher.scheduler.Remove(r.id) {
		s.meter.waiting[r.demand.teamIndex]--
	}
	s.endRequest(r, codes.CallerLeft)
}

func (s *simulation) handleHeartbeat() {
	for _, d := range s.dispatchers {
		d.wasRefused = false
		for _, item := range d.scheduler.Expire(s.wallClock()) {
			r := item.Payload().(*request)
			s.meter.waiting[r.demand.teamIndex]--
			s.endRequest(r, codes.DeadlineUnmeetable)
		}
		s.startWaiting(d)
	}
	s.meter.sample(float64(s.usableSlots()))
	s.events.push(s.now+heartbeatPeriod, heartbeat{})
}

// usableSlots returns the slots of the workers that are not broken, or all slots if all workers are broken.
func (s *simulation) usableSlots() int {
	slots := 0
	for _, w := range s.workers {
		if !s.isBroken(w) {
			slots += slotsPerWorker
		}
	}
	if slots == 0 {
		return len(s.workers) * slotsPerWorker
	}
	return slots
}

// handleGossip exchanges state between the pool's dispatchers, as the policy says.
func (s *simulation) handleGossip() {
	if s.policy.exchangesService {
		s.exchangeService()
	}
	if s.policy.rebalances {
		s.rebalanceQueues()
	}
	s.events.push(s.now+s.policy.gossipInterval, gossip{})
}

// exchangeService reports to each dispatcher the service that the teams received from the other dispatchers since the last
// gossip.
func (s *simulation) exchangeService() {
	for i, t := range s.deployment.teams {
		for _, d := range s.dispatchers {
			served := d.scheduler.Service(t.name) - d.lastService[i]
			d.lastService[i] += served
			for _, other := range s.dispatchers {
				if other != d {
					other.scheduler.AddRemoteService(t.name, served)
				}
			}
		}
	}
}
