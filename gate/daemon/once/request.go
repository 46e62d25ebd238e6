package once

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"time"

	"mangowing/core/codes"
	"mangowing/core/ticket"
)

// Request is one request with a ticket or a key, with all that the gate which may start it needs.
type Request struct {
	w requestWire
}

type requestWire struct {
	Ticket    string      `json:"ticket,omitempty"`
	Key       string      `json:"key,omitempty"`
	Team      string      `json:"team"`
	Queue     string      `json:"queue"`
	Header    http.Header `json:"header"`
	Body      []byte      `json:"body,omitempty"`
	TimeoutMs int64       `json:"timeout-ms"`
	Hops      int         `json:"hops"`
}

// RequestSpec names the fields of a Request for NewRequest.
type RequestSpec struct {
	Ticket  string        // the ticket, empty for a request with a key
	Key     string        // the caller's idempotency key, empty for a request with a ticket
	Team    string        // the team that the caller's key works for
	Queue   string        // the queue
	Header  http.Header   // the headers that the upstream gets
	Body    []byte        // the whole body
	Timeout time.Duration // how long the caller waits
}

// NewRequest returns the request described by the specification.
func NewRequest(s RequestSpec) Request {
	return Request{requestWire{s.Ticket, s.Key, s.Team, s.Queue, s.Header, s.Body, s.Timeout.Milliseconds(), 0}}
}

// Spec returns all fields of the request.
func (r Request) Spec() RequestSpec {
	return RequestSpec{r.w.Ticket, r.w.Key, r.w.Team, r.w.Queue, r.w.Header, r.w.Body, r.timeout()}
}

// MarshalJSON returns the request's wire form.
func (r Request) MarshalJSON() ([]byte, error) { return json.Marshal(r.w) }

// UnmarshalJSON reads the request's wire form.
func (r *Request) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &r.w) }

func (r Request) timeout() time.Duration { return time.Duration(r.w.TimeoutMs) * time.Millisecond }

// id returns what the registry knows the request by.
func (r Request) id() string {
	if r.w.Ticket != "" {
		return r.w.Ticket
	}
	return ticket.KeyID(r.w.Team, r.w.Key)
}

// digest tells apart requests under the same ticket or key.
func (r Request) digest() string {
	h := sha256.New()
	for _, part := range []string{r.w.Team, r.w.Queue} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.w.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// Outcome is what became of a request; the sink has the whole answer where the code is OK.
type Outcome struct {
	code    codes.Code
	detail  string
	begun   bool
	attempt string
	vm      string
}

// NewOutcome returns an outcome with a code, text for people and whether the sink got the beginning of an answer.
func NewOutcome(code codes.Code, detail string, begun bool) Outcome {
	return Outcome{code: code, detail: detail, begun: begun}
}

// At returns the outcome with the VM and the id under which the VM's worker got the last attempt, so that the worker can
// be asked where the outcome is unknown.
func (o Outcome) WithAttempt(vm, attempt string) Outcome {
	o.vm, o.attempt = vm, attempt
	return o
}

// Code returns the numbered result code.
func (o Outcome) Code() codes.Code { return o.code }

// Detail returns the text for people.
func (o Outcome) Detail() string { return o.detail }

// Begun tells whether the sink got the beginning of an answer.
func (o Outcome) HasBegun() bool { return o.begun }
