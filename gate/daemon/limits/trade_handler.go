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
		spare := max(0, s.ledger.Available(team))
		if transfer, ok := s.ledger.StartTransfer(team, (spare+1)/2, w.Asker); ok {
			answer.Transfers = append(answer.Transfers, transfer)
			continue
		}
		if s.ledger.InUse(team) > 0 {
			s.noteUnmet(team, w.Asker)
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

// noteUnmet puts the asker at the end of those that wait for a right of the team; one that waits keeps its place.
func (s *Service) noteUnmet(team, asker string) {
	until := time.Now().Add(unmetFor)
	for i, waiting := range s.unmet[team] {
		if waiting.asker == asker {
			s.unmet[team][i].until = until
			return
		}
	}
	s.unmet[team] = append(s.unmet[team], unmetWant{asker, until})
}

// serveUnmet sends a right that came back to the gate that has waited longest, so that no busy gate starves; the
// caller holds the lock.
func (s *Service) serveUnmet(team string) {
	now := time.Now()
	waiting := s.unmet[team]
	for len(waiting) > 0 && now.After(waiting[0].until) {
		waiting = waiting[1:]
	}
	if len(waiting) > 0 {
		if transfer, ok := s.ledger.StartTransfer(team, 1, waiting[0].asker); ok {
			waiting = waiting[1:]
			go s.send(transfer)
		}
	}
	if len(waiting) == 0 {
		delete(s.unmet, team)
		return
	}
	s.unmet[team] = waiting
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
