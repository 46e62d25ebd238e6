package intake

import (
	"context"
	"encoding/json"
	"time"

	"mangowing/core/codes"
	"mangowing/core/sched"
	"mangowing/gate/lead"
)

const askMethod = "jobs.ask"

// ask tells the kinds of requests between gates apart.
type ask string

const (
	askSubmit  ask = "submit"
	askCancel  ask = "cancel"
	askState   ask = "state"
	askPending ask = "pending"
)

// request is what a gate asks the owner.
type request struct {
	Kind   ask    `json:"kind"`
	Record []byte `json:"record,omitempty"`
	ID     string `json:"id,omitempty"`
	Queue  string `json:"queue,omitempty"`
}

type response struct {
	Code    uint16 `json:"code,omitempty"`
	AfterMs int64  `json:"after-ms,omitempty"`
	State   uint8  `json:"state,omitempty"`
	Count   int    `json:"count,omitempty"`
}

func (r response) answer() lead.Answer {
	return lead.NewAnswer(codes.Code(r.Code), time.Duration(r.AfterMs)*time.Millisecond, sched.JobState(r.State), r.Count)
}

// PeerHandler returns the handler of other gates' requests to the owner.
func (s *Service) PeerHandler() (method string, handle func(context.Context, json.RawMessage) (any, error)) {
	return askMethod, func(ctx context.Context, raw json.RawMessage) (any, error) {
		var r request
		if err := json.Unmarshal(raw, &r); err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, ownerLimit)
		defer cancel()
		a, err := s.serve(ctx, r)
		if err != nil {
			return nil, err
		}
		return response{uint16(a.Code()), a.RetryAfter().Milliseconds(), uint8(a.State()), a.Count()}, nil
	}
}

func (s *Service) serve(ctx context.Context, r request) (lead.Answer, error) {
	switch r.Kind {
	case askSubmit:
		record, err := sched.Decode(r.Record)
		if err != nil {
			return lead.Answer{}, err
		}
		job, ok := record.(sched.JobAccepted)
		if !ok {
			return lead.Answer{}, codes.Errorf(codes.MalformedRequest, "record %T is no job", record)
		}
		return s.lead.Submit(ctx, job.Job), nil
	case askCancel:
		return s.lead.Cancel(ctx, r.ID), nil
	case askState:
		return s.lead.State(ctx, r.ID), nil
	case askPending:
		return s.lead.Pending(ctx, r.Queue), nil
	default:
		return lead.Answer{}, codes.Errorf(codes.MalformedRequest, "unknown request %q", r.Kind)
	}
}
