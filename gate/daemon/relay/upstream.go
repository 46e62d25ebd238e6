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

// Headers between gate and upstream, and between gate and caller.
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
	dialTimeout     = 500 * time.Millisecond
	idleTimeout     = 30 * time.Second
	idlePerUpstream = 16
	heldBytes       = 64 << 10
	copyBytes       = 32 << 10
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
			MaxIdleConnsPerHost: idlePerUpstream,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// CloseIdle closes the connections that carry nothing.
func (u *UpstreamClient) CloseIdle() { u.client.CloseIdleConnections() }

// reply is an upstream's answer whose header was checked and whose first bytes are held.
type reply struct {
	status int
	header http.Header
	held   []byte
	whole  bool
	body   io.ReadCloser
}

// send carries the request to the granted VM; the upstream knows the attempt by the grant's id. The error is a *codes.Error: UpstreamUnreached and UpstreamRefused say that
// it surely did not start, all others that it may have.
func (u *UpstreamClient) send(ctx context.Context, r Request, g queue.Grant) (*reply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := u.request(httptrace.WithClientTrace(ctx, trace), r, g)
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
		drop(resp.Body)
		return nil, codes.Errorf(codes.UpstreamRefused, "%s", resp.Header.Get(HeaderRefused))
	}
	if resp.Header.Get(HeaderRequestID) != g.Request() {
		_ = resp.Body.Close()
		u.client.CloseIdleConnections()
		return nil, codes.Errorf(codes.AnswerBroken, "the answer belongs to another request")
	}
	return hold(ctx, resp)
}

func (u *UpstreamClient) request(ctx context.Context, r Request, g queue.Grant) (*http.Request, error) {
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

// hold reads the first bytes of the answer, so that a short answer which fits is noticed before the caller gets any of it.
func hold(ctx context.Context, resp *http.Response) (*reply, error) {
	var held bytes.Buffer
	_, err := io.CopyN(&held, resp.Body, heldBytes)
	out := &reply{status: resp.StatusCode, header: resp.Header, held: held.Bytes(), body: resp.Body}
	switch {
	case err == nil:
		return out, nil
	case errors.Is(err, io.EOF):
		out.whole = true
		_ = resp.Body.Close()
		return out, nil
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

func drop(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, copyBytes)
	_ = body.Close()
}
