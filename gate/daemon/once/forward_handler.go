package once

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"mangowing/core/codes"
	"mangowing/core/ticket"
	"mangowing/gate/daemon/relay"
	"mangowing/gate/peers"
)

const (
	methodForward      = "once/forward"
	methodLookup       = "once/look"
	methodHasAuthority = "once/decides"

	maxHops          = 4
	forwardMargin    = 2 * time.Second
	authorityTimeout = 500 * time.Millisecond
)

type forwardWire struct {
	Request Request `json:"request"`
}

type answerWire struct {
	Answer ticket.Answer `json:"answer"`
}

type lookupWire struct {
	Ticket string `json:"ticket"`
	Hops   int    `json:"hops"`
}

type authorityWire struct {
	Incarnation string `json:"incarnation"`
}

type authorityAnswerWire struct {
	HasAuthority bool `json:"decides"`
}

func (s *Service) registerHandlers() {
	s.deps.Peers.Handle(methodForward, s.handleForward)
	s.deps.Peers.Handle(methodLookup, s.handleLookup)
	s.deps.Peers.Handle(methodHasAuthority, s.handleHasAuthority)
	s.deps.Peers.Handle(methodCheckKey, s.handleCheckKey)
	s.deps.Peers.Handle(methodHandOver, s.handleHandOver)
	s.deps.Peers.Handle(methodReportOutcome, s.handleOutcome)
}

// forward sends the request to the gate with authority over it. Without an answer from that gate the outcome is unknown.
func (s *Service) forward(ctx context.Context, r Request, holder string, sink relay.Sink) Outcome {
	r.wire.Hops++
	address, found := s.authorityAddress(ctx, holder)
	if !found || r.wire.Hops > maxHops {
		return Outcome{code: codes.HolderGone, detail: "the gate that decides can't be reached"}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.timeout()+forwardMargin)
	defer cancel()
	var answer answerWire
	err := s.deps.Peers.Call(ctx, address, methodForward, forwardWire{r}, &answer)
	if err != nil {
		s.forgetSuccessor(holder)
		return Outcome{code: codes.HolderGone, detail: "no answer from the gate that decides"}
	}
	return replay(answer.Answer, sink)
}

func (s *Service) handleForward(ctx context.Context, raw json.RawMessage) (any, error) {
	var w forwardWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	recorder := &answerRecorder{limit: s.deps.MaxAnswerBytes}
	outcome := s.Do(ctx, w.Request, recorder)
	return answerWire{recorder.answer(outcome)}, nil
}

// Lookup writes the stored answer of a ticket's request to the sink. It never starts the request.
func (s *Service) Lookup(ctx context.Context, t string, sink relay.Sink) Outcome {
	return s.lookup(ctx, lookupWire{Ticket: t}, sink)
}

func (s *Service) lookup(ctx context.Context, w lookupWire, sink relay.Sink) Outcome {
	s.mu.Lock()
	d := s.registry.Lookup(w.Ticket)
	s.mu.Unlock()
	switch d := d.(type) {
	case ticket.RepeatAnswer:
		return replay(s.resolveUnknown(ctx, w.Ticket, d.Answer()), sink)
	case ticket.AnswerGone:
		return Outcome{code: codes.AnswerGone}
	case ticket.InProgress:
		return Outcome{code: codes.StillRunning}
	case ticket.HeldElsewhere:
		return s.lookupAt(ctx, w, d.Holder(), sink)
	default:
		return Outcome{code: codes.TicketUnknown}
	}
}

func (s *Service) lookupAt(ctx context.Context, w lookupWire, holder string, sink relay.Sink) Outcome {
	w.Hops++
	address, found := s.authorityAddress(ctx, holder)
	if !found || w.Hops > maxHops {
		return Outcome{code: codes.HolderGone, detail: "the gate that decides can't be reached"}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardMargin)
	defer cancel()
	var answer answerWire
	if err := s.deps.Peers.Call(ctx, address, methodLookup, w, &answer); err != nil {
		s.forgetSuccessor(holder)
		return Outcome{code: codes.HolderGone, detail: "no answer from the gate that decides"}
	}
	return replay(answer.Answer, sink)
}

func (s *Service) handleLookup(ctx context.Context, raw json.RawMessage) (any, error) {
	var w lookupWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	recorder := &answerRecorder{limit: s.deps.MaxAnswerBytes}
	return answerWire{recorder.answer(s.lookup(ctx, w, recorder))}, nil
}

// authorityAddress returns the address of the incarnation, or of the gate to which it handed over.
func (s *Service) authorityAddress(ctx context.Context, holder string) (string, bool) {
	gates := s.deps.Gates()
	if address, alive := reachableAddress(gates, holder); alive {
		return address, true
	}
	s.mu.Lock()
	address, known := s.successors[holder]
	s.mu.Unlock()
	if known {
		return address, true
	}
	return s.findAuthority(ctx, gates, holder)
}

func (s *Service) findAuthority(ctx context.Context, gates []Gate, holder string) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, authorityTimeout)
	defer cancel()
	found := make(chan string, len(gates))
	calls := 0
	for _, g := range gates {
		if g.Self || !g.Reachable {
			continue
		}
		calls++
		go func() {
			var answer authorityAnswerWire
			err := s.deps.Peers.Call(ctx, g.Address, methodHasAuthority, authorityWire{holder}, &answer)
			if err != nil || !answer.HasAuthority {
				found <- ""
				return
			}
			found <- g.Address
		}()
	}
	for range calls {
		if address := <-found; address != "" {
			s.setSuccessor(holder, address)
			return address, true
		}
	}
	return "", false
}

func (s *Service) setSuccessor(holder, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successors[holder] = address
}

func (s *Service) forgetSuccessor(holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.successors, holder)
}

func (s *Service) handleHasAuthority(_ context.Context, raw json.RawMessage) (any, error) {
	var w authorityWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return authorityAnswerWire{s.registry.HasAuthorityFor(w.Incarnation)}, nil
}

// isConnectionRefused reports whether the call certainly had no effect because nothing listens at the address.
func isConnectionRefused(err error) bool { return errors.Is(err, peers.ErrRefused) }

// successorCandidates returns the gates that can take over from this one, those of its own data centre first.
func successorCandidates(gates []Gate) []Gate {
	own := ""
	for _, g := range gates {
		if g.Self {
			own = g.DataCentre
		}
	}
	out := slices.DeleteFunc(slices.Clone(gates), func(g Gate) bool { return g.Self || !g.Reachable || g.Stopping })
	slices.SortStableFunc(out, func(a, b Gate) int { return dataCentreDistance(a, own) - dataCentreDistance(b, own) })
	return out
}

func dataCentreDistance(g Gate, own string) int {
	if g.DataCentre == own {
		return 0
	}
	return 1
}
