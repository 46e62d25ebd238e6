package relay

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"mangowing/core/decl"
)

// RequestSpec is the argument of NewRequest.
type RequestSpec struct {
	ID           string        // the request's id, unique to this gate
	Queue        string        // the queue's name
	Pool         string        // the pool that serves the queue
	Team         string        // the team that the request works for
	Class        decl.Class    // the class of urgency
	Idempotent   bool          // whether it may be retried after it has started
	QueueLength  int           // how many requests of the team may wait
	Timeout      time.Duration // how long the caller waits
	RunTime      time.Duration // the declared run time
	LatestFinish time.Time     // when background work must be done, zero for none
	Header       http.Header   // the caller's headers to forward to the upstream
	Body         []byte        // the whole body, or its start if Rest is set
	Rest         io.Reader     // the bytes after Body, nil for none; read at most once
	RestLength   int64         // the number of bytes in Rest, -1 if unknown
}

// Request is one request to be sent to an upstream.
type Request struct {
	spec RequestSpec
}

// NewRequest returns the request described by the specification.
func NewRequest(s RequestSpec) Request { return Request{s} }

// ID returns the request's id.
func (r Request) ID() string { return r.spec.ID }

// Team returns the team that the request works for.
func (r Request) Team() string { return r.spec.Team }

// isReplayable reports whether the body can be sent again.
func (r Request) isReplayable() bool { return r.spec.Rest == nil }

func (r Request) reader() io.Reader {
	if r.spec.Rest == nil {
		return bytes.NewReader(r.spec.Body)
	}
	return io.MultiReader(bytes.NewReader(r.spec.Body), r.spec.Rest)
}

func (r Request) length() int64 {
	if r.spec.Rest == nil {
		return int64(len(r.spec.Body))
	}
	if r.spec.RestLength < 0 {
		return -1
	}
	return int64(len(r.spec.Body)) + r.spec.RestLength
}

// Sink receives the answer. Begin is called at most once, before the first Write.
type Sink interface {
	Begin(status int, header http.Header, requestID string)
	Write(b []byte) (int, error)
}
