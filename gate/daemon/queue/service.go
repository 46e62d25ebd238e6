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

// Peers is what the service needs of the other gates.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
	Handle(method string, h peers.Handler)
}

// Workers is what the service needs of the upstreams' reports.
type Workers interface {
	Running(ctx context.Context, address string) (plat.RunningReport, error)
}

// Deps are the parts that the service works with.
type Deps struct {
	Process   *proc.Process // the process
	States    StateSource   // the folded state
	Lists     VMListSource  // the VM list
	Members   Membership    // the membership view
	Peers     Peers         // calls between gates
	Workers   Workers       // the upstreams' reports
	Rights    Rights        // the teams' upper limits
	ReportLag time.Duration // how late a worker's report may be
}

// Service dispatches the pools that are this gate's and asks the others' dispatchers.
type Service struct {
	process     *proc.Process
	states      StateSource
	lists       VMListSource
	members     Membership
	peers       Peers
	workers     Workers
	rights      Rights
	reportLag   time.Duration
	placements  placements
	refreshing  sync.Mutex
	mu          sync.Mutex
	dispatchers map[string]*dispatcher
	ctx         context.Context
	wake        chan struct{}
	running     sync.WaitGroup
}

// New returns the service.
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
	s.placements.rebuild(d.States.State(), d.Lists.List())
	s.peers.Handle(methodAsk, s.answerAsk)
	s.peers.Handle(methodCancel, s.answerCancel)
	s.peers.Handle(methodRelease, s.answerRelease)
	s.peers.Handle(methodDrained, s.answerDrained)
	s.peers.Handle(methodLoad, s.answerLoad)
	s.peers.Handle(methodLevel, s.answerLevel)
	return s
}

// Wake makes the service look at state, VM list and membership again.
func (s *Service) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Serve follows changes and ends grants whose holders are gone, until the context ends.
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
			s.running.Wait()
			return ctx.Err()
		case <-s.wake:
		case <-refresh.C():
		case <-reclaim.C():
			s.reclaimAll(ctx)
		}
	}
}

// refresh hands every dispatcher its VMs and its role.
func (s *Service) refresh() {
	s.refreshing.Lock()
	defer s.refreshing.Unlock()
	place := s.placements.rebuild(s.states.State(), s.lists.List())
	view := s.members.View()
	self := s.members.Self()
	for _, pool := range s.states.State().Config().Pools() {
		chosen, ok := view.Pick(self.DataCentre(), poolRole(pool))
		mine := ok && chosen.IsSelf()
		s.configure(pool, configureCommand{place.targets(pool, self.DataCentre()), mine})
	}
	s.tellHolders(view)
}

// configure tells a dispatcher its VMs and its role if either changed.
func (s *Service) configure(pool string, c configureCommand) {
	d := s.dispatcherOf(pool, c.active)
	if d == nil || d.configured != nil && d.configured.active == c.active && slices.Equal(d.configured.targets, c.targets) {
		return
	}
	d.configured = &c
	d.commands <- c
}

func poolRole(pool string) string { return "pool/" + pool }

// dispatcherOf returns the pool's dispatcher; it is started only when the pool is this gate's.
func (s *Service) dispatcherOf(pool string, start bool) *dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.dispatchers[pool]
	if ok || !start || s.ctx == nil {
		return d
	}
	d = newDispatcher(s, pool)
	s.dispatchers[pool] = d
	s.running.Go(func() { d.run(s.ctx) })
	return d
}

func (s *Service) all() []*dispatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*dispatcher, 0, len(s.dispatchers))
	for _, d := range s.dispatchers {
		out = append(out, d)
	}
	return out
}

// tellHolders lets the dispatchers know which incarnations answer. A silent one may be alive, but its grants end only by
// the workers' reports, which is safe whether it is or not.
func (s *Service) tellHolders(view *peers.View) {
	alive := map[string]bool{}
	for _, m := range view.Members() {
		if view.IsReachable(m) {
			alive[m.Incarnation()] = true
		}
	}
	for _, d := range s.all() {
		d.commands <- holderGoneCommand{alive}
	}
}

func (s *Service) shareOf(team string) int {
	t, _ := s.states.State().Config().Team(team)
	return t.Share()
}

// Load returns the load of a pool that this gate dispatches or dispatched, and whether there is one.
func (s *Service) Load(pool string) (PoolLoad, bool) {
	d := s.dispatcherOf(pool, false)
	if d == nil {
		return PoolLoad{}, false
	}
	reply := make(chan PoolLoad, 1)
	d.commands <- statusCommand{reply}
	return <-reply, true
}

// Outstanding returns the number of grants of this gate that were not released.
func (s *Service) Outstanding() int {
	n := 0
	for _, d := range s.all() {
		reply := make(chan PoolLoad, 1)
		d.commands <- statusCommand{reply}
		n += (<-reply).running
	}
	return n
}

func (s *Service) answerAsk(ctx context.Context, raw json.RawMessage) (any, error) {
	var ask askWire
	if err := json.Unmarshal(raw, &ask); err != nil {
		return nil, err
	}
	return s.ask(ctx, ask), nil
}

// ask waits in the pool's queue until the request is granted, refused or too late.
func (s *Service) ask(ctx context.Context, ask askWire) answerWire {
	chosen, ok := s.members.View().Pick(s.members.Self().DataCentre(), poolRole(ask.Pool))
	d := s.dispatcherOf(ask.Pool, ok && chosen.IsSelf())
	if d == nil {
		return refusal(codes.DispatcherLost, "another gate dispatches the pool")
	}
	reply := make(chan answerWire, 1)
	d.commands <- askCommand{ask, reply}
	late := time.NewTimer(time.Duration(ask.WaitMs)*time.Millisecond + askMargin)
	defer late.Stop()
	select {
	case answer := <-reply:
		return answer
	case <-ctx.Done():
	case <-late.C:
	}
	return s.withdrawAsk(d, ask, reply)
}

// withdrawAsk takes a request out of the queue; one that was granted meanwhile is given back.
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

// answerDrained tells a planner whether this gate has folded the VM's step and how many grants it has on the VM.
func (s *Service) answerDrained(_ context.Context, raw json.RawMessage) (any, error) {
	var w drainedWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	return s.drained(w), nil
}

func (s *Service) drained(w drainedWire) drainedAnswerWire {
	if s.states.State().VM(w.VM).Revision() != w.Revision {
		return drainedAnswerWire{}
	}
	s.refresh()
	answer := drainedAnswerWire{Seen: true}
	for _, d := range s.all() {
		reply := make(chan int, 1)
		d.commands <- outstandingCommand{w.VM, reply}
		answer.Outstanding += <-reply
	}
	return answer
}
