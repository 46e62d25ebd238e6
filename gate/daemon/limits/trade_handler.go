package limits

import (
	"context"
	"encoding/json"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/rights"
)

const (
	methodGive = "limits/give"
	methodTake = "limits/take"

	unmetFor = 1500 * time.Millisecond
)

type giveWire struct {
	Asker string   `json:"asker"`
	Teams []string `json:"teams"`
}

type giveAnswerWire struct {
	Transfers []rights.Transfer `json:"transfers,omitempty"`
}

type takeWire struct {
	Transfer rights.Transfer `json:"transfer"`
}

type takeAnswerWire struct {
	Taken bool `json:"taken"`
}

// unmetWant is another gate's want that this gate had nothing spare for.
type unmetWant struct {
	asker string
	until time.Time
}

// answerGive gives half of what is spare, rounded up, and remembers whom it had nothing for.
func (s *Service) answerGive(_ context.Context, raw json.RawMessage) (any, error) {
	var w giveWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var answer giveAnswerWire
	for _, team := range w.Teams {
		spare := max(0, s.ledger.Spare(team))
		if transfer, ok := s.ledger.Give(team, (spare+1)/2, w.Asker); ok {
			answer.Transfers = append(answer.Transfers, transfer)
			continue
		}
		if s.ledger.Spent(team) > 0 {
			s.unmet[team] = unmetWant{w.Asker, time.Now().Add(unmetFor)}
		}
	}
	return answer, nil
}

func (s *Service) answerTake(_ context.Context, raw json.RawMessage) (any, error) {
	var w takeWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return takeAnswerWire{s.ledger.Accept(w.Transfer)}, nil
}

// serveUnmet sends a right that came back to the gate that wanted one, so that none of two busy gates starves; the
// caller holds the lock.
func (s *Service) serveUnmet(team string) {
	want, ok := s.unmet[team]
	if !ok {
		return
	}
	if time.Now().After(want.until) {
		delete(s.unmet, team)
		return
	}
	transfer, ok := s.ledger.Give(team, 1, want.asker)
	if !ok {
		return
	}
	delete(s.unmet, team)
	go s.send(transfer)
}

// send hands a transfer over; one that was not surely taken is missed by the next recount only.
func (s *Service) send(transfer rights.Transfer) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var answer takeAnswerWire
	address, known := addressOf(s.neighbours(), transfer.To())
	if known {
		err := s.peers.Call(ctx, address, methodTake, takeWire{transfer}, &answer)
		if err == nil && answer.Taken {
			return true
		}
	}
	klog.V(1).InfoS("rights-lost", "to", transfer.To())
	s.miss()
	return false
}

// miss notes that rights may have been lost on the way.
func (s *Service) miss() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.miss()
}
