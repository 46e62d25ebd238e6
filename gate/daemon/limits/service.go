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

// StateSource returns the folded state.
type StateSource interface {
	State() *fold.State
	Synced() bool
}

// Peers is what the service needs of the other gates; errors are as those of peers.Network.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
	Handle(method string, h peers.Handler)
}

// OrphanSource reports the work that still runs at the data centre's upstreams under rights of gates that are gone.
type OrphanSource interface {
	// Orphans counts, per team, the work whose right was spent by none of the counted incarnations; an upstream
	// that can't be asked is an error.
	Orphans(ctx context.Context, counted []string) ([]rights.TeamCount, error)
}

// Deps are the parts that the service works with.
type Deps struct {
	Process    *proc.Process      // the process
	States     StateSource        // the folded state
	Peers      Peers              // calls between gates
	LocalGates func() []LocalGate // the declared gates of the data centre, this one included
	Orphans    OrphanSource       // the upstreams' reports
	DataCentre string             // the data centre
	SettleTime time.Duration      // how long after a gate's end the upstreams may not yet report work that it granted
}

// Service holds this gate's rights; its methods may be called from any goroutine.
type Service struct {
	process    *proc.Process
	states     StateSource
	peers      Peers
	neighbours func() []LocalGate
	orphans    OrphanSource
	wake       chan struct{}
	wanted     chan struct{}
	mu         sync.Mutex
	ledger     *rights.Ledger
	allotments allotments
	followed   *fold.State
	planner    *recountPlanner
	wants      wants
	unmet      map[string][]unmetWant
	stopping   bool
}

// New returns the service; it holds no rights before the first recount.
func New(d Deps) *Service {
	s := &Service{
		process:    d.Process,
		states:     d.States,
		peers:      d.Peers,
		neighbours: d.LocalGates,
		orphans:    d.Orphans,
		wake:       make(chan struct{}, 1),
		wanted:     make(chan struct{}, 1),
		ledger:     rights.New(d.Process.Incarnation()),
		allotments: allotments{dataCentre: d.DataCentre},
		planner:    newRecountPlanner(d.SettleTime, time.Now()),
		wants:      wants{},
		unmet:      map[string][]unmetWant{},
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
	owed := s.ledger.Available(team) < 0
	s.ledger.Release(team)
	if owed && s.ledger.Available(team) >= 0 {
		s.planner.miss()
	}
	s.serveUnmet(team)
}

// Usage returns the team's rights at this gate that are in use and those that are available. The latter is negative after the limit was lowered, until enough work has ended.
func (s *Service) Usage(team string) (spent, spare int) {
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

// Wake makes the service look at state and membership again.
func (s *Service) Wake() { signal(s.wake) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Serve recounts and trades until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	var trade sync.WaitGroup
	trade.Go(func() { s.trade(ctx) })
	defer trade.Wait()
	tick := s.process.Timers().Subscribe(checkPeriod)
	defer tick.Close()
	for {
		if s.check() {
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

// check follows the state and tells whether this gate should recount now.
func (s *Service) check() bool {
	neighbours := s.neighbours()
	synced := s.states.Synced()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow()
	return s.planner.due(time.Now(), s.facts(neighbours)) && synced && !s.stopping
}

func (s *Service) facts(neighbours []LocalGate) facts {
	return facts{neighbours, s.ledger.Members(), s.ledger.CanTransfer(), s.ledger.NeedsRecount()}
}

// follow hands the ledger the newest state; the caller holds the lock.
func (s *Service) follow() {
	state := s.states.State()
	if s.followed != nil && state.Offset() <= s.followed.Offset() {
		return
	}
	changed := s.allotments.follow(state)
	s.followed = state
	s.ledger.ApplyLimitChanges(state.Offset(), changed)
}
