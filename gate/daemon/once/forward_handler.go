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
	methodForward = "once/forward"
	methodLook    = "once/look"
	methodDecides = "once/decides"

	mostHops       = 4
	forwardMargin  = 2 * time.Second
	decidesTimeout = 500 * time.Millisecond
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

type decidesWire struct {
	Incarnation string `json:"incarnation"`
}

type decidesAnswerWire struct {
	Decides bool `json:"decides"`
}

func (s *Service) registerHandlers() {
	s.deps.Peers.Handle(methodForward, s.answerForward)
	s.deps.Peers.Handle(methodLook, s.answerLook)
	s.deps.Peers.Handle(methodDecides, s.answerDecides)
	s.deps.Peers.Handle(methodSeen, s.answerSeen)
	s.deps.Peers.Handle(methodHandOver, s.answerHandOver)
	s.deps.Peers.Handle(methodPass, s.answerPass)
}

// forward lets the gate that decides run the request; without its answer the outcome is unknown.
func (s *Service) forward(ctx context.Context, r Request, holder string, sink relay.Sink) Outcome {
	r.w.Hops++
	address, found := s.deciderOf(ctx, holder)
	if !found || r.w.Hops > mostHops {
		return Outcome{code: codes.HolderGone, detail: "the gate that decides can't be reached"}
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.timeout()+forwardMargin)
	defer cancel()
	var answer answerWire
	err := s.deps.Peers.Call(ctx, address, methodForward, forwardWire{r}, &answer)
	if err != nil {
		s.forgetHeir(holder)
		return Outcome{code: codes.HolderGone, detail: "no answer from the gate that decides"}
	}
	return replay(answer.Answer, sink)
}

func (s *Service) answerForward(ctx context.Context, raw json.RawMessage) (any, error) {
	var w forwardWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	kept := &answerRecorder{limit: s.deps.MaxAnswerBytes}
	outcome := s.Do(ctx, w.Request, kept)
	return answerWire{kept.answer(outcome)}, nil
}

// Look gives the stored answer of a ticket's request to the sink, without starting anything.
func (s *Service) Lookup(ctx context.Context, t string, sink relay.Sink) Outcome {
	return s.lookup(ctx, lookupWire{Ticket: t}, sink)
}

func (s *Service) lookup(ctx context.Context, w lookupWire, sink relay.Sink) Outcome {
	s.mu.Lock()
	d := s.registry.Lookup(w.Ticket)
	s.mu.Unlock()
	switch d := d.(type) {
	case ticket.RepeatAnswer:
		return replay(s.settle(ctx, w.Ticket, d.Answer()), sink)
	case ticket.AnswerGone:
		return Outcome{code: codes.AnswerGone}
	case ticket.InProgress:
		return Outcome{code: codes.StillRunning}
	case ticket.HeldElsewhere:
		return s.lookAt(ctx, w, d.Holder(), sink)
	default:
		return Outcome{code: codes.TicketUnknown}
	}
}

func (s *Service) lookAt(ctx context.Context, w lookupWire, holder string, sink relay.Sink) Outcome {
	w.Hops++
	address, found := s.deciderOf(ctx, holder)
	if !found || w.Hops > mostHops {
		return Outcome{code: codes.HolderGone, detail: "the gate that decides can't be reached"}
	}
	ctx, cancel := context.WithTimeout(ctx, forwardMargin)
	defer cancel()
	var answer answerWire
	if err := s.deps.Peers.Call(ctx, address, methodLook, w, &answer); err != nil {
		s.forgetHeir(holder)
		return Outcome{code: codes.HolderGone, detail: "no answer from the gate that decides"}
	}
	return replay(answer.Answer, sink)
}

func (s *Service) answerLook(ctx context.Context, raw json.RawMessage) (any, error) {
	var w lookupWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	kept := &answerRecorder{limit: s.deps.MaxAnswerBytes}
	return answerWire{kept.answer(s.lookup(ctx, w, kept))}, nil
}

// deciderOf returns the address of the incarnation, or of the gate that it handed over to.
func (s *Service) deciderOf(ctx context.Context, holder string) (string, bool) {
	gates := s.deps.Gates()
	if address, alive := addressOf(gates, holder); alive {
		return address, true
	}
	s.mu.Lock()
	address, known := s.heirs[holder]
	s.mu.Unlock()
	if known {
		return address, true
	}
	return s.askWhoDecides(ctx, gates, holder)
}

func (s *Service) askWhoDecides(ctx context.Context, gates []Gate, holder string) (string, bool) {
	ctx, cancel := context.WithTimeout(ctx, decidesTimeout)
	defer cancel()
	found := make(chan string, len(gates))
	asked := 0
	for _, g := range gates {
		if g.Self || !g.Reachable {
			continue
		}
		asked++
		go func() {
			var answer decidesAnswerWire
			err := s.deps.Peers.Call(ctx, g.Address, methodDecides, decidesWire{holder}, &answer)
			if err != nil || !answer.Decides {
				found <- ""
				return
			}
			found <- g.Address
		}()
	}
	for range asked {
		if address := <-found; address != "" {
			s.rememberHeir(holder, address)
			return address, true
		}
	}
	return "", false
}

func (s *Service) rememberHeir(holder, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heirs[holder] = address
}

func (s *Service) forgetHeir(holder string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.heirs, holder)
}

func (s *Service) answerDecides(_ context.Context, raw json.RawMessage) (any, error) {
	var w decidesWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return decidesAnswerWire{s.registry.HasAuthorityFor(w.Incarnation)}, nil
}

// refusedBy tells whether the call surely had no effect because nothing listens at the address.
func refusedBy(err error) bool { return errors.Is(err, peers.ErrRefused) }

// candidates returns the gates that may take this one's place, those of its own data centre first.
func candidates(gates []Gate) []Gate {
	own := ""
	for _, g := range gates {
		if g.Self {
			own = g.DataCentre
		}
	}
	out := slices.DeleteFunc(slices.Clone(gates), func(g Gate) bool { return g.Self || !g.Reachable || g.Stopping })
	slices.SortStableFunc(out, func(a, b Gate) int { return farness(a, own) - farness(b, own) })
	return out
}

func farness(g Gate, own string) int {
	if g.DataCentre == own {
		return 0
	}
	return 1
}
