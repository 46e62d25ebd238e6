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

// Client calls the platform's log, VM list and pools. Time limits are set by the context of each call.
type Client struct {
	address string
	http    *http.Client
}

var errNoOffset = errors.New("answer without an offset")

type appendWire struct {
	Offset uint64 `json:"offset"`
}

type vmActionWire struct {
	RequestID  string `json:"request-id"`
	Generation uint64 `json:"generation"`
	Pool       string `json:"pool,omitempty"`
}

// NewClient returns a client of the platform at the address, a host and port.
func NewClient(address string) *Client {
	return &Client{address: address, http: newHTTPClient()}
}

// Append appends one entry to a stream of the log and returns its offset. The error is a *CallError.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (offset uint64, err error) {
	var answer appendWire
	path := "/log/" + url.PathEscape(stream) + "/append"
	err = call{method: http.MethodPost, address: c.address, path: path, body: data, out: &answer}.do(ctx, c.http)
	if err == nil && answer.Offset == 0 {
		return 0, &CallError{call: "append", effect: EffectUnknown, cause: errNoOffset}
	}
	return answer.Offset, err
}

// Read returns up to limit entries from the offset on, waiting for the first one if there is none yet. The error is a
// *CallError.
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

// VMs returns the VMs that changed after the version, waiting for the first change if there is none yet. The error is a
// *CallError.
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

// Reboot requests a reboot of the given generation of the VM. A repeated request id has no effect. The error is a *CallError.
func (c *Client) Reboot(ctx context.Context, vm string, generation uint64, requestID string) error {
	return c.postAction(ctx, vm, "reboot", vmActionWire{RequestID: requestID, Generation: generation})
}

// Reassign moves the given generation of the VM to a pool. A repeated request id has no effect. The error is a *CallError.
func (c *Client) Reassign(ctx context.Context, vm string, generation uint64, requestID, pool string) error {
	return c.postAction(ctx, vm, "reassign", vmActionWire{RequestID: requestID, Generation: generation, Pool: pool})
}

// Fence cuts off the given generation of the VM and ends its work. A repeated request id has no effect. The error is a
// *CallError.
func (c *Client) Fence(ctx context.Context, vm string, generation uint64, requestID string) error {
	return c.postAction(ctx, vm, "fence", vmActionWire{RequestID: requestID, Generation: generation})
}

func (c *Client) postAction(ctx context.Context, vm, action string, w vmActionWire) error {
	body, err := json.Marshal(w)
	if err != nil {
		return &CallError{call: action, effect: EffectNone, cause: err}
	}
	path := "/vms/" + url.PathEscape(vm) + "/" + action
	return call{method: http.MethodPost, address: c.address, path: path, body: body}.do(ctx, c.http)
}

func decimal(n uint64) string { return strconv.FormatUint(n, 10) }

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
