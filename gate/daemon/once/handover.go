package once

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"mangowing/core/ticket"
)

const (
	methodHandOver      = "once/hand-over"
	methodReportOutcome = "once/pass"

	handOverTimeout = 2 * time.Second
	retryPause      = 100 * time.Millisecond
	reportAttempts  = 5
)

type handOverWire struct {
	State ticket.HandoverState `json:"estate"`
}

type handOverAnswerWire struct {
	Adopted bool `json:"adopted"`
}

// outcomeWire carries the answer of a run that ended after the hand-over, or no answer if it certainly did not run.
type outcomeWire struct {
	ID     string         `json:"id"`
	From   string         `json:"from"`
	Answer *ticket.Answer `json:"answer,omitempty"`
}

// HandOver transfers the authority over all tickets and claims, with their answers, to another gate. From the first
// attempt on, this gate starts no more requests. After an error, callers get the outcome unknown.
func (s *Service) HandOver(ctx context.Context) error {
	var state ticket.HandoverState
	started := false
	for ctx.Err() == nil {
		for _, g := range successorCandidates(s.deps.Gates()) {
			state, started = s.prepareHandOver(state, started, g)
			adopted, refused := s.offer(ctx, g, state)
			if adopted {
				s.setSuccessor(s.deps.Process.Incarnation(), g.Address)
				return nil
			}
			if !refused {
				return eris.New("the successor did not answer; tickets may be lost")
			}
		}
		sleep(ctx, retryPause)
	}
	return eris.New("no gate took the tickets over")
}

// prepareHandOver gives up the authority on the first call and only changes the successor on later calls.
func (s *Service) prepareHandOver(state ticket.HandoverState, started bool, g Gate) (ticket.HandoverState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if started {
		s.registry.SetSuccessor(g.Incarnation)
		return state, true
	}
	state = s.registry.HandOver(g.Incarnation)
	s.notifyAllRunEnds()
	return state, true
}

// offer repeats the hand-over to one gate until it answers. refused means that the gate certainly did not adopt the state.
func (s *Service) offer(ctx context.Context, g Gate, state ticket.HandoverState) (adopted, refused bool) {
	unanswered := false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		var answer handOverAnswerWire
		err := s.deps.Peers.Call(callCtx, g.Address, methodHandOver, handOverWire{state}, &answer)
		cancel()
		switch {
		case err == nil:
			return answer.Adopted, !answer.Adopted
		case isConnectionRefused(err):
			return false, !unanswered
		}
		unanswered = true
		sleep(ctx, retryPause)
	}
	return false, false
}

func (s *Service) handleHandOver(_ context.Context, raw json.RawMessage) (any, error) {
	var w handOverWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	adopted := s.registry.Adopt(w.State)
	klog.InfoS("tickets-adopted", "from", w.State.From(), "adopted", adopted)
	return handOverAnswerWire{adopted}, nil
}

// reportOutcome sends the successor the outcome of a run that ended after the hand-over.
func (s *Service) reportOutcome(successor string, w outcomeWire) {
	if successor == "" {
		return
	}
	ctx := context.Background()
	for range reportAttempts {
		address, known := reachableAddress(s.deps.Gates(), successor)
		if known {
			callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
			err := s.deps.Peers.Call(callCtx, address, methodReportOutcome, w, nil)
			cancel()
			if err == nil {
				return
			}
		}
		sleep(ctx, retryPause)
	}
	klog.InfoS("answer-not-passed-on", "to", successor)
}

func (s *Service) handleOutcome(_ context.Context, raw json.RawMessage) (any, error) {
	var w outcomeWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.mu.Lock()
	successor := s.registry.RecordPeerOutcome(w.ID, w.From, w.Answer)
	s.notifyRunEnd(w.ID)
	s.mu.Unlock()
	s.reportOutcome(successor, w)
	return struct{}{}, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
