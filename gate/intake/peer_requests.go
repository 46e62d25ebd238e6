package intake

import (
	"context"
	"encoding/json"
	"time"

	"mangowing/core/admit"
	"mangowing/core/codes"
	"mangowing/core/sched"
	"mangowing/gate/lead"
)

const requestMethod = "jobs.ask"

// requestKind is the kind of a request to the owner.
type requestKind string

const (
	kindSubmit  requestKind = "submit"
	kindCancel  requestKind = "cancel"
	kindState   requestKind = "state"
	kindPending requestKind = "pending"
)

// request is a call that a gate passes on to the owner. Submit sets Record, cancel and state set ID, pending sets Queue.
type request struct {
	Kind   requestKind `json:"kind"`
	Record []byte      `json:"record,omitempty"`
	ID     string      `json:"id,omitempty"`
	Queue  string      `json:"queue,omitempty"`
	// WantsAllowances asks for what the gate may store in the inbox.
	WantsAllowances bool `json:"wants-allowances,omitempty"`
}

type response struct {
	Code       uint16                     `json:"code,omitempty"`
	AfterMs    int64                      `json:"after-ms,omitempty"`
	State      uint8                      `json:"state,omitempty"`
	Count      int                        `json:"count,omitempty"`
	Allowances map[string]admit.Allowance `json:"allowances,omitempty"` // by pool
}

func (r response) answer() lead.Answer {
	return lead.NewAnswer(codes.Code(r.Code), time.Duration(r.AfterMs)*time.Millisecond, sched.JobState(r.State), r.Count)
}

// PeerHandler returns the method and handler of requests that other gates pass on to this gate as the owner.
func (s *Service) PeerHandler() (method string, handle func(context.Context, json.RawMessage) (any, error)) {
	return requestMethod, func(ctx context.Context, raw json.RawMessage) (any, error) {
		var r request
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
		defer cancel()
		a, err := s.handleRequest(ctx, r)
		if err != nil {
			return nil, err
		}
		answer := response{Code: uint16(a.Code()), AfterMs: a.RetryAfter().Milliseconds(), State: uint8(a.State()), Count: a.Count()}
		if r.WantsAllowances {
			answer.Allowances = s.localOwner.InboxAllowances()
		}
		return answer, nil
	}
}

func (s *Service) handleRequest(ctx context.Context, r request) (lead.Answer, error) {
	switch r.Kind {
	case kindSubmit:
		record, err := sched.Decode(r.Record)
		if err != nil {
			return lead.Answer{}, err
		}
		job, ok := record.(sched.JobAccepted)
		if !ok {
			return lead.Answer{}, codes.Errorf(codes.MalformedRequest, "record %T is no job", record)
		}
		return s.localOwner.Submit(ctx, job.Job), nil
	case kindCancel:
		return s.localOwner.Cancel(ctx, r.ID), nil
	case kindState:
		return s.localOwner.State(ctx, r.ID), nil
	case kindPending:
		return s.localOwner.Pending(ctx, r.Queue), nil
	default:
		return lead.Answer{}, codes.Errorf(codes.MalformedRequest, "unknown request %q", r.Kind)
	}
}
