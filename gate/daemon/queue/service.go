package queue

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"mangowing/core/codes"
	"mangowing/core/fold"
	"mangowing/core/proc"
	"mangowing/gate/daemon/vmlist"
	"mangowing/gate/peers"
	"mangowing/gate/plat"
)

const (
	methodAsk     = "queue/ask"
	methodCancel  = "queue/cancel"
	methodRelease = "queue/release"
	methodDrained = "queue/drained"

	askMargin     = 500 * time.Millisecond
	refreshPeriod = 500 * time.Millisecond
	reclaimPeriod = 500 * time.Millisecond
	workerTimeout = 2 * time.Second
)

// StateSource returns the folded state.
type StateSource interface {
	State() *fold.State
}

// VMListSource returns the VM list.
type VMListSource interface {
	List() *vmlist.List
}

// Membership returns the membership view and this gate's own entry.
type Membership interface {
	View() *peers.View
	Self() peers.Member
}

// Peers calls the other gates and registers handlers for their calls.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
	Handle(method string, h peers.Handler)
}

// Workers reads the reports of the upstreams' workers.
type Workers interface {
	Running(ctx context.Context, address string) (plat.RunningReport, error)
}

// Deps are the dependencies of a Service.
type Deps struct {
	Process   *proc.Process // the process
	States    StateSource   // the folded state
	Lists     VMListSource  // the VM list
	Members   Membership    // the membership view
	Peers     Peers         // calls between gates
	Workers   Workers       // the upstreams' reports
	Rights    Rights        // the teams' limits
	ReportLag time.Duration // the maximum age of a worker's report
}

// Service runs the dispatchers of the pools that this gate dispatches and acquires grants from those of other gates. Its
// methods may be called from any goroutine.
type Service struct {
	process        *proc.Process
	states         StateSource
	lists          VMListSource
	members        Membership
	peers          Peers
	workers        Workers
	rights         Rights
	reportLag      time.Duration
	indexes        indexCache
	refreshMu      sync.Mutex
	mu             sync.Mutex
	dispatchers    map[string]*dispatcher
	ctx            context.Context
	wake           chan struct{}
	dispatcherRuns sync.WaitGroup
}

// New returns the service and registers its handlers for calls from other gates. Serve runs it.
func New(d Deps) *Service {
	s := &Service{
		process:     d.Process,
		states:      d.States,
		lists:       d.Lists,
		members:     d.Members,
		peers:       d.Peers,
		workers:     d.Workers,
		rights:      d.Rights,
		reportLag:   d.ReportLag,
		dispatchers: map[string]*dispatcher{},
		wake:        make(chan struct{}, 1),
	}
	s.indexes.rebuild(d.States.State(), d.Lists.List())
	s.peers.Handle(methodAsk, s.answerAsk)
	s.peers.Handle(methodCancel, s.answerCancel)
	s.peers.Handle(methodRelease, s.answerRelease)
	s.peers.Handle(methodDrained, s.answerDrained)
	s.peers.Handle(methodLoad, s.answerLoad)
	s.peers.Handle(methodWaitingCounts, s.answerWaitingCounts)
	return s
}

// Wake makes Serve re-read the state, the VM list and the membership at once.
func (s *Service) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Serve applies changes of state, VM list and membership and reclaims the grants of gates that are gone, until the
// context ends.
func (s *Service) Serve(ctx context.Context) error {
	s.mu.Lock()
	s.ctx = ctx
	s.mu.Unlock()
	refresh := s.process.Timers().Subscribe(refreshPeriod)
	defer refresh.Close()
	reclaim := s.process.Timers().Subscribe(reclaimPeriod)
	defer reclaim.Close()
	for {
		s.refresh()
		select {
		case <-ctx.Done():
			s.dispatcherRuns.Wait()
			return ctx.Err()
		case <-s.wake:
		case <-refresh.C():
		case <-reclaim.C():
			s.reclaimGrants(ctx)
		}
	}
}

// refresh sends every dispatcher its VMs, whether it is active, and the reachable holders.
func (s *Service) refresh() {
	s.refreshMu.Lock()
	defer s.refreshMu.Unlock()
	index := s.indexes.rebuild(s.states.State(), s.lists.List())
	view := s.members.View()
	self := s.members.Self()
	for _, pool := range s.states.State().Config().Pools() {
		chosen, ok := view.Pick(self.DataCentre(), poolRole(pool))
		isOwn := ok && chosen.IsSelf()
		s.configure(pool, configureCommand{index.targets(pool, self.DataCentre()), isOwn})
	}
	s.sendReachableHolders(view)
}

// configure sends a dispatcher its VMs and whether it is active, if either has changed.
func (s *Service) configure(pool string, c configureCommand) {
	d := s.dispatcherOf(pool, c.active)
	if d == nil || d.lastConfigured != nil && d.lastConfigured.active == c.active && slices.Equal(d.lastConfigured.targets, c.targets) {
		return
	}
	d.lastConfigured = &c
	d.commands <- c
}

func poolRole(pool string) string { return "pool/" + pool }

// dispatcherOf returns the pool's dispatcher, nil for none. With start it starts a missing one if Serve runs.
func (s *Service) dispatcherOf(pool string, start bool) *dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.dispatchers[pool]
	if ok || !start || s.ctx == nil {
		return d
	}
	d = newDispatcher(s, pool)
	s.dispatchers[pool] = d
	s.dispatcherRuns.Go(func() { d.run(s.ctx) })
	return d
}

func (s *Service) allDispatchers() []*dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*dispatcher, 0, len(s.dispatchers))
	for _, d := range s.dispatchers {
		out = append(out, d)
	}
	return out
}

// sendReachableHolders sends the dispatchers the incarnations that are reachable. An unreachable one may still be alive;
// its grants end only by the workers' reports, which is safe in either case.
func (s *Service) sendReachableHolders(view *peers.View) {
	reachable := map[string]bool{}
	for _, m := range view.Members() {
		if view.IsReachable(m) {
			reachable[m.Incarnation()] = true
		}
	}
	for _, d := range s.allDispatchers() {
		d.commands <- holdersCommand{reachable}
	}
}

func (s *Service) shareOf(team string) int {
	t, _ := s.states.State().Config().Team(team)
	return t.Share()
}

// Load returns the load of a pool that this gate dispatches or has dispatched. It reports false if it never did.
func (s *Service) Load(pool string) (PoolLoad, bool) {
	d := s.dispatcherOf(pool, false)
	if d == nil {
		return PoolLoad{}, false
	}
	reply := make(chan PoolLoad, 1)
	d.commands <- loadCommand{reply}
	return <-reply, true
}

// Outstanding returns the number of grants made by this gate's dispatchers that were not released yet.
func (s *Service) Outstanding() int {
	n := 0
	for _, d := range s.allDispatchers() {
		reply := make(chan PoolLoad, 1)
		d.commands <- loadCommand{reply}
		n += (<-reply).running
	}
	return n
}

func (s *Service) answerAsk(ctx context.Context, raw json.RawMessage) (any, error) {
	var ask askWire
	if err := json.Unmarshal(raw, &ask); err != nil {
		return nil, err
	}
	return s.enqueueAndWait(ctx, ask), nil
}

// enqueueAndWait adds the request to the pool's queue and waits until it is granted, refused or timed out.
func (s *Service) enqueueAndWait(ctx context.Context, ask askWire) answerWire {
	chosen, ok := s.members.View().Pick(s.members.Self().DataCentre(), poolRole(ask.Pool))
	d := s.dispatcherOf(ask.Pool, ok && chosen.IsSelf())
	if d == nil {
		return refusal(codes.DispatcherLost, "another gate dispatches the pool")
	}
	reply := make(chan answerWire, 1)
	d.commands <- askCommand{ask, reply}
	timeout := time.NewTimer(time.Duration(ask.WaitMs)*time.Millisecond + askMargin)
	defer timeout.Stop()
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
	case <-timeout.C:
	}
	return s.withdrawAsk(d, ask, reply)
}

// withdrawAsk removes a request from the queue, or releases its grant if it was granted meanwhile.
func (s *Service) withdrawAsk(d *dispatcher, ask askWire, reply chan answerWire) answerWire {
	known := make(chan bool, 1)
	d.commands <- releaseCommand{releaseWire{ask.Pool, ask.Request, ResultNotStarted, 0}, known}
	<-known
	select {
	case answer := <-reply:
		if !answer.Granted {
			return answer
		}
	default:
	}
	return refusal(codes.DeadlineUnmeetable, "no slot in time")
}

func (s *Service) answerCancel(_ context.Context, raw json.RawMessage) (any, error) {
	var w cancelWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	if d := s.dispatcherOf(w.Pool, false); d != nil {
		d.commands <- cancelCommand{w.Request}
	}
	return struct{}{}, nil
}

func (s *Service) answerRelease(_ context.Context, raw json.RawMessage) (any, error) {
	var w releaseWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.release(w)
	return struct{}{}, nil
}

func (s *Service) release(w releaseWire) {
	d := s.dispatcherOf(w.Pool, false)
	if d == nil {
		return
	}
	known := make(chan bool, 1)
	d.commands <- releaseCommand{w, known}
	<-known
}

// answerDrained answers a planner's DrainAcks.
func (s *Service) answerDrained(_ context.Context, raw json.RawMessage) (any, error) {
	var w drainQueryWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	return s.answerDrainQuery(w), nil
}

func (s *Service) answerDrainQuery(w drainQueryWire) drainAnswerWire {
	if s.states.State().VM(w.VM).Revision() != w.Revision {
		return drainAnswerWire{}
	}
	s.refresh()
	answer := drainAnswerWire{Seen: true}
	for _, d := range s.allDispatchers() {
		reply := make(chan int, 1)
		d.commands <- countGrantsCommand{w.VM, reply}
		answer.Outstanding += <-reply
	}
	return answer
}
