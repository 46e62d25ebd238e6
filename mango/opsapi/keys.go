package opsapi

import (
	"context"
	"encoding/json"
)

// KeyRow is one granted key, identified by its hash; the gates don't store the key itself.
type KeyRow struct {
	w keyWire
}

type keyWire struct {
	Hash      string `json:"hash"`
	Team      string `json:"team"`
	Label     string `json:"label,omitempty"`
	Withdrawn bool   `json:"withdrawn"`
}

// Hash returns the key's hex SHA-256 hash.
func (k KeyRow) Hash() string { return k.w.Hash }

// Team returns the team that the key works for.
func (k KeyRow) Team() string { return k.w.Team }

// Label returns the operator's label.
func (k KeyRow) Label() string { return k.w.Label }

// IsWithdrawn reports whether the key has been withdrawn; a withdrawn key is never valid again.
func (k KeyRow) IsWithdrawn() bool { return k.w.Withdrawn }

// MarshalJSON returns the wire form.
func (k KeyRow) MarshalJSON() ([]byte, error) { return json.Marshal(k.w) }

// UnmarshalJSON reads the wire form.
func (k *KeyRow) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &k.w) }

type grantWire struct {
	ID    string `json:"id"`
	By    string `json:"by"`
	Team  string `json:"team"`
	Label string `json:"label,omitempty"`
	Hash  string `json:"hash"`
}

type withdrawWire struct {
	ID   string `json:"id"`
	By   string `json:"by"`
	Hash string `json:"hash"`
}

// Keys returns all keys ever granted, withdrawn ones included.
func (c *Client) Keys(ctx context.Context) ([]KeyRow, error) {
	var answer struct {
		Keys []KeyRow `json:"keys"`
	}
	err := c.get(ctx, "/ops/v1/keys", &answer)
	return answer.Keys, err
}

// GrantKey authorises callers that present the key with this hash to send the team's work.
func (c *Client) GrantKey(ctx context.Context, team, label, hash string) (Result, error) {
	return c.write(ctx, "/ops/v1/keys", grantWire{newID(), c.operator, team, label, hash})
}

// WithdrawKey revokes the key with this hash permanently.
func (c *Client) WithdrawKey(ctx context.Context, hash string) (Result, error) {
	return c.write(ctx, "/ops/v1/keys/withdraw", withdrawWire{newID(), c.operator, hash})
}
