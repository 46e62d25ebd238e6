package show

import (
	"fmt"

	"mangowing/mango/opsapi"
)

const shortHash = 12

// Grant is a key that was just granted; it holds the key itself.
type Grant struct {
	key    string
	hash   string
	team   string
	result opsapi.Result
}

// NewGrant returns the view that shows a key for the only time; an empty key was written to a file.
func NewGrant(key, hash, team string, r opsapi.Result) Grant { return Grant{key, hash, team, r} }

func (g Grant) value() any {
	return struct {
		Key    string        `json:"key,omitempty"`
		Hash   string        `json:"hash"`
		Team   string        `json:"team"`
		Result opsapi.Result `json:"result"`
	}{g.key, g.hash, g.team, g.result}
}

func (g Grant) text() string {
	out := fmt.Sprintf("team  %s\nhash  %s\n", g.team, g.hash)
	if g.key != "" {
		out = fmt.Sprintf("key   %s\n", g.key) + out
	}
	out += Applied{g.result}.text()
	if g.key != "" {
		out += "The key is shown only this once.\n"
	}
	return out
}

// Keys is the list of granted keys.
type Keys struct {
	rows []opsapi.KeyRow
}

// NewKeys returns the view of the keys.
func NewKeys(rows []opsapi.KeyRow) Keys { return Keys{rows} }

func (k Keys) value() any {
	return struct {
		Keys []opsapi.KeyRow `json:"keys"`
	}{list(k.rows)}
}

func (k Keys) text() string {
	t := newTable("HASH", "TEAM", "STATE", "LABEL")
	for _, row := range k.rows {
		state := "granted"
		if row.Withdrawn() {
			state = "withdrawn"
		}
		t.row(row.Hash()[:min(shortHash, len(row.Hash()))], row.Team(), state, row.Label())
	}
	return t.String()
}
