package gates

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"

	"mangowing/core/codes"
)

const (
	// A change is tried at each gate this often before its outcome is called unknown.
	rounds      = 3
	dialTimeout = 2 * time.Second
	callTimeout = 20 * time.Second
	// No further try begins after this time.
	callBudget     = 30 * time.Second
	maxAnswerBytes = 64 << 20
)

// Options configures a client.
type Options struct {
	Gates []string    // the gates' addresses, host:port, tried in turn
	Key   string      // the key that authenticates the caller
	TLS   *tls.Config // nil to connect without TLS
}

// Client calls the first gate that answers.
type Client struct {
	spec   Options
	scheme string
	http   *http.Client
}

// New returns a client that has not connected yet.
func New(spec Options) *Client {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig: spec.TLS,
	}
	c := &Client{spec: spec, scheme: "http", http: &http.Client{Transport: transport, Timeout: callTimeout}}
	if spec.TLS != nil {
		c.scheme = "https"
	}
	return c
}

// Call is one call of an interface of the gates.
type Call struct {
	Method     string // the HTTP method
	Path       string // path and query
	Body       []byte // empty for none
	AtMostOnce bool   // set if the gates don't deduplicate the call: it is not sent again once a gate may have received it
}

// Get decodes a gate's answer into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.Do(ctx, Call{Method: http.MethodGet, Path: path}, out)
}

// Write posts the body, which holds the call's id, until a gate answers; a repeat of the id changes nothing twice.
func (c *Client) Write(ctx context.Context, path string, body any) (Result, error) {
	payload, err := json.Marshal(body)
	if err != nil {
		return Result{}, err
	}
	var r Result
	err = c.Do(ctx, Call{Method: http.MethodPost, Path: path, Body: payload}, &r)
	return r, err
}

// Do sends the call until a gate answers and decodes the answer into out; errors are *RefusedError or *UnreachableError.
func (c *Client) Do(ctx context.Context, call Call, out any) error {
	failed := &UnreachableError{}
	wait := backoff.NewExponentialBackOff()
	begun := time.Now()
	for round := range rounds {
		if round > 0 && !pause(ctx, wait.NextBackOff()) {
			break
		}
		if done, err := c.askAll(ctx, call, out, failed, begun.Add(callBudget)); done {
			return err
		}
	}
	return failed.verdict()
}

func (c *Client) askAll(ctx context.Context, call Call, out any, failed *UnreachableError, until time.Time) (bool, error) {
	for _, gate := range c.spec.Gates {
		if time.Now().After(until) {
			return true, failed.verdict()
		}
		err := c.ask(ctx, gate, call, out)
		var refused *RefusedError
		switch {
		case err == nil:
			return true, nil
		case errors.As(err, &refused) && !elsewhere(refused.result.Code()):
			return true, err
		}
		failed.note(gate, err, call.Method != http.MethodGet && !surelyUnsent(err))
		if call.AtMostOnce && failed.received {
			return true, failed
		}
	}
	return false, nil
}

// elsewhere tells whether another gate may answer better.
func elsewhere(c codes.Code) bool {
	switch c {
	case codes.GateNotReady, codes.GateStopping, codes.LogUnavailable, codes.NotYetInForce, codes.DispatcherLost:
		return true
	default:
		return false
	}
}

// errNoSuchCall is a gate's answer to a path that it does not serve; nothing can have run.
var errNoSuchCall = errors.New("the gate does not know this call; is it of an older version?")

func surelyUnsent(err error) bool {
	if errors.Is(err, errNoSuchCall) {
		return true
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.result.Outcome() == codes.NotRun
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) ask(ctx context.Context, gate string, call Call, out any) error {
	url := c.scheme + "://" + gate + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.spec.Key)
	resp, err := c.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	return decode(resp.StatusCode, data, out)
}

func decode(status int, data []byte, out any) error {
	if status >= http.StatusBadRequest {
		var r Result
		if err := json.Unmarshal(data, &r); err != nil || r.Code() == codes.OK {
			if status == http.StatusNotFound || status == http.StatusMethodNotAllowed {
				return errNoSuchCall
			}
			return fmt.Errorf("HTTP status %d without a result code", status)
		}
		return &RefusedError{r}
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("malformed answer: %w", err)
	}
	if r, ok := out.(*Result); ok {
		return refusal(*r)
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
