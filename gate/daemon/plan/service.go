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

// StateSource gives the state that the gate has folded last.
type StateSource interface {
	State() *fold.State
}

// Recorder appends records to the log and returns their verdicts once they are read back and folded.
type Recorder interface {
	Append(ctx context.Context, records []record.Record) ([]fold.Result, error)
}

// Platform takes the calls on VMs; each is idempotent by its request id, and nil means that it took effect or will.
type Platform interface {
	Reboot(ctx context.Context, vm string, generation uint64, requestID string) error
	Reassign(ctx context.Context, vm string, generation uint64, requestID, pool string) error
	Fence(ctx context.Context, vm string, generation uint64, requestID string) error
}

// Fleet tells what the gates see of the VMs.
type Fleet interface {
	// VMRows returns the VM list; the slice never changes, and a changed list is another slice.
	VMRows() []fleet.VMRow
	// DrainAcks returns whether every gate of the VM's data centre stopped sending to it under the revision, and how much still runs.
	DrainAcks(ctx context.Context, vm string, revision uint64) (all bool, running int, err error)
	// Health returns the VMs with a sign of failure.
	Health() []fleet.Health
	// Demand returns what each pool is asked for, without the idle ones; empty if unknown.
	Demand() []fleet.PoolDemand
}

// Deps is what the planner works with.
type Deps struct {
	Process       *proc.Process
	State         StateSource
	Recorder      Recorder
	Platform      Platform
	Fleet         Fleet
	TickPeriod    time.Duration // 0 for 500 ms
	RebootTimeout time.Duration // 0 for fleet.DefaultRebootTimeout
}

// Service holds the planner's lease if it can and carries out plans while it holds it.
type Service struct {
	deps     Deps
	lease    leaseKeeper
	calls    callBook
	index    *fleet.Index
	indexed  []fleet.VMRow
	forecast sizing.Forecast
	sizedAt  time.Time
	holding  bool
}

// New returns the service; Serve runs it.
func New(deps Deps) *Service {
	if deps.TickPeriod == 0 {
		deps.TickPeriod = defaultTickPeriod
	}
	return &Service{
		deps:  deps,
		lease: newLeaseKeeper(deps.Process.Incarnation()),
		calls: newCallBook(deps.Platform),
	}
}

// Serve plans until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	ticks := s.deps.Process.Timers().Subscribe(s.deps.TickPeriod)
	defer ticks.Close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case answer := <-s.calls.answers:
			s.noteAnswer(answer)
		case <-ticks.C():
			s.tick(ctx)
		}
	}
}

func (s *Service) tick(ctx context.Context) {
	now := time.Now()
	s.lease.observe(now, s.deps.Process.Timers().Pauses(), s.deps.State.State())
	if s.lease.due(now) {
		s.requestLease(ctx)
	}
	s.noteHolding(s.lease.holds(time.Now()))
	if s.holding {
		s.plan(ctx)
	}
}

func (s *Service) requestLease(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.lease.renewal())
	defer cancel()
	body := s.lease.claim(time.Now())
	if _, err := s.deps.Recorder.Append(ctx, []record.Record{s.newRecord(body)}); err != nil {
		klog.InfoS("planner-lease-not-appended", "error", err.Error())
	}
	s.lease.observe(time.Now(), s.deps.Process.Timers().Pauses(), s.deps.State.State())
}

func (s *Service) noteHolding(holding bool) {
	if holding == s.holding {
		return
	}
	s.holding = holding
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

// plan makes one plan and carries it out; everything in it ends with the lease.
func (s *Service) plan(serveCtx context.Context) {
	ctx, cancel := context.WithDeadline(serveCtx, s.lease.until)
	defer cancel()
	v := s.view(ctx)
	actions := fleet.Plan(v)
	if !s.lease.holds(time.Now()) {
		return
	}
	s.carryOut(serveCtx, ctx, actions)
}

func (s *Service) view(ctx context.Context) fleet.PlanInput {
	v := fleet.PlanInput{
		Index:         s.currentIndex(),
		Token:         s.lease.token,
		NowMs:         s.deps.Process.NowMs(),
		Health:        s.deps.Fleet.Health(),
		AnsweredCalls: &s.calls.answered,
		RebootTimeout: s.deps.RebootTimeout,
	}
	v.DrainAcks = s.collectAcks(ctx, v.Index)
	v.Transfers = s.transfers(v)
	return v
}

func (s *Service) currentIndex() *fleet.Index {
	state, rows := s.deps.State.State(), s.deps.Fleet.VMRows()
	sameRows := len(rows) == len(s.indexed) && (len(rows) == 0 || &rows[0] == &s.indexed[0])
	if s.index == nil || !sameRows || s.index.State().FleetRevision() != state.FleetRevision() {
		s.index, s.indexed = fleet.NewIndex(state, rows), rows
	}
	return s.index
}

// transfers asks the sizing policy, seldom enough that its last moves show in the state.
func (s *Service) transfers(v fleet.PlanInput) []fleet.Transfer {
	now := time.Now()
	if now.Sub(s.sizedAt) < sizingPeriod {
		return nil
	}
	s.sizedAt = now
	demand := s.deps.Fleet.Demand()
	if len(demand) == 0 {
		return nil
	}
	settings := v.Index.State().Config().Fleet()
	loads := s.forecast.Update(now, fleet.PoolLoads(v), demand)
	return sizing.Decide(sizing.ForFleet(settings), loads, settings.SparePool())
}
