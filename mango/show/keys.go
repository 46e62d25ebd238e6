package show

import (
	"fmt"

	"mangowing/mango/opsapi"
)

const hashPrefixLength = 12

// GrantedKey is the view of a key that was just granted, including the key itself.
type GrantedKey struct {
	key    string
	hash   string
	team   string
	result opsapi.Result
}

// NewGrantedKey returns the view of a new key, which is printed only this once. The key is empty if it was written to a file.
func NewGrantedKey(key, hash, team string, r opsapi.Result) GrantedKey {
	return GrantedKey{key, hash, team, r}
}

func (g GrantedKey) jsonValue() any {
	return struct {
		Key    string        `json:"key,omitempty"`
		Hash   string        `json:"hash"`
		Team   string        `json:"team"`
		Result opsapi.Result `json:"result"`
	}{g.key, g.hash, g.team, g.result}
}

func (g GrantedKey) text() string {
	out := fmt.Sprintf("team  %s\nhash  %s\n", g.team, g.hash)
	if g.key != "" {
		out = fmt.Sprintf("key   %s\n", g.key) + out
	}
	out += WriteResult{g.result}.text()
	if g.key != "" {
		out += "The key is shown only this once.\n"
	}
	return out
}

// Keys is the view of the list of granted keys.
type Keys struct {
	rows []opsapi.KeyRow
}

// NewKeys returns the view of the keys.
func NewKeys(rows []opsapi.KeyRow) Keys { return Keys{rows} }

func (k Keys) jsonValue() any {
	return struct {
		Keys []opsapi.KeyRow `json:"keys"`
	}{emptyIfNil(k.rows)}
}

func (k Keys) text() string {
	t := newTable("HASH", "TEAM", "STATE", "LABEL")
	for _, row := range k.rows {
		state := "granted"
		if row.IsWithdrawn() {
			state = "withdrawn"
		}
		t.row(row.Hash()[:min(hashPrefixLength, len(row.Hash()))], row.Team(), state, row.Label())
	}
	return t.String()
}
