package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"mangowing/core/codes"
	"mangowing/gate/daemon/queue"
)

// Headers that the gate exchanges with upstreams and callers.
const (
	HeaderRequestID = "Mango-Request-Id"
	HeaderTeam      = "Mango-Team"
	HeaderQueue     = "Mango-Queue"
	HeaderGate      = "Mango-Gate"
	HeaderRefused   = "Mango-Refused"
	HeaderOutcome   = "Mango-Outcome"
	HeaderCode      = "Mango-Code"
)

const (
	dialTimeout        = 500 * time.Millisecond
	idleTimeout        = 30 * time.Second
	maxIdlePerUpstream = 16
	maxBufferedBytes   = 64 << 10
	copyBufferBytes    = 32 << 10
)

// UpstreamClient sends requests to workers over reused connections.
type UpstreamClient struct {
	client *http.Client
}

// NewUpstreamClient returns a client with its own connection pool.
func NewUpstreamClient() *UpstreamClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &UpstreamClient{client: &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdlePerUpstream,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// CloseIdle closes the idle connections.
func (u *UpstreamClient) CloseIdle() { u.client.CloseIdleConnections() }

// upstreamAnswer is an upstream's answer with checked headers and its first bytes read.
type upstreamAnswer struct {
	status     int
	header     http.Header
	buffered   []byte
	isComplete bool
	body       io.ReadCloser
}

// send sends the request to the granted VM, with the grant's id as the attempt's id. The error is a *codes.Error: with
// UpstreamUnreached and UpstreamRefused the request certainly did not start, with all others it may have.
func (u *UpstreamClient) send(ctx context.Context, r Request, g queue.Grant) (*upstreamAnswer, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := u.newHTTPRequest(httptrace.WithClientTrace(ctx, trace), r, g)
	if err != nil {
		return nil, err
	}
	resp, err := u.client.Do(req)
	if err != nil && !connected.Load() {
		return nil, codes.Errorf(codes.UpstreamUnreached, "no connection")
	}
	if err != nil {
		return nil, brokenError(ctx, "no answer")
	}
	if resp.StatusCode == http.StatusTooManyRequests && resp.Header.Get(HeaderRefused) != "" {
		discard(resp.Body)
		return nil, codes.Errorf(codes.UpstreamRefused, "%s", resp.Header.Get(HeaderRefused))
	}
	if resp.Header.Get(HeaderRequestID) != g.Request() {
		_ = resp.Body.Close()
		u.client.CloseIdleConnections()
		return nil, codes.Errorf(codes.AnswerBroken, "the answer belongs to another request")
	}
	return bufferAnswer(ctx, resp)
}

func (u *UpstreamClient) newHTTPRequest(ctx context.Context, r Request, g queue.Grant) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.Address()+"/run", r.reader())
	if err != nil {
		return nil, codes.Errorf(codes.UpstreamUnreached, "address")
	}
	req.GetBody = nil
	req.ContentLength = r.length()
	for name, values := range r.spec.Header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderRequestID, g.Request())
	req.Header.Set(HeaderTeam, r.spec.Team)
	req.Header.Set(HeaderQueue, r.spec.Queue)
	req.Header.Set(HeaderGate, g.Dispatcher())
	return req, nil
}

// bufferAnswer reads the first bytes of the answer, so that a truncated answer that fits into the buffer is detected before
// any of it is sent to the caller.
func bufferAnswer(ctx context.Context, resp *http.Response) (*upstreamAnswer, error) {
	var buffered bytes.Buffer
	_, err := io.CopyN(&buffered, resp.Body, maxBufferedBytes)
	answer := &upstreamAnswer{status: resp.StatusCode, header: resp.Header, buffered: buffered.Bytes(), body: resp.Body}
	switch {
	case err == nil:
		return answer, nil
	case errors.Is(err, io.EOF):
		answer.isComplete = true
		_ = resp.Body.Close()
		return answer, nil
	default:
		_ = resp.Body.Close()
		return nil, brokenError(ctx, "the answer ended early")
	}
}

func brokenError(ctx context.Context, detail string) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return codes.Errorf(codes.UpstreamTimeout, "")
	}
	if detail == "no answer" {
		return codes.Errorf(codes.UpstreamBroke, "%s", detail)
	}
	return codes.Errorf(codes.AnswerBroken, "%s", detail)
}

func discard(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, copyBufferBytes)
	_ = body.Close()
}
