package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

const (
	maxResponseBytes   = 64 << 20
	maxDetailBytes     = 512
	dialTimeout        = 2 * time.Second
	idleConnTimeout    = 30 * time.Second
	idleConnsPerTarget = 4
)

var errResponseTooLarge = errors.New("answer too large")

// call is an HTTP request to a host and port. The answer's JSON is decoded into out, unless out is nil.
type call struct {
	method  string
	address string
	path    string
	query   url.Values
	body    []byte
	out     any
}

func newHTTPClient() *http.Client {
	dialer := net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: idleConnsPerTarget,
			IdleConnTimeout:     idleConnTimeout,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (c call) name() string { return c.method + " " + c.path }

func (c call) url() string {
	target := "http://" + c.address + c.path
	if len(c.query) > 0 {
		target += "?" + c.query.Encode()
	}
	return target
}

// do sends the request and decodes the answer. The error is a *CallError.
func (c call) do(ctx context.Context, client *http.Client) error {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, c.method, c.url(), bytes.NewReader(c.body))
	if err != nil {
		return &CallError{call: c.name(), effect: EffectNone, cause: err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return &CallError{call: c.name(), effect: effectOfSendError(connected.Load()), cause: err}
	}
	defer resp.Body.Close()
	return c.readResponse(resp)
}

func effectOfSendError(connected bool) Effect {
	if connected {
		return EffectUnknown
	}
	return EffectNone
}

func (c call) readResponse(resp *http.Response) error {
	data, err := readLimited(resp.Body)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return c.statusError(resp.StatusCode, data)
	}
	if err == nil && c.out != nil {
		err = json.Unmarshal(data, c.out)
	}
	if err != nil {
		return &CallError{call: c.name(), effect: EffectUnknown, status: resp.StatusCode, cause: err}
	}
	return nil
}

func readLimited(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, maxResponseBytes+1))
	if err != nil {
		return data, err
	}
	if len(data) > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	return data, nil
}

func (c call) statusError(status int, data []byte) error {
	effect := EffectUnknown
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		effect = EffectRefused
	}
	detail := strings.TrimSpace(string(data[:min(len(data), maxDetailBytes)]))
	return &CallError{call: c.name(), effect: effect, status: status, detail: detail}
}
