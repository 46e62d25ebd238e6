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
	maxAnswerBytes     = 64 << 20
	maxDetailBytes     = 512
	dialTimeout        = 2 * time.Second
	idleConnTimeout    = 30 * time.Second
	idleConnsPerTarget = 4
)

var errAnswerTooLarge = errors.New("answer too large")

// call is one request to a host and port; the answer is decoded into out unless out is nil.
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

// do makes the call; its error is a *CallError.
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
		return &CallError{call: c.name(), effect: effectOfTransport(connected.Load()), cause: err}
	}
	defer resp.Body.Close()
	return c.readAnswer(resp)
}

func effectOfTransport(connected bool) Effect {
	if connected {
		return EffectUnknown
	}
	return EffectNone
}

func (c call) readAnswer(resp *http.Response) error {
	data, err := readLimited(resp.Body)
	if resp.StatusCode >= http.StatusMultipleChoices {
		return c.badStatus(resp.StatusCode, data)
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
	data, err := io.ReadAll(io.LimitReader(r, maxAnswerBytes+1))
	if err != nil {
		return data, err
	}
	if len(data) > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	return data, nil
}

func (c call) badStatus(status int, data []byte) error {
	effect := EffectUnknown
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		effect = EffectRefused
	}
	detail := strings.TrimSpace(string(data[:min(len(data), maxDetailBytes)]))
	return &CallError{call: c.name(), effect: effect, status: status, detail: detail}
}
