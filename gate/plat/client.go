package plat

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Client calls the platform's log, VM list and pools; deadlines come from each call's context.
type Client struct {
	address string
	http    *http.Client
}

var errNoOffset = errors.New("answer without an offset")

type appendAnswer struct {
	Offset uint64 `json:"offset"`
}

type vmActionWire struct {
	RequestID  string `json:"request-id"`
	Generation uint64 `json:"generation"`
	Pool       string `json:"pool,omitempty"`
}

// NewClient returns a client of the platform at a host and port.
func NewClient(address string) *Client {
	return &Client{address: address, http: newHTTPClient()}
}

// Append adds one entry to a stream of the log and returns its offset; the error is a *CallError.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (offset uint64, err error) {
	var answer appendAnswer
	path := "/log/" + url.PathEscape(stream) + "/append"
	err = call{method: http.MethodPost, address: c.address, path: path, body: data, out: &answer}.do(ctx, c.http)
	if err == nil && answer.Offset == 0 {
		return 0, &CallError{call: "append", effect: EffectUnknown, cause: errNoOffset}
	}
	return answer.Offset, err
}

// Read returns up to limit entries from the offset on and waits for the first one up to wait; the error is a *CallError.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	var page Page
	err := call{
		method:  http.MethodGet,
		address: c.address,
		path:    "/log/" + url.PathEscape(stream) + "/read",
		query:   url.Values{"from": {decimal(from)}, "max": {strconv.Itoa(limit)}, "wait-ms": {milliseconds(wait)}},
		out:     &page.w,
	}.do(ctx, c.http)
	return page, err
}

// VMs returns the VMs changed after the version and waits for the first change up to wait; the error is a *CallError.
func (c *Client) VMs(ctx context.Context, since uint64, wait time.Duration) (VMPage, error) {
	var page VMPage
	err := call{
		method:  http.MethodGet,
		address: c.address,
		path:    "/vms",
		query:   url.Values{"since": {decimal(since)}, "wait-ms": {milliseconds(wait)}},
		out:     &page.w,
	}.do(ctx, c.http)
	return page, err
}

// Reboot asks for a reboot of the VM's generation; a repeat of the request id does nothing; the error is a *CallError.
func (c *Client) Reboot(ctx context.Context, vm string, generation uint64, requestID string) error {
	return c.act(ctx, vm, "reboot", vmActionWire{RequestID: requestID, Generation: generation})
}

// Reassign puts the VM's generation into a pool; a repeat of the request id does nothing; the error is a *CallError.
func (c *Client) Reassign(ctx context.Context, vm string, generation uint64, requestID, pool string) error {
	return c.act(ctx, vm, "reassign", vmActionWire{RequestID: requestID, Generation: generation, Pool: pool})
}

// Fence cuts the VM's generation off and ends its work; a repeat of the request id does nothing; the error is a *CallError.
func (c *Client) Fence(ctx context.Context, vm string, generation uint64, requestID string) error {
	return c.act(ctx, vm, "fence", vmActionWire{RequestID: requestID, Generation: generation})
}

func (c *Client) act(ctx context.Context, vm, action string, w vmActionWire) error {
	body, err := json.Marshal(w)
	if err != nil {
		return &CallError{call: action, effect: EffectNone, cause: err}
	}
	path := "/vms/" + url.PathEscape(vm) + "/" + action
	return call{method: http.MethodPost, address: c.address, path: path, body: body}.do(ctx, c.http)
}

func decimal(n uint64) string { return strconv.FormatUint(n, 10) }

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
