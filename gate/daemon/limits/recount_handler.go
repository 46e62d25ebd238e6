package limits

import (
	"context"
	"encoding/json"
	"time"

	"mangowing/core/rights"
)

const (
	methodProbe  = "limits/probe"
	methodReport = "limits/report"
	methodCommit = "limits/commit"
	methodRevoke = "limits/revoke"
)

type probeWire struct{}

type reportWire struct {
	Query rights.Query `json:"query"`
}

type reportAnswerWire struct {
	Report *rights.Report `json:"report,omitempty"`
	Epoch  rights.Epoch   `json:"epoch"`
}

type commitWire struct {
	Commit rights.Commit `json:"commit"`
}

type revokeWire struct {
	Epoch rights.Epoch `json:"epoch"`
}

func (s *Service) registerHandlers() {
	s.peers.Handle(methodProbe, s.answerProbe)
	s.peers.Handle(methodReport, s.answerReport)
	s.peers.Handle(methodCommit, s.answerCommit)
	s.peers.Handle(methodRevoke, s.answerRevoke)
	s.peers.Handle(methodGive, s.answerGive)
	s.peers.Handle(methodTake, s.answerTake)
}

func (s *Service) answerProbe(context.Context, json.RawMessage) (any, error) {
	return probeWire{}, nil
}

func (s *Service) answerReport(_ context.Context, raw json.RawMessage) (any, error) {
	var w reportWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyState()
	before := s.ledger.Epoch()
	report, epoch, ok := s.ledger.AnswerQuery(w.Query)
	if !ok {
		return reportAnswerWire{Epoch: epoch}, nil
	}
	if epoch != before {
		s.planner.uncommittedAt = time.Now()
		s.planner.recordCount()
	}
	return reportAnswerWire{Report: &report, Epoch: epoch}, nil
}

func (s *Service) answerCommit(_ context.Context, raw json.RawMessage) (any, error) {
	var w commitWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.ApplyCommit(w.Commit) {
		s.planner.recordCommit(time.Now(), false)
		s.requests.resetDelays()
	}
	return probeWire{}, nil
}

func (s *Service) answerRevoke(_ context.Context, raw json.RawMessage) (any, error) {
	var w revokeWire
	if err := json.Unmarshal(raw, &w); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Epoch() == w.Epoch {
		s.ledger.RevokeEpoch(w.Epoch)
		s.planner.uncommittedAt = time.Time{}
	}
	return probeWire{}, nil
}
