package admin

import (
	"context"
	"net/http"

	"mangowing/core/codes"
	"mangowing/core/event"
	"mangowing/core/record"
)

const hashDigits = 64

type keysWire struct {
	Keys []keyRowWire `json:"keys"`
}

type keyRowWire struct {
	Hash      string `json:"hash"`
	Team      string `json:"team"`
	Label     string `json:"label"`
	Withdrawn bool   `json:"withdrawn"`
}

type keyGrantWire struct {
	author
	Team  string `json:"team"`
	Label string `json:"label"`
	Hash  string `json:"hash"`
}

func (s *Server) keys(w http.ResponseWriter, _ *http.Request) {
	st := s.deps.Control.State()
	out := keysWire{Keys: []keyRowWire{}}
	for _, hash := range st.KeyHashes() {
		k, _ := st.Key(hash)
		out.Keys = append(out.Keys, keyRowWire{hash, k.Team(), k.Label(), s.deps.Control.IsWithdrawn(hash)})
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) grantKey(w http.ResponseWriter, r *http.Request) {
	var body keyGrantWire
	if err := readJSON(r, &body); err != nil {
		writeError(w, err)
		return
	}
	if len(body.Hash) != hashDigits {
		writeError(w, codes.Errorf(codes.MalformedRequest, "hash: expected %d hex digits", hashDigits))
		return
	}
	rec := s.recordOf(body.author, record.NewKeyGrant(body.Hash, body.Team, body.Label))
	s.commit(w, r, rec, "key-grant", event.Fields{Team: body.Team})
}

// withdrawKey withdraws the key at every gate that can be reached before it appends the record, so that it also takes
// effect while the log is down.
func (s *Server) withdrawKey(w http.ResponseWriter, r *http.Request) {
	var body keyGrantWire
	if err := readJSON(r, &body); err != nil {
		writeError(w, err)
		return
	}
	k, known := s.deps.Control.State().Key(body.Hash)
	if !known {
		writeError(w, codes.Errorf(codes.ObjectUnknown, "no key with this hash"))
		return
	}
	s.deps.Control.Withdraw(context.WithoutCancel(r.Context()), body.Hash)
	rec := s.recordOf(body.author, record.NewKeyWithdraw(body.Hash))
	s.commit(w, r, rec, "key-withdraw", event.Fields{Team: k.Team()})
}
