package ticket

import (
	"encoding/json"

	"mangowing/core/codes"
)

const answerOverhead = 64

// Answer is the whole answer to a request, or the code that stands for one.
type Answer struct {
	w answerWire
}

type answerWire struct {
	Code      uint16   `json:"code"`
	Detail    string   `json:"detail,omitempty"`
	RequestID string   `json:"request-id,omitempty"`
	VM        string   `json:"vm,omitempty"`
	Status    int      `json:"status,omitempty"`
	Header    []string `json:"header,omitempty"`
	Body      []byte   `json:"body,omitempty"`
	Bare      bool     `json:"bare,omitempty"`
}

// AnswerSpec names the fields of an Answer for NewAnswer.
type AnswerSpec struct {
	Code      codes.Code // OK for an upstream's answer
	Detail    string     // text for people
	RequestID string     // the id under which an upstream got the request, empty for none
	VM        string     // the VM that got it, empty for none
	Status    int        // the upstream's HTTP status
	Header    []string   // the upstream's headers, name and value in turn
	Body      []byte     // the upstream's whole body
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

// size returns the bytes that the answer counts for.
func (a Answer) size() int {
	n := answerOverhead + len(a.w.Body) + len(a.w.Detail)
	for _, field := range a.w.Header {
		n += len(field)
	}
	return n
}

// bare returns the answer without what takes space.
func (a Answer) bare() Answer {
	return Answer{answerWire{Code: a.w.Code, RequestID: a.w.RequestID, VM: a.w.VM, Bare: true}}
}
