package caller

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"k8s.io/klog/v2"

	"mangowing/core/codes"
	"mangowing/core/event"
	"mangowing/gate/daemon/relay"
)

const (
	maxBufferedBodyBytes = 256 << 10
	writeTimeout         = 30 * time.Second
)

type refusalWire struct {
	Code    uint16 `json:"code"`
	Name    string `json:"name"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
}

// handleRequest runs one request and forwards the upstream's answer.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	startedAt := time.Now()
	id := rand.Text()
	sink := &httpSink{w: w}
	a, spec, err := s.prepare(w, r, id)
	if err != nil {
		s.refuse(w, id, a.team.Name(), err, isRepeatable(r))
		return
	}
	result := s.runRequest(r, spec, sink)
	s.finishRequest(sink, id, a, result, time.Since(startedAt))
}

// prepare makes all checks that are possible before the request runs.
func (s *Server) prepare(w http.ResponseWriter, r *http.Request, id string) (admission, relay.RequestSpec, error) {
	if !s.options.IsSynced() {
		return admission{}, relay.RequestSpec{}, codes.Errorf(codes.GateNotReady, "the gate has no state yet")
	}
	a, err := s.admit(r, mux.Vars(r)["queue"])
	if err != nil {
		return a, relay.RequestSpec{}, err
	}
	spec, err := s.newSpec(w, r, id, a)
	return a, spec, err
}

func (s *Server) newSpec(w http.ResponseWriter, r *http.Request, id string, a admission) (relay.RequestSpec, error) {
	spec := declaredSpec(id, a, time.Now())
	spec.Header = relay.ForwardedHeaders(r.Header)
	if r.ContentLength > int64(s.options.MaxBodyBytes) {
		return spec, codes.Errorf(codes.BodyTooLarge, "at most %d bytes", s.options.MaxBodyBytes)
	}
	body := http.MaxBytesReader(w, r.Body, int64(s.options.MaxBodyBytes))
	return spec, s.readBody(&spec, r, body)
}

// declaredSpec returns a request's specification as declared by its team and queue.
func declaredSpec(id string, a admission, now time.Time) relay.RequestSpec {
	return relay.RequestSpec{
		ID: id, Queue: a.queue.Name(), Pool: a.queue.Pool(), Team: a.team.Name(), Class: a.team.Class(),
		Idempotent: a.team.IsIdempotent(), QueueLength: a.queue.MaxWaitingPerTeam(), Timeout: a.timeout, RunTime: a.team.RunTime(),
		LatestFinish: latestFinish(a.team, now),
	}
}

// readBody buffers a small body and streams a larger one. A repeatable request's body is always buffered, because it is
// compared with that of its repeats.
func (s *Server) readBody(spec *relay.RequestSpec, r *http.Request, body io.Reader) error {
	limit := int64(maxBufferedBodyBytes)
	if isRepeatable(r) {
		limit = int64(s.options.MaxBodyBytes)
	}
	var buffered bytes.Buffer
	n, err := io.CopyN(&buffered, body, limit)
	spec.Body = buffered.Bytes()
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return bodyError(err)
	}
	spec.Rest = body
	spec.RestLength = -1
	if r.ContentLength >= 0 {
		spec.RestLength = r.ContentLength - n
	}
	if spec.RestLength == 0 {
		spec.Rest = nil
	}
	return nil
}

func isRepeatable(r *http.Request) bool {
	return r.Header.Get(headerTicket) != "" || r.Header.Get(headerIdempotencyKey) != ""
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return codes.Errorf(codes.BodyTooLarge, "at most %d bytes", tooLarge.Limit)
	}
	return codes.Errorf(codes.MalformedRequest, "the body ended early")
}

// finishRequest answers with the outcome unless an answer has begun. If an answer failed after its start, the connection is
// aborted, so that the caller does not take it for complete.
func (s *Server) finishRequest(sink *httpSink, id string, a admission, result relay.Result, took time.Duration) {
	s.recordMetrics(a.queue.Name(), a.team.Name(), result.Code(), took)
	klog.V(1).InfoS("request-done", "request", id, "team", a.team.Name(), "queue", a.queue.Name(),
		"vm", result.VM(), "code", uint16(result.Code()), "outcome", result.Outcome().String(), "ms", took.Milliseconds())
	if result.HasBegun() && result.Code() != codes.OK {
		panic(http.ErrAbortHandler)
	}
	if !result.HasBegun() {
		writeRefusal(sink.w, id, result.Code(), result.Detail())
	}
}

func (s *Server) recordMetrics(queue, team string, code codes.Code, took time.Duration) {
	labels := fmt.Sprintf(`{queue=%q,team=%q,code="%d"}`, queue, team, uint16(code))
	metrics.GetOrCreateCounter("mango_requests_total" + labels).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf(`mango_request_seconds{queue=%q}`, queue)).Update(took.Seconds())
}

// refuse answers a request that was not run. One with a ticket or an idempotency key may have run in an earlier attempt
// that this gate has not checked, so its outcome is unknown.
func (s *Server) refuse(w http.ResponseWriter, id, team string, err error, repeatable bool) {
	code := codes.Of(err)
	detail := ""
	var coded *codes.Error
	if errors.As(err, &coded) {
		detail = coded.Detail()
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`mango_refused_total{code="%d"}`, uint16(code))).Inc()
	s.process.Events().Add("refused", event.Fields{Request: id, Team: team, Code: uint16(code)})
	klog.V(1).InfoS("request-refused", "request", id, "team", team, "code", uint16(code))
	outcome := code.Entry().Outcome()
	if repeatable {
		outcome = codes.Unknown
	}
	writeOutcome(w, id, code, outcome, detail)
}

func writeRefusal(w http.ResponseWriter, id string, code codes.Code, detail string) {
	writeOutcome(w, id, code, code.Entry().Outcome(), detail)
}

func writeOutcome(w http.ResponseWriter, id string, code codes.Code, outcome codes.Outcome, detail string) {
	e := code.Entry()
	w.Header().Set(relay.HeaderRequestID, id)
	w.Header().Set(relay.HeaderOutcome, outcome.String())
	w.Header().Set(relay.HeaderCode, fmt.Sprint(uint16(code)))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(e.Status())
	_ = json.NewEncoder(w).Encode(refusalWire{uint16(code), e.Name(), outcome.String(), detail})
}

// httpSink writes an upstream's answer to the caller.
type httpSink struct {
	w http.ResponseWriter
}

// Begin writes the status and the headers.
func (s *httpSink) Begin(status int, header http.Header, requestID string) {
	for name, values := range relay.ForwardedHeaders(header) {
		s.w.Header()[name] = values
	}
	if length := header.Get("Content-Length"); length != "" {
		s.w.Header().Set("Content-Length", length)
	}
	s.w.Header().Set(relay.HeaderRequestID, requestID)
	s.w.Header().Set(relay.HeaderOutcome, codes.Ran.String())
	s.w.Header().Set(relay.HeaderCode, "0")
	s.w.WriteHeader(status)
}

// Write writes a part of the body; it fails if the caller reads nothing for the write timeout.
func (s *httpSink) Write(b []byte) (int, error) {
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	return s.w.Write(b)
}
