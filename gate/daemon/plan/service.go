package plan

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/event"
	"mangowing/core/fleet"
	"mangowing/core/fold"
	"mangowing/core/proc"
	"mangowing/core/record"
	"mangowing/core/sizing"
)

const (
	defaultTickPeriod = 500 * time.Millisecond
	sizingPeriod      = 5 * time.Second
)

// StateSource returns the state that the gate has folded.
type StateSource interface {
	State() *fold.State
}

// Recorder appends records to the log and returns their results once they are read back and folded.
type Recorder interface {
	Append(ctx context.Context, records []record.Record) ([]fold.Result, error)
}

// Platform makes the platform's calls on VMs. Each is idempotent by its request id; nil means that it has taken effect or
// will.
type Platform interface {
	Reboot(ctx context.Context, vm string, generation uint64, requestID string) error
	Reassign(ctx context.Context, vm string, generation uint64, requestID, pool string) error
	Fence(ctx context.Context, vm string, generation uint64, requestID string) error
}

// Fleet provides what the gates know about the VMs.
type Fleet interface {
	// VMRows returns the VM list. The slice is immutable; a changed list is a new slice.
	VMRows() []fleet.VMRow
	// DrainAcks returns whether every gate of the VM's data centre has applied the VM's revision and so stopped sending
	// requests to it, and how many requests still run there.
	DrainAcks(ctx context.Context, vm string, revision uint64) (all bool, running int, err error)
	// Health returns the VMs that show a sign of failure.
	Health() []fleet.Health
	// Demand returns the demand on each pool that is not idle; empty if unknown.
	Demand() []fleet.PoolDemand
}

// Deps are the dependencies of a Service.
type Deps struct {
	Process       *proc.Process
	State         StateSource
	Recorder      Recorder
	Platform      Platform
	Fleet         Fleet
	TickPeriod    time.Duration // 0 for 500 ms
	RebootTimeout time.Duration // 0 for fleet.DefaultRebootTimeout
}

// Service competes for the planner's lease, and plans and executes actions while it holds it.
type Service struct {
	deps        Deps
	lease       leaseKeeper
	calls       callTracker
	index       *fleet.Index
	indexedRows []fleet.VMRow
	forecast    sizing.Forecast
	sizedAt     time.Time
	isHolding   bool
}

// New returns the service; Serve runs it.
func New(deps Deps) *Service {
	if deps.TickPeriod == 0 {
		deps.TickPeriod = defaultTickPeriod
	}
	return &Service{
		deps:  deps,
		lease: newLeaseKeeper(deps.Process.Incarnation()),
		calls: newCallTracker(deps.Platform),
	}
}

// Serve runs the planner until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	ticks := s.deps.Process.Timers().Subscribe(s.deps.TickPeriod)
	defer ticks.Close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case answer := <-s.calls.answers:
			s.handleAnswer(answer)
		case <-ticks.C():
			s.tick(ctx)
		}
	}
}

func (s *Service) tick(ctx context.Context) {
	now := time.Now()
	s.lease.observe(now, s.deps.Process.Timers().Pauses(), s.deps.State.State())
	if s.lease.isDue(now) {
		s.requestLease(ctx)
	}
	s.setHolding(s.lease.isHeld(time.Now()))
	if s.isHolding {
		s.plan(ctx)
	}
}

func (s *Service) requestLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.lease.renewalPeriod())
	defer cancel()
	body := s.lease.newClaim(time.Now())
	if _, err := s.deps.Recorder.Append(ctx, []record.Record{s.newRecord(body)}); err != nil {
		klog.InfoS("planner-lease-not-appended", "error", err.Error())
	}
	s.lease.observe(time.Now(), s.deps.Process.Timers().Pauses(), s.deps.State.State())
}

func (s *Service) setHolding(holding bool) {
	if holding == s.isHolding {
		return
	}
	s.isHolding = holding
	kind := "planner-lease-lost"
	if holding {
		kind = "planner-lease-won"
	}
	s.deps.Process.Events().Add(kind, event.Fields{})
	klog.InfoS(kind, "token", s.lease.token)
}

func (s *Service) newRecord(body record.Body) record.Record {
	return record.New(s.deps.Process.Incarnation(), s.deps.Process.NowMs(), body)
}

// plan makes one plan and executes it; all of that is cancelled when the lease ends.
func (s *Service) plan(serveCtx context.Context) {
	ctx, cancel := context.WithDeadline(serveCtx, s.lease.heldUntil)
	defer cancel()
	in := s.planInput(ctx)
	actions := fleet.Plan(in)
	if !s.lease.isHeld(time.Now()) {
		return
	}
	s.execute(serveCtx, ctx, actions)
}

func (s *Service) planInput(ctx context.Context) fleet.PlanInput {
	in := fleet.PlanInput{
		Index:         s.currentIndex(),
		Token:         s.lease.token,
		NowMs:         s.deps.Process.NowMs(),
		Health:        s.deps.Fleet.Health(),
		AnsweredCalls: &s.calls.answered,
		RebootTimeout: s.deps.RebootTimeout,
	}
	in.DrainAcks = s.collectAcks(ctx, in.Index)
	in.Transfers = s.planTransfers(in)
	return in
}

func (s *Service) currentIndex() *fleet.Index {
	state, rows := s.deps.State.State(), s.deps.Fleet.VMRows()
	sameRows := len(rows) == len(s.indexedRows) && (len(rows) == 0 || &rows[0] == &s.indexedRows[0])
	if s.index == nil || !sameRows || s.index.State().FleetRevision() != state.FleetRevision() {
		s.index, s.indexedRows = fleet.NewIndex(state, rows), rows
	}
	return s.index
}

// planTransfers returns the transfers of VMs that the sizing policy decides on. It runs every sizingPeriod, so that the
// state includes the previous transfers.
func (s *Service) planTransfers(in fleet.PlanInput) []fleet.Transfer {
	now := time.Now()
	if now.Sub(s.sizedAt) < sizingPeriod {
		return nil
	}
	s.sizedAt = now
	demand := s.deps.Fleet.Demand()
	if len(demand) == 0 {
		return nil
	}
	settings := in.Index.State().Config().Fleet()
	loads := s.forecast.Update(now, fleet.PoolLoads(in), demand)
	return sizing.Decide(sizing.ForFleet(settings), loads, settings.SparePool())
}
