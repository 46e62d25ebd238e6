package opsapi

import (
	"context"
	"crypto/rand"

	"mangowing/mango/gates"
)

// Result is a gate's answer to a call that writes a record.
type Result = gates.Result

// Client calls the operators' API of the first gate that answers.
type Client struct {
	gates    *gates.Client
	operator string
}

// New returns a client whose writes carry the operator's name.
func New(options gates.Options, operator string) *Client {
	return &Client{gates.New(options), operator}
}

func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.gates.Get(ctx, path, out)
}

func (c *Client) write(ctx context.Context, path string, body any) (Result, error) {
	return c.gates.Write(ctx, path, body)
}

func newID() string { return rand.Text() }
