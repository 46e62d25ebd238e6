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
	// A call is tried at each gate this many times before it fails.
	maxRounds   = 3
	dialTimeout = 2 * time.Second
	callTimeout = 20 * time.Second
	// No attempt starts later than this after the call began.
	retryWindow    = 30 * time.Second
	maxAnswerBytes = 64 << 20
)

// Options configures a client.
type Options struct {
	Gates []string    // the gates' addresses, host:port, tried in turn
	Key   string      // the key that authenticates the caller
	TLS   *tls.Config // nil to connect without TLS
}

// Client sends calls to the gates in turn until one answers.
type Client struct {
	options Options
	scheme  string
	http    *http.Client
}

// New returns a client; it connects with the first call.
func New(options Options) *Client {
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig: options.TLS,
	}
	c := &Client{options: options, scheme: "http", http: &http.Client{Transport: transport, Timeout: callTimeout}}
	if options.TLS != nil {
		c.scheme = "https"
	}
	return c
}

// Call is one HTTP call of a gate's API.
type Call struct {
	Method     string // the HTTP method
	Path       string // path and query
	Body       []byte // empty for none
	AtMostOnce bool   // set if the gates don't deduplicate the call: it is not sent again once a gate may have acted on it
}

// Get sends a GET request and decodes the answer into out; errors are as for Do.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.Do(ctx, Call{Method: http.MethodGet, Path: path}, out)
}

// Write posts the body until a gate answers. The body holds the call's id, which makes a repeat idempotent.
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
	failure := &UnreachableError{}
	retryBackoff := backoff.NewExponentialBackOff()
	started := time.Now()
	for round := range maxRounds {
		if round > 0 && !sleep(ctx, retryBackoff.NextBackOff()) {
			break
		}
		if done, err := c.tryGates(ctx, call, out, failure, started.Add(retryWindow)); done {
			return err
		}
	}
	return failure.errorToReport()
}

// tryGates sends the call to each gate once until one answers, and reports whether the call is finished, with its error.
func (c *Client) tryGates(ctx context.Context, call Call, out any, failure *UnreachableError, deadline time.Time) (bool, error) {
	for _, gate := range c.options.Gates {
		if time.Now().After(deadline) {
			return true, failure.errorToReport()
		}
		err := c.send(ctx, gate, call, out)
		var refused *RefusedError
		switch {
		case err == nil:
			return true, nil
		case errors.As(err, &refused) && !mayOtherGateAnswer(refused.result.Code()):
			return true, err
		}
		failure.recordAttempt(gate, err, call.Method != http.MethodGet && !isKnownNotRun(err))
		if call.AtMostOnce && failure.mayHaveActed {
			return true, failure
		}
	}
	return false, nil
}

// mayOtherGateAnswer reports whether the call is worth sending to another gate after this code.
func mayOtherGateAnswer(c codes.Code) bool {
	switch c {
	case codes.GateNotReady, codes.GateStopping, codes.LogUnavailable, codes.NotYetInForce, codes.DispatcherLost:
		return true
	default:
		return false
	}
}

// errUnknownPath reports that a gate does not serve the path; the call can't have taken effect.
var errUnknownPath = errors.New("the gate does not know this call; is it of an older version?")

// isKnownNotRun reports whether the error proves that the gate did not act on the call.
func isKnownNotRun(err error) bool {
	if errors.Is(err, errUnknownPath) {
		return true
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.result.Outcome() == codes.NotRun
	}
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *Client) send(ctx context.Context, gate string, call Call, out any) error {
	url := c.scheme + "://" + gate + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader(call.Body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+c.options.Key)
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
				return errUnknownPath
			}
			return fmt.Errorf("HTTP status %d without a result code", status)
		}
		return &RefusedError{r}
	}
	if err := json.Unmarshal(data, out); err != nil {
		return fmt.Errorf("malformed answer: %w", err)
	}
	if r, ok := out.(*Result); ok {
		return refusedOrNil(*r)
	}
	return nil
}

// sleep reports false if the context ended before the duration did.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
