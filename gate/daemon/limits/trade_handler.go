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

	unmetLifetime = 1500 * time.Millisecond
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

// unmetRequest is another gate's request for a right that this gate had none available for.
type unmetRequest struct {
	asker string
	until time.Time
}

// answerGive transfers half of the available rights, rounded up, and records the requests that it can't meet.
func (s *Service) answerGive(_ context.Context, raw json.RawMessage) (any, error) {
	var w giveWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var answer giveAnswerWire
	for _, team := range w.Teams {
		available := max(0, s.ledger.Available(team))
		if transfer, ok := s.ledger.StartTransfer(team, (available+1)/2, w.Asker); ok {
			answer.Transfers = append(answer.Transfers, transfer)
			continue
		}
		if s.ledger.InUse(team) > 0 {
			s.recordUnmet(team, w.Asker)
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

// recordUnmet appends the asker to the team's unmet requests. One that is already there keeps its position.
func (s *Service) recordUnmet(team, asker string) {
	until := time.Now().Add(unmetLifetime)
	for i, waiting := range s.unmet[team] {
		if waiting.asker == asker {
			s.unmet[team][i].until = until
			return
		}
	}
	s.unmet[team] = append(s.unmet[team], unmetRequest{asker, until})
}

// serveUnmet transfers a released right to the gate that has waited longest, so that no busy gate starves. The caller
// must hold mu.
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

// send sends a transfer and reports whether it was accepted. If not, or if that is unknown, the rights are lost until the
// next recount.
func (s *Service) send(transfer rights.Transfer) bool {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var answer takeAnswerWire
	address, known := addressOf(s.localGates(), transfer.To())
	if known {
		err := s.peers.Call(ctx, address, methodTake, takeWire{transfer}, &answer)
		if err == nil && answer.Taken {
			return true
		}
	}
	klog.V(1).InfoS("rights-lost", "to", transfer.To())
	s.recordLoss()
	return false
}

// recordLoss records that rights may have been lost in a transfer.
func (s *Service) recordLoss() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.recordLoss()
}
