package ticket

import (
	"encoding/json"

	"mangowing/core/codes"
)

const answerOverhead = 64

// Answer is a request's complete answer, or the result code in place of one.
type Answer struct {
	w answerWire
}

type answerWire struct {
	Code        uint16   `json:"code"`
	Detail      string   `json:"detail,omitempty"`
	RequestID   string   `json:"request-id,omitempty"`
	VM          string   `json:"vm,omitempty"`
	Status      int      `json:"status,omitempty"`
	Header      []string `json:"header,omitempty"`
	Body        []byte   `json:"body,omitempty"`
	BodyDropped bool     `json:"bare,omitempty"`
}

// AnswerSpec names the fields of an Answer for NewAnswer.
type AnswerSpec struct {
	Code      codes.Code // the result code, OK for an upstream's answer
	Detail    string     // text for people
	RequestID string     // the id under which an upstream received the request, empty for none
	VM        string     // the VM that received the request, empty for none
	Status    int        // the upstream's HTTP status
	Header    []string   // the upstream's headers, names and values alternating
	Body      []byte     // the upstream's complete body
}

// NewAnswer returns the answer described by the specification.
func NewAnswer(s AnswerSpec) Answer {
	return Answer{answerWire{uint16(s.Code), s.Detail, s.RequestID, s.VM, s.Status, s.Header, s.Body, false}}
}

// Spec returns all fields of the answer.
func (a Answer) Spec() AnswerSpec {
	return AnswerSpec{a.Code(), a.w.Detail, a.w.RequestID, a.w.VM, a.w.Status, a.w.Header, a.w.Body}
}

// Code returns the result code.
func (a Answer) Code() codes.Code { return codes.Code(a.w.Code) }

// MarshalJSON returns the answer's wire form.
func (a Answer) MarshalJSON() ([]byte, error) { return json.Marshal(a.w) }

// UnmarshalJSON reads the answer's wire form.
func (a *Answer) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &a.w) }

// size returns the bytes by which the answer counts towards the limit.
func (a Answer) size() int {
	n := answerOverhead + len(a.w.Body) + len(a.w.Detail)
	for _, field := range a.w.Header {
		n += len(field)
	}
	return n
}

// withoutBody returns the answer without the fields that take up space.
func (a Answer) withoutBody() Answer {
	return Answer{answerWire{Code: a.w.Code, RequestID: a.w.RequestID, VM: a.w.VM, BodyDropped: true}}
}
