package guard

import (
	"errors"
	"io"
	"net/http"
	"time"
)

const (
	minBodyBytes = 4 << 10
	// A whole body takes this many times its size until it is answered: decoded, encoded for the journal, and sent to the owner.
	bodyCopies = 4
)

// EndedError means that a request was ended before it was complete. It was not run. Its connection must be closed after the answer, since nothing more
// is read from it.
type EndedError struct{ reason Reason }

// Reason returns why the request was ended.
func (e *EndedError) Reason() Reason { return e.reason }

// Error returns the reason.
func (e *EndedError) Error() string { return "ended by the guard: " + string(e.reason) }

// ReadBody reads a request's body of at most limit bytes. Its memory is taken as bytes arrive, and held until the request is answered. The error is
// an *http.MaxBytesError for a body that is too large, an *EndedError if the guard ended the request, or that of the connection.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	c := connOf(r)
	if r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		c.count(BodyTooLarge)
		return nil, &http.MaxBytesError{Limit: limit}
	}
	body, err := c.readAll(http.MaxBytesReader(w, r.Body, limit), bufferBound(r.ContentLength, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		c.count(BodyTooLarge)
		return nil, err
	}
	if reason := c.ended(); reason != "" {
		return nil, &EndedError{reason}
	}
	return body, err
}

// bufferBound returns the largest useful buffer of a body. One byte more than the body lets its end be seen without another buffer.
func bufferBound(declared, limit int64) int64 {
	if declared >= 0 {
		return declared + 1
	}
	return limit + 1
}

func (c *Conn) readAll(from io.Reader, bound int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(2*int64(cap(body)), minBodyBytes), max(bound, int64(len(body))+1))
			if !c.take(size - int64(cap(body))) {
				return nil, io.ErrUnexpectedEOF
			}
			larger := make([]byte, len(body), size)
			copy(larger, body)
			body = larger
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, c.complete(int64(len(body)))
		}
		if err != nil {
			return nil, err
		}
	}
}

// complete notes that the whole body has arrived, and takes the memory for what follows.
func (c *Conn) complete(size int64) error {
	if c == nil {
		return nil
	}
	if !c.take((bodyCopies-1)*size) || !c.guard.table.Complete(c.entry) {
		return io.ErrUnexpectedEOF
	}
	return nil
}

func (c *Conn) take(bytes int64) bool { return c == nil || c.charge(bytes, time.Now()) }

func (c *Conn) ended() Reason {
	if c == nil {
		return ""
	}
	return c.guard.table.Ended(c.entry)
}

func (c *Conn) count(reason Reason) {
	if c != nil {
		c.guard.Count(reason)
	}
}

// TakeMemory takes more memory for a request whose body was read, until it is answered. The error is an *EndedError if there is none; then
// the request must be refused.
func TakeMemory(r *http.Request, bytes int64) error {
	c := connOf(r)
	if !c.take(bytes) {
		return &EndedError{c.ended()}
	}
	return nil
}

// CountRefusal counts a request that was refused for the given reason.
func CountRefusal(r *http.Request, reason Reason) { connOf(r).count(reason) }
