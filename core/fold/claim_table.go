package fold

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	maxClaims           = 200_000          // a full table replaces its oldest claim, or refuses new ones if that is too young
	minClaimAge         = 30 * time.Minute // a full table must not drop younger claims
	maxClaimAge         = 24 * time.Hour   // older claims are removed
	claimHashBytes      = 16
	claimFanout         = 64
	minPackedClaimBytes = 2*claimHashBytes + 3
)

// claimHash is a truncated hash of a key or a digest. A collision causes a request to be refused, never to run twice.
type claimHash [claimHashBytes]byte

func hashOf(text string) claimHash {
	whole := sha256.Sum256([]byte(text))
	return claimHash(whole[:claimHashBytes])
}

// claimEntry is one stored claim.
type claimEntry struct {
	key      claimHash
	digest   claimHash
	holder   string
	atMs     int64
	revision uint64
}

// claimTable maps the hashes of keys to claims. Every write copies the leaf and the branch that it changes, so that copies
// of the table stay valid and the cost of publishing does not depend on the number of claims.
type claimTable struct {
	branches [claimFanout]*claimBranch
	count    int
}

type claimBranch [claimFanout][]claimEntry

func (t *claimTable) get(key claimHash) (claimEntry, bool) {
	branch := t.branches[key[0]%claimFanout]
	if branch == nil {
		return claimEntry{}, false
	}
	for _, e := range branch[key[1]%claimFanout] {
		if e.key == key {
			return e, true
		}
	}
	return claimEntry{}, false
}

// add stores a claim; its key must not be in the table.
func (t *claimTable) add(e claimEntry) {
	branch := t.copyBranch(e.key)
	leaf := branch[e.key[1]%claimFanout]
	longer := make([]claimEntry, len(leaf)+1)
	copy(longer, leaf)
	longer[len(leaf)] = e
	branch[e.key[1]%claimFanout] = longer
	t.count++
}

// remove deletes the claim on a key; the key must be in the table.
func (t *claimTable) remove(key claimHash) {
	branch := t.copyBranch(key)
	leaf := branch[key[1]%claimFanout]
	shorter := make([]claimEntry, 0, len(leaf))
	for _, e := range leaf {
		if e.key != key {
			shorter = append(shorter, e)
		}
	}
	branch[key[1]%claimFanout] = shorter
	t.count--
}

func (t *claimTable) copyBranch(key claimHash) *claimBranch {
	branch := &claimBranch{}
	if current := t.branches[key[0]%claimFanout]; current != nil {
		*branch = *current
	}
	t.branches[key[0]%claimFanout] = branch
	return branch
}

// sortedByRevision returns all claims, oldest first.
func (t *claimTable) sortedByRevision() []claimEntry {
	out := make([]claimEntry, 0, t.count)
	for _, branch := range t.branches {
		if branch == nil {
			continue
		}
		for _, leaf := range branch {
			out = append(out, leaf...)
		}
	}
	slices.SortFunc(out, func(a, b claimEntry) int { return cmp.Compare(a.revision, b.revision) })
	return out
}

// claimsWire is the packed form of the claims, oldest first. Each has the hashes of key and digest, then as varints the
// holder's index and the differences in revision and time from the previous claim.
type claimsWire struct {
	Holders []string `json:"holders"`
	Packed  []byte   `json:"packed"`
}

func (t *claimTable) pack() claimsWire {
	w := claimsWire{Packed: make([]byte, 0, t.count*minPackedClaimBytes)}
	index := map[string]int{}
	var previous claimEntry
	for _, e := range t.sortedByRevision() {
		if _, known := index[e.holder]; !known {
			index[e.holder] = len(w.Holders)
			w.Holders = append(w.Holders, e.holder)
		}
		w.Packed = append(append(w.Packed, e.key[:]...), e.digest[:]...)
		w.Packed = binary.AppendUvarint(w.Packed, uint64(index[e.holder]))
		w.Packed = binary.AppendUvarint(w.Packed, e.revision-previous.revision)
		w.Packed = binary.AppendVarint(w.Packed, e.atMs-previous.atMs)
		previous = e
	}
	return w
}

var errClaims = eris.New("the state's claims can't be read")

// unpack returns the packed claims, oldest first.
func (w claimsWire) unpack() ([]claimEntry, error) {
	var out []claimEntry
	var e claimEntry
	for rest := w.Packed; len(rest) > 0; {
		if len(rest) < 2*claimHashBytes {
			return nil, errClaims
		}
		e.key, e.digest = claimHash(rest[:claimHashBytes]), claimHash(rest[claimHashBytes:2*claimHashBytes])
		rest = rest[2*claimHashBytes:]
		holder, a := binary.Uvarint(rest)
		seq, b := binary.Uvarint(rest[max(a, 0):])
		at, c := binary.Varint(rest[max(a, 0)+max(b, 0):])
		if a <= 0 || b <= 0 || c <= 0 || holder >= uint64(len(w.Holders)) {
			return nil, errClaims
		}
		rest = rest[a+b+c:]
		e.holder, e.revision, e.atMs = w.Holders[holder], e.revision+seq, e.atMs+at
		out = append(out, e)
	}
	return out, nil
}
