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

// Request is a request with a ticket or an idempotency key, and everything that a gate needs to run it.
type Request struct {
	wire requestWire
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

// RequestSpec holds the fields of a Request.
type RequestSpec struct {
	Ticket  string        // the ticket, empty for a request with a key
	Key     string        // the caller's idempotency key, empty for a request with a ticket
	Team    string        // the team that the caller's API key belongs to
	Queue   string        // the queue
	Header  http.Header   // the headers that the upstream receives
	Body    []byte        // the complete body
	Timeout time.Duration // how long the caller waits
}

// NewRequest returns the request with the fields of s.
func NewRequest(s RequestSpec) Request {
	return Request{requestWire{s.Ticket, s.Key, s.Team, s.Queue, s.Header, s.Body, s.Timeout.Milliseconds(), 0}}
}

// Spec returns the request's fields.
func (r Request) Spec() RequestSpec {
	return RequestSpec{r.wire.Ticket, r.wire.Key, r.wire.Team, r.wire.Queue, r.wire.Header, r.wire.Body, r.timeout()}
}

// MarshalJSON encodes the request in its wire form.
func (r Request) MarshalJSON() ([]byte, error) { return json.Marshal(r.wire) }

// UnmarshalJSON decodes the request from its wire form.
func (r *Request) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &r.wire) }

func (r Request) timeout() time.Duration { return time.Duration(r.wire.TimeoutMs) * time.Millisecond }

// id returns the request's id in the registry.
func (r Request) id() string {
	if r.wire.Ticket != "" {
		return r.wire.Ticket
	}
	return ticket.KeyID(r.wire.Team, r.wire.Key)
}

// digest identifies the request's content, to detect different requests with the same ticket or key.
func (r Request) digest() string {
	h := sha256.New()
	for _, part := range []string{r.wire.Team, r.wire.Queue} {
		h.Write([]byte(part))
		h.Write([]byte{0})
	}
	h.Write(r.wire.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// Outcome is the result of a request. If the code is OK, the complete answer was written to the sink.
type Outcome struct {
	code    codes.Code
	detail  string
	begun   bool
	attempt string
	vm      string
}

// NewOutcome returns an outcome with a result code, a human-readable detail and whether the answer has begun in the sink.
func NewOutcome(code codes.Code, detail string, begun bool) Outcome {
	return Outcome{code: code, detail: detail, begun: begun}
}

// WithAttempt returns the outcome with the VM of the last attempt and the id under which its worker received it. If the
// outcome is unknown, the worker can be asked about it.
func (o Outcome) WithAttempt(vm, attempt string) Outcome {
	o.vm, o.attempt = vm, attempt
	return o
}

// Code returns the result code.
func (o Outcome) Code() codes.Code { return o.code }

// Detail returns the human-readable detail.
func (o Outcome) Detail() string { return o.detail }

// HasBegun reports whether the beginning of an answer was written to the sink.
func (o Outcome) HasBegun() bool { return o.begun }
