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
	methodHandOver = "once/hand-over"
	methodPass     = "once/pass"

	handOverTimeout = 2 * time.Second
	handOverPause   = 100 * time.Millisecond
	passAttempts    = 5
)

type handOverWire struct {
	Estate ticket.HandoverState `json:"estate"`
}

type handOverAnswerWire struct {
	Adopted bool `json:"adopted"`
}

// passWire carries the answer of a run that outlived the hand-over, none for one that surely did not run.
type passWire struct {
	ID     string         `json:"id"`
	From   string         `json:"from"`
	Answer *ticket.Answer `json:"answer,omitempty"`
}

// HandOver gives the authority over all tickets and claims, with their answers, to another gate. From the first attempt
// on this gate starts nothing more; an error means that the outcomes are unknown to callers from now on.
func (s *Service) HandOver(ctx context.Context) error {
	var estate ticket.HandoverState
	handed := false
	for ctx.Err() == nil {
		for _, g := range candidates(s.deps.Gates()) {
			estate, handed = s.giveTo(estate, handed, g)
			adopted, refused := s.offer(ctx, g, estate)
			if adopted {
				s.rememberHeir(s.deps.Process.Incarnation(), g.Address)
				return nil
			}
			if !refused {
				return eris.New("the successor did not answer; tickets may be lost")
			}
		}
		pause(ctx, handOverPause)
	}
	return eris.New("no gate took the tickets over")
}

// giveTo gives everything up the first time, and names another successor later.
func (s *Service) giveTo(estate ticket.HandoverState, handed bool, g Gate) (ticket.HandoverState, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if handed {
		s.registry.SetSuccessor(g.Incarnation)
		return estate, true
	}
	estate = s.registry.HandOver(g.Incarnation)
	s.wakeAll()
	return estate, true
}

// offer repeats the hand-over to one gate until it answers; refused means that it surely did not take it.
func (s *Service) offer(ctx context.Context, g Gate, estate ticket.HandoverState) (adopted, refused bool) {
	silent := false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
		var answer handOverAnswerWire
		err := s.deps.Peers.Call(callCtx, g.Address, methodHandOver, handOverWire{estate}, &answer)
		cancel()
		switch {
		case err == nil:
			return answer.Adopted, !answer.Adopted
		case refusedBy(err):
			return false, !silent
		}
		silent = true
		pause(ctx, handOverPause)
	}
	return false, false
}

func (s *Service) answerHandOver(_ context.Context, raw json.RawMessage) (any, error) {
	var w handOverWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	adopted := s.registry.Adopt(w.Estate)
	klog.InfoS("tickets-adopted", "from", w.Estate.From(), "adopted", adopted)
	return handOverAnswerWire{adopted}, nil
}

// passOn tells the successor what became of a run that outlived the hand-over.
func (s *Service) passOn(heir string, w passWire) {
	if heir == "" {
		return
	}
	ctx := context.Background()
	for range passAttempts {
		address, known := addressOf(s.deps.Gates(), heir)
		if known {
			callCtx, cancel := context.WithTimeout(ctx, handOverTimeout)
			err := s.deps.Peers.Call(callCtx, address, methodPass, w, nil)
			cancel()
			if err == nil {
				return
			}
		}
		pause(ctx, handOverPause)
	}
	klog.InfoS("answer-not-passed-on", "to", heir)
}

func (s *Service) answerPass(_ context.Context, raw json.RawMessage) (any, error) {
	var w passWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.mu.Lock()
	heir := s.registry.RecordPeerOutcome(w.ID, w.From, w.Answer)
	s.wake(w.ID)
	s.mu.Unlock()
	s.passOn(heir, w)
	return struct{}{}, nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
