package once

import (
	"net/http"
	"strings"

	"mangowing/core/codes"
	"mangowing/core/ticket"
	"mangowing/gate/daemon/relay"
)

// answerRecorder stores up to limit bytes of an answer while it passes the answer on. It keeps recording after the caller
// has disconnected.
type answerRecorder struct {
	sink       relay.Sink
	limit      int
	status     int
	header     http.Header
	requestID  string
	body       []byte
	overflow   bool
	sinkFailed bool
}

// Begin stores and passes on the status and headers.
func (r *answerRecorder) Begin(status int, header http.Header, requestID string) {
	r.status, r.header, r.requestID = status, header.Clone(), requestID
	if r.sink != nil {
		r.sink.Begin(status, header, requestID)
	}
}

// Write stores and passes on a part of the body.
func (r *answerRecorder) Write(b []byte) (int, error) {
	if r.overflow || len(r.body)+len(b) > r.limit {
		r.overflow, r.body = true, nil
	} else {
		r.body = append(r.body, b...)
	}
	if r.sink != nil && !r.sinkFailed {
		_, err := r.sink.Write(b)
		r.sinkFailed = err != nil
	}
	return len(b), nil
}

// answer returns what repeated requests receive. If the body exceeded the limit, that is only the code AnswerGone.
func (r *answerRecorder) answer(o Outcome) ticket.Answer {
	spec := ticket.AnswerSpec{Code: o.code, Detail: o.detail, RequestID: r.requestID}
	switch {
	case o.code != codes.OK:
		spec.RequestID, spec.VM = o.attempt, o.vm
	case r.overflow:
		spec.Code = codes.AnswerGone
	default:
		spec.Status, spec.Header, spec.Body = r.status, headerPairs(r.header), r.body
	}
	return ticket.NewAnswer(spec)
}

func headerPairs(h http.Header) []string {
	var out []string
	for name, values := range relay.ForwardedHeaders(h) {
		for _, v := range values {
			out = append(out, name, v)
		}
	}
	return out
}

// replay writes a stored answer to the sink.
func replay(a ticket.Answer, sink relay.Sink) Outcome {
	s := a.Spec()
	if s.Code != codes.OK {
		return Outcome{code: s.Code, detail: s.Detail}
	}
	header := http.Header{}
	for i := 0; i+1 < len(s.Header); i += 2 {
		header.Add(strings.Clone(s.Header[i]), s.Header[i+1])
	}
	sink.Begin(s.Status, header, s.RequestID)
	if _, err := sink.Write(s.Body); err != nil {
		return Outcome{code: codes.CallerLeft, begun: true}
	}
	return Outcome{begun: true}
}
