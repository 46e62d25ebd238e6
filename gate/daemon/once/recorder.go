package once

import (
	"net/http"
	"strings"

	"mangowing/core/codes"
	"mangowing/core/ticket"
	"mangowing/gate/daemon/relay"
)

// recorder keeps an answer within a bound while it passes it on; a caller that left does not stop the recording.
type answerRecorder struct {
	to        relay.Sink
	limit     int
	status    int
	header    http.Header
	requestID string
	body      []byte
	overflow  bool
	lost      bool
}

// Begin notes and passes on the beginning of the answer.
func (r *answerRecorder) Begin(status int, header http.Header, requestID string) {
	r.status, r.header, r.requestID = status, header.Clone(), requestID
	if r.to != nil {
		r.to.Begin(status, header, requestID)
	}
}

// Write notes and passes on a part of the body.
func (r *answerRecorder) Write(b []byte) (int, error) {
	if r.overflow || len(r.body)+len(b) > r.limit {
		r.overflow, r.body = true, nil
	} else {
		r.body = append(r.body, b...)
	}
	if r.to != nil && !r.lost {
		_, err := r.to.Write(b)
		r.lost = err != nil
	}
	return len(b), nil
}

// answer returns what repeats get; an answer beyond the bound is only known to have been given.
func (r *answerRecorder) answer(o Outcome) ticket.Answer {
	spec := ticket.AnswerSpec{Code: o.code, Detail: o.detail, RequestID: r.requestID}
	switch {
	case o.code != codes.OK:
		spec.RequestID, spec.VM = o.attempt, o.vm
	case r.overflow:
		spec.Code = codes.AnswerGone
	default:
		spec.Status, spec.Header, spec.Body = r.status, flatten(r.header), r.body
	}
	return ticket.NewAnswer(spec)
}

func flatten(h http.Header) []string {
	var out []string
	for name, values := range relay.ForwardedHeaders(h) {
		for _, v := range values {
			out = append(out, name, v)
		}
	}
	return out
}

// replay hands a stored answer to the caller.
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
