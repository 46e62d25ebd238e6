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

const tidyPeriod = time.Second

// States is where the service reads the folded state.
type StateSource interface {
	State() *fold.State
	StalenessMs() int64
}

// Recorder writes records and returns their verdicts once they were read back; an error means that they may still come
// into force.
type RecordAppender interface {
	Append(ctx context.Context, records []record.Record) ([]fold.Result, error)
}

// Peers is what the service needs of the other gates; errors are as those of peers.Network.
type Peers interface {
	Call(ctx context.Context, address, method string, params, result any) error
	Handle(method string, h peers.Handler)
}

// Run carries one request out and gives the upstream's answer to the sink; a code whose outcome is not-run must be certain.
type RunFunc func(ctx context.Context, r Request, sink relay.Sink) Outcome

// Report tells what the VM's worker says of an attempt: "ran", "running" or "not-seen".
type ReportFunc func(ctx context.Context, vm, attempt string) (string, error)

// Deps are the parts that the service works with.
type Deps struct {
	Process        *proc.Process  // the process
	StateSource    StateSource    // the folded state
	Log            RecordAppender // the log
	Peers          Peers          // calls between gates
	Gates          func() []Gate  // every declared gate, this one included
	Report         ReportFunc     // the workers' own reports; nil leaves unknown outcomes unknown
	Run            RunFunc        // the way to the upstreams
	MaxAnswerBytes int            // how many bytes of answers are kept
	TicketLifetime time.Duration  // how long a ticket may come; zero takes the default
}

// Service decides about tickets and keys; its methods may be called from any goroutine.
type Service struct {
	deps     Deps
	started  time.Time
	checks   chan struct{}
	mu       sync.Mutex
	registry *ticket.Registry
	waiting  map[string]chan struct{} // closed when the request's run ends
	heirs    map[string]string        // incarnations that handed over, and the address of the gate that decides now
}

// New returns the service.
func New(d Deps) *Service {
	s := &Service{
		deps:     d,
		started:  time.Now(),
		checks:   make(chan struct{}, mostChecks),
		registry: ticket.New(d.Process.Incarnation(), ticket.Options{Lifetime: d.TicketLifetime, MaxAnswerBytes: d.MaxAnswerBytes}),
		waiting:  map[string]chan struct{}{},
		heirs:    map[string]string{},
	}
	s.registerHandlers()
	return s
}

// Mint returns a fresh ticket.
func (s *Service) Mint() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.Mint(time.Now())
}

// Running returns the number of requests with tickets or keys that this gate is running.
func (s *Service) RunningCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.registry.RunningCount()
}

// Serve forgets what is too old and notes gates that are gone, until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	tick := s.deps.Process.Timers().Subscribe(tidyPeriod)
	defer tick.Close()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C():
			s.tidy(now)
		}
	}
}

func (s *Service) tidy(now time.Time) {
	gates := s.deps.Gates()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registry.Expire(now)
	for _, incarnation := range s.registry.RemoteIncarnations() {
		if gone(gates, incarnation) {
			s.registry.MarkIncarnationGone(incarnation, ticket.NewAnswer(ticket.AnswerSpec{Code: codes.HolderGone}))
			s.wakeAll()
		}
	}
}

// Do runs the request, or waits for the run that another call began, and gives the answer to the sink.
func (s *Service) Do(ctx context.Context, r Request, sink relay.Sink) Outcome {
	ctx, cancel := context.WithTimeout(ctx, r.timeout())
	defer cancel()
	for {
		decision, ended := s.decide(r)
		if _, busy := decision.(ticket.InProgress); !busy {
			outcome, settled := s.act(ctx, r, decision, sink)
			if settled {
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

// decide asks the registry, and returns what to wait for where the request is being run.
func (s *Service) decide(r Request) (ticket.Decision, <-chan struct{}) {
	first := s.firstClaim(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	var d ticket.Decision
	if r.w.Ticket != "" {
		d = s.registry.Begin(r.w.Ticket, r.digest(), time.Now())
	} else {
		d = s.registry.BeginKey(r.id(), r.digest(), first, time.Now())
	}
	if _, busy := d.(ticket.InProgress); !busy {
		return d, nil
	}
	return d, s.awaited(r.id())
}

// awaited returns the channel that is closed when the run ends; the caller holds the lock.
func (s *Service) awaited(id string) chan struct{} {
	c, ok := s.waiting[id]
	if !ok {
		c = make(chan struct{})
		s.waiting[id] = c
	}
	return c
}

// wake lets all that wait for the run decide anew; the caller holds the lock.
func (s *Service) wake(id string) {
	if c, ok := s.waiting[id]; ok {
		close(c)
		delete(s.waiting, id)
	}
}

func (s *Service) wakeAll() {
	for id := range s.waiting {
		s.wake(id)
	}
}

// act carries a decision out; settled is false where the registry must be asked again.
func (s *Service) act(ctx context.Context, r Request, d ticket.Decision, sink relay.Sink) (outcome Outcome, settled bool) {
	switch d := d.(type) {
	case ticket.Start:
		return s.run(ctx, r, sink), true
	case ticket.NeedsClaim:
		return s.claim(ctx, r, sink)
	case ticket.HeldElsewhere:
		return s.forward(ctx, r, d.Holder(), sink), true
	case ticket.RepeatAnswer:
		return replay(s.settle(ctx, r.id(), d.Answer()), sink), true
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

// run starts the request and stores what became of it; work that surely did not run may be started again.
func (s *Service) run(ctx context.Context, r Request, sink relay.Sink) Outcome {
	recorded := &answerRecorder{to: sink, limit: s.deps.MaxAnswerBytes}
	outcome := s.deps.Run(ctx, r, recorded)
	if outcome.code.Entry().Outcome() == codes.NotRun {
		s.release(r.id())
	} else {
		s.finish(r.id(), recorded.answer(outcome))
	}
	return outcome
}

func (s *Service) finish(id string, answer ticket.Answer) {
	s.mu.Lock()
	heir := s.registry.Finish(id, answer)
	s.wake(id)
	s.mu.Unlock()
	s.passOn(heir, passWire{ID: id, From: s.deps.Process.Incarnation(), Answer: &answer})
}

func (s *Service) release(id string) {
	s.mu.Lock()
	heir := s.registry.Release(id)
	s.wake(id)
	s.mu.Unlock()
	s.passOn(heir, passWire{ID: id, From: s.deps.Process.Incarnation()})
}
