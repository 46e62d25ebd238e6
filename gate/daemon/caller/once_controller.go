package caller

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"mangowing/core/codes"
	"mangowing/gate/daemon/once"
	"mangowing/gate/daemon/relay"
)

// Once keeps work with a ticket or an idempotency key from running twice.
type Once interface {
	Mint() string
	Do(ctx context.Context, r once.Request, sink relay.Sink) once.Outcome
	Look(ctx context.Context, ticket string, sink relay.Sink) once.Outcome
}

type ticketWire struct {
	Ticket string `json:"ticket"`
}

// carryOut runs the request, once for all its repeats where a ticket or an idempotency key came with it.
func (s *Server) carryOut(r *http.Request, spec relay.RequestSpec, sink relay.Sink) relay.Result {
	if !keyed(r) {
		return s.runner.Run(r.Context(), relay.NewRequest(spec), sink)
	}
	request := once.NewRequest(once.RequestSpec{
		Ticket: r.Header.Get(headerTicket), Key: r.Header.Get(headerIdempotencyKey), Team: spec.Team,
		Queue: spec.Queue, Header: spec.Header, Body: spec.Body, Timeout: spec.Timeout,
	})
	outcome := s.once.Do(r.Context(), request, sink)
	return relay.NewResult(outcome.Code(), outcome.Detail(), outcome.Begun())
}

// RunOnce carries out a request that this gate alone may start. It is never repeated after bytes were sent, even if the
// team's work is idempotent.
func (s *Server) RunOnce(ctx context.Context, r once.Request, sink relay.Sink) once.Outcome {
	asked := r.Spec()
	cfg := s.states.State().Config()
	team, knownTeam := cfg.Team(asked.Team)
	queue, knownQueue := cfg.Queue(asked.Queue)
	if !knownTeam || !knownQueue {
		return once.NewOutcome(codes.QueueUnknown, "team or queue is no longer declared", false)
	}
	spec := specOf(rand.Text(), admitted{team, queue, asked.Timeout}, time.Now())
	spec.Idempotent = false
	spec.Header = asked.Header
	spec.Body = asked.Body
	result := s.runner.Run(ctx, relay.NewRequest(spec), sink)
	address, attempt := result.Attempt()
	return once.NewOutcome(result.Code(), result.Detail(), result.HasBegun()).At(address, attempt)
}

// mint returns a ticket to a caller with a key.
func (s *Server) mint(w http.ResponseWriter, r *http.Request) {
	if _, err := s.teamOfKey(r.Header.Get("Authorization")); err != nil {
		s.refuse(w, rand.Text(), "", err, false)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ticketWire{s.once.Mint()})
}

// outcome answers what became of a ticket's request; the ticket itself is the secret that allows to ask.
func (s *Server) outcome(w http.ResponseWriter, r *http.Request) {
	sink := &httpSink{w: w}
	found := s.once.Look(r.Context(), mux.Vars(r)["ticket"], sink)
	if !found.Begun() {
		writeRefusal(w, rand.Text(), found.Code(), found.Detail())
	}
}
