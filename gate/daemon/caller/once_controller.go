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

// Once runs requests with a ticket or an idempotency key at most once.
type Once interface {
	Mint() string
	Do(ctx context.Context, r once.Request, sink relay.Sink) once.Outcome
	Lookup(ctx context.Context, ticket string, sink relay.Sink) once.Outcome
}

type ticketWire struct {
	Ticket string `json:"ticket"`
}

// runRequest runs the request; with a ticket or an idempotency key it runs once for all repeats.
func (s *Server) runRequest(r *http.Request, spec relay.RequestSpec, sink relay.Sink) relay.Result {
	if !isRepeatable(r) {
		return s.runner.Run(r.Context(), relay.NewRequest(spec), sink)
	}
	request := once.NewRequest(once.RequestSpec{
		Ticket: r.Header.Get(headerTicket), Key: r.Header.Get(headerIdempotencyKey), Team: spec.Team,
		Queue: spec.Queue, Header: spec.Header, Body: spec.Body, Timeout: spec.Timeout,
	})
	outcome := s.once.Do(r.Context(), request, sink)
	return relay.NewResult(outcome.Code(), outcome.Detail(), outcome.HasBegun())
}

// RunOnce runs a request that only this gate may start. It is never retried after bytes were sent, even if the team's work
// is declared idempotent.
func (s *Server) RunOnce(ctx context.Context, r once.Request, sink relay.Sink) once.Outcome {
	original := r.Spec()
	cfg := s.states.State().Config()
	team, knownTeam := cfg.Team(original.Team)
	queue, knownQueue := cfg.Queue(original.Queue)
	if !knownTeam || !knownQueue {
		return once.NewOutcome(codes.QueueUnknown, "team or queue is no longer declared", false)
	}
	spec := declaredSpec(rand.Text(), admission{team, queue, original.Timeout}, time.Now())
	spec.Idempotent = false
	spec.Header = original.Header
	spec.Body = original.Body
	result := s.runner.Run(ctx, relay.NewRequest(spec), sink)
	address, attempt := result.Attempt()
	return once.NewOutcome(result.Code(), result.Detail(), result.HasBegun()).WithAttempt(address, attempt)
}

// issueTicket answers a caller that has a key with a new ticket.
func (s *Server) issueTicket(w http.ResponseWriter, r *http.Request) {
	if _, err := s.teamOfKey(r.Header.Get("Authorization")); err != nil {
		s.refuse(w, rand.Text(), "", err, false)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(ticketWire{s.once.Mint()})
}

// ticketOutcome answers with the outcome of a ticket's request. The ticket itself is the secret that authorises the call.
func (s *Server) ticketOutcome(w http.ResponseWriter, r *http.Request) {
	sink := &httpSink{w: w}
	found := s.once.Lookup(r.Context(), mux.Vars(r)["ticket"], sink)
	if !found.HasBegun() {
		writeRefusal(w, rand.Text(), found.Code(), found.Detail())
	}
}
