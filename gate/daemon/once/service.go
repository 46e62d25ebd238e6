package once

import (
	"context"
	"sync"
	"time"

	"mangowing/core/codes"
	"mangowing/core/fold"
	"mangowing/core/proc"
	"mangowing/core/record"
	"mangowing/core/ticket"
	"mangowing/gate/daemon/relay"
	"mangowing/gate/peers"
)

const expiryPeriod = time.Second

// StateSource returns the folded state, and the milliseconds since the end of the log was last read.
type StateSource interface {
	State() *fold.State
	StalenessMs() int64
}

// RecordAppender appends records to the log and returns their results once they have been read back. After an error they
// may still take effect.
type RecordAppender interface {
	Append(ctx context.Context, records []record.Record) ([]fold.Result, error)
}

// Peers calls the other gates and registers handlers for their calls; errors are as those of peers.Network.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
	Handle(method string, h peers.Handler)
}

// RunFunc runs a request and writes the upstream's answer to the sink. It may return a code with the outcome not-run only
// if the request certainly did not run.
type RunFunc func(ctx context.Context, r Request, sink relay.Sink) Outcome

// ReportFunc returns what the VM's worker reports on an attempt: "ran", "running" or "not-seen".
type ReportFunc func(ctx context.Context, vm, attempt string) (string, error)

// Deps are the service's dependencies and settings.
type Deps struct {
	Process        *proc.Process  // the process
	StateSource    StateSource    // the folded state
	Log            RecordAppender // the log
	Peers          Peers          // calls between gates
	Gates          func() []Gate  // every declared gate, this one included
	Report         ReportFunc     // asks a worker about an attempt; if nil, unknown outcomes stay unknown
	Run            RunFunc        // runs a request on an upstream
	MaxAnswerBytes int            // how many bytes of answers are stored
	TicketLifetime time.Duration  // how long a ticket is valid; zero takes the default
}

// Service runs requests with tickets or keys at most once. Its methods are safe for concurrent use.
type Service struct {
	deps       Deps
	started    time.Time
	checkSlots chan struct{}
	mu         sync.Mutex
	registry   *ticket.Registry
	runEnds    map[string]chan struct{} // by request id; closed when its run ends
	successors map[string]string        // by incarnation that handed over: the address of the gate with authority now
}

// New returns the service and registers its handlers for calls of other gates.
func New(d Deps) *Service {
	s := &Service{
		deps:       d,
		started:    time.Now(),
		checkSlots: make(chan struct{}, maxConcurrentChecks),
		registry:   ticket.New(d.Process.Incarnation(), ticket.Options{Lifetime: d.TicketLifetime, MaxAnswerBytes: d.MaxAnswerBytes}),
		runEnds:    map[string]chan struct{}{},
		successors: map[string]string{},
	}
	s.registerHandlers()
	return s
}

// Mint returns a new ticket.
func (s *Service) Mint() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Mint(time.Now())
}

// RunningCount returns the number of requests with tickets or keys that this gate is running.
func (s *Service) RunningCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.RunningCount()
}

// Serve removes expired tickets and keys and marks the incarnations of gates that are gone, until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	tick := s.deps.Process.Timers().Subscribe(expiryPeriod)
	defer tick.Close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C():
			s.expire(now)
		}
	}
}

func (s *Service) expire(now time.Time) {
	gates := s.deps.Gates()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Expire(now)
	for _, incarnation := range s.registry.RemoteIncarnations() {
		if isGone(gates, incarnation) {
			s.registry.MarkIncarnationGone(incarnation, ticket.NewAnswer(ticket.AnswerSpec{Code: codes.HolderGone}))
			s.notifyAllRunEnds()
		}
	}
}

// Do runs the request, or waits for the run that another call started, and writes the answer to the sink.
func (s *Service) Do(ctx context.Context, r Request, sink relay.Sink) Outcome {
	ctx, cancel := context.WithTimeout(ctx, r.timeout())
	defer cancel()
	for {
		decision, ended := s.decide(r)
		if _, inProgress := decision.(ticket.InProgress); !inProgress {
			outcome, done := s.carryOut(ctx, r, decision, sink)
			if done {
				return outcome
			}
			continue
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return Outcome{code: codes.StillRunning}
		}
	}
}

// decide returns the registry's decision and, if the request is already running, a channel that is closed when the run
// ends.
func (s *Service) decide(r Request) (ticket.Decision, <-chan struct{}) {
	first := s.firstClaim(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	var d ticket.Decision
	if r.wire.Ticket != "" {
		d = s.registry.Begin(r.wire.Ticket, r.digest(), time.Now())
	} else {
		d = s.registry.BeginKey(r.id(), r.digest(), first, time.Now())
	}
	if _, inProgress := d.(ticket.InProgress); !inProgress {
		return d, nil
	}
	return d, s.runEnd(r.id())
}

// runEnd returns the channel that is closed when the run ends. The caller must hold mu.
func (s *Service) runEnd(id string) chan struct{} {
	c, ok := s.runEnds[id]
	if !ok {
		c = make(chan struct{})
		s.runEnds[id] = c
	}
	return c
}

// notifyRunEnd makes all calls that wait for the run decide again. The caller must hold mu.
func (s *Service) notifyRunEnd(id string) {
	if c, ok := s.runEnds[id]; ok {
		close(c)
		delete(s.runEnds, id)
	}
}

func (s *Service) notifyAllRunEnds() {
	for id := range s.runEnds {
		s.notifyRunEnd(id)
	}
}

// carryOut executes a decision; done is false if the registry must be asked again.
func (s *Service) carryOut(ctx context.Context, r Request, d ticket.Decision, sink relay.Sink) (outcome Outcome, done bool) {
	switch d := d.(type) {
	case ticket.Start:
		return s.run(ctx, r, sink), true
	case ticket.NeedsClaim:
		return s.acquireClaim(ctx, r, sink)
	case ticket.HeldElsewhere:
		return s.forward(ctx, r, d.Holder(), sink), true
	case ticket.RepeatAnswer:
		return replay(s.resolveUnknown(ctx, r.id(), d.Answer()), sink), true
	case ticket.AnswerGone:
		return Outcome{code: codes.AnswerGone}, true
	case ticket.Mismatch:
		return Outcome{code: codes.RequestMismatch}, true
	case ticket.OutcomeUnknown:
		return Outcome{code: codes.HolderGone, detail: "the claim's run is no longer known"}, true
	default:
		return Outcome{code: codes.TicketUnknown}, true
	}
}

// run runs the request and stores its outcome. A request that certainly did not run may be started again.
func (s *Service) run(ctx context.Context, r Request, sink relay.Sink) Outcome {
	recorder := &answerRecorder{sink: sink, limit: s.deps.MaxAnswerBytes}
	outcome := s.deps.Run(ctx, r, recorder)
	if outcome.code.Entry().Outcome() == codes.NotRun {
		s.release(r.id())
	} else {
		s.finish(r.id(), recorder.answer(outcome))
	}
	return outcome
}

func (s *Service) finish(id string, answer ticket.Answer) {
	s.mu.Lock()
	successor := s.registry.Finish(id, answer)
	s.notifyRunEnd(id)
	s.mu.Unlock()
	s.reportOutcome(successor, outcomeWire{ID: id, From: s.deps.Process.Incarnation(), Answer: &answer})
}

func (s *Service) release(id string) {
	s.mu.Lock()
	successor := s.registry.Release(id)
	s.notifyRunEnd(id)
	s.mu.Unlock()
	s.reportOutcome(successor, outcomeWire{ID: id, From: s.deps.Process.Incarnation()})
}
