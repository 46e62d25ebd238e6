package limits

import (
	"context"
	"sync"
	"time"

	"mangowing/core/fold"
	"mangowing/core/proc"
	"mangowing/core/rights"
	"mangowing/gate/peers"
)

const checkPeriod = 100 * time.Millisecond

// StateSource returns the folded state and whether it is up to date.
type StateSource interface {
	State() *fold.State
	IsSynced() bool
}

// Peers calls the other gates and registers handlers for their calls; errors are as those of peers.Network.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
	Handle(method string, h peers.Handler)
}

// OrphanSource reports the work that still runs at the data centre's upstreams under rights of gates that are gone.
type OrphanSource interface {
	// Orphans counts, per team, the work whose right is held by none of the counted incarnations. It fails if an
	// upstream can't be read.
	Orphans(ctx context.Context, counted []string) ([]rights.TeamCount, error)
}

// Deps are the dependencies of a Service.
type Deps struct {
	Process    *proc.Process      // the process
	States     StateSource        // the folded state
	Peers      Peers              // calls between gates
	LocalGates func() []LocalGate // the declared gates of the data centre, this one included
	Orphans    OrphanSource       // the upstreams' reports
	DataCentre string             // the data centre
	SettleTime time.Duration      // how long after a gate's end the upstreams' reports may lack work that it granted
}

// Service holds this gate's rights; its methods may be called from any goroutine.
type Service struct {
	process      *proc.Process
	states       StateSource
	peers        Peers
	localGates   func() []LocalGate
	orphans      OrphanSource
	wake         chan struct{}
	requested    chan struct{}
	mu           sync.Mutex
	ledger       *rights.Ledger
	allotments   allotmentTracker
	appliedState *fold.State
	planner      *recountPlanner
	requests     requestBook
	unmet        map[string][]unmetRequest
	stopping     bool
}

// New returns the service, which has no rights before the first recount, and registers its handlers for calls from other
// gates. Serve runs it.
func New(d Deps) *Service {
	s := &Service{
		process:    d.Process,
		states:     d.States,
		peers:      d.Peers,
		localGates: d.LocalGates,
		orphans:    d.Orphans,
		wake:       make(chan struct{}, 1),
		requested:  make(chan struct{}, 1),
		ledger:     rights.New(d.Process.Incarnation()),
		allotments: allotmentTracker{dataCentre: d.DataCentre},
		planner:    newRecountPlanner(d.SettleTime, time.Now()),
		requests:   requestBook{},
		unmet:      map[string][]unmetRequest{},
	}
	s.registerHandlers()
	return s
}

// TryAcquire acquires one right of the team for one start. It returns false if this gate has none available.
func (s *Service) TryAcquire(team string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopping && s.ledger.Acquire(team)
}

// Release returns one right; call it once its work has certainly ended.
func (s *Service) Release(team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasOverdrawn := s.ledger.Available(team) < 0
	s.ledger.Release(team)
	if wasOverdrawn && s.ledger.Available(team) >= 0 {
		s.planner.recordLoss()
	}
	s.serveUnmet(team)
}

// Usage returns the team's rights at this gate that are in use and those that are available. The latter is negative after the limit was lowered, until enough work has ended.
func (s *Service) Usage(team string) (inUse, available int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.InUse(team), s.ledger.Available(team)
}

// IsWithinLimit reports whether all gates of the data centre together keep to the team's allotment in the state at the offset.
func (s *Service) IsWithinLimit(team string, offset uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ledger.IsWithinLimit(team, offset)
}

// Wake makes Serve re-read state and membership at once.
func (s *Service) Wake() { signal(s.wake) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Serve begins recounts and requests rights from other gates until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	var sender sync.WaitGroup
	sender.Go(func() { s.sendRequests(ctx) })
	defer sender.Wait()
	tick := s.process.Timers().Subscribe(checkPeriod)
	defer tick.Close()
	for {
		if s.shouldRecount() {
			s.recount(ctx)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
		case <-tick.C():
		}
	}
}

// shouldRecount applies the newest state and reports whether this gate should begin a recount now.
func (s *Service) shouldRecount() bool {
	gates := s.localGates()
	synced := s.states.IsSynced()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyState()
	return s.planner.isDue(time.Now(), s.newPlannerInput(gates)) && synced && !s.stopping
}

func (s *Service) newPlannerInput(gates []LocalGate) plannerInput {
	return plannerInput{gates, s.ledger.Members(), s.ledger.CanTransfer(), s.ledger.NeedsRecount()}
}

// applyState applies the newest state's limits to the ledger. The caller must hold mu.
func (s *Service) applyState() {
	state := s.states.State()
	if s.appliedState != nil && state.Offset() <= s.appliedState.Offset() {
		return
	}
	changed := s.allotments.update(state)
	s.appliedState = state
	s.ledger.ApplyLimitChanges(state.Offset(), changed)
}
