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
	claimsMost      = 200_000
	claimKeptLeast  = 30 * time.Minute
	claimKeptMost   = 24 * time.Hour
	claimSumBytes   = 16
	claimFan        = 64
	leastPackedSize = 2*claimSumBytes + 3
)

// claimSum is a hash that stands for a key or a digest; if two were ever the same, a request would be refused, not run twice.
type claimSum [claimSumBytes]byte

func sumOf(text string) claimSum {
	whole := sha256.Sum256([]byte(text))
	return claimSum(whole[:claimSumBytes])
}

// claimEntry is one claim as it is kept.
type claimEntry struct {
	key    claimSum
	digest claimSum
	holder string
	atMs   int64
	seq    uint64
}

// claimTable keeps claims under their keys' hashes. Every write copies the leaf and the branch that it changes, so that a
// copy of the table stays valid and publishing costs the same for any number of claims.
type claimTable struct {
	branches [claimFan]*claimBranch
	n        int
}

type claimBranch [claimFan][]claimEntry

func (t *claimTable) get(key claimSum) (claimEntry, bool) {
	branch := t.branches[key[0]%claimFan]
	if branch == nil {
		return claimEntry{}, false
	}
	for _, e := range branch[key[1]%claimFan] {
		if e.key == key {
			return e, true
		}
	}
	return claimEntry{}, false
}

// add stores a claim whose key the table does not have.
func (t *claimTable) add(e claimEntry) {
	branch := t.copyBranch(e.key)
	leaf := branch[e.key[1]%claimFan]
	longer := make([]claimEntry, len(leaf)+1)
	copy(longer, leaf)
	longer[len(leaf)] = e
	branch[e.key[1]%claimFan] = longer
	t.n++
}

// remove drops the claim of a key that the table has.
func (t *claimTable) remove(key claimSum) {
	branch := t.copyBranch(key)
	leaf := branch[key[1]%claimFan]
	shorter := make([]claimEntry, 0, len(leaf))
	for _, e := range leaf {
		if e.key != key {
			shorter = append(shorter, e)
		}
	}
	branch[key[1]%claimFan] = shorter
	t.n--
}

func (t *claimTable) copyBranch(key claimSum) *claimBranch {
	branch := &claimBranch{}
	if current := t.branches[key[0]%claimFan]; current != nil {
		*branch = *current
	}
	t.branches[key[0]%claimFan] = branch
	return branch
}

// inOrder returns all claims, oldest first.
func (t *claimTable) inOrder() []claimEntry {
	out := make([]claimEntry, 0, t.n)
	for _, branch := range t.branches {
		if branch == nil {
			continue
		}
		for _, leaf := range branch {
			out = append(out, leaf...)
		}
	}
	slices.SortFunc(out, func(a, b claimEntry) int { return cmp.Compare(a.seq, b.seq) })
	return out
}

// claimsWire packs the claims, oldest first: hashes of key and digest, then as varints the holder's index, the steps of
// revision and time.
type claimsWire struct {
	Holders []string `json:"holders"`
	Packed  []byte   `json:"packed"`
}

func (t *claimTable) pack() claimsWire {
	w := claimsWire{Packed: make([]byte, 0, t.n*leastPackedSize)}
	index := map[string]int{}
	var previous claimEntry
	for _, e := range t.inOrder() {
		if _, known := index[e.holder]; !known {
			index[e.holder] = len(w.Holders)
			w.Holders = append(w.Holders, e.holder)
		}
		w.Packed = append(append(w.Packed, e.key[:]...), e.digest[:]...)
		w.Packed = binary.AppendUvarint(w.Packed, uint64(index[e.holder]))
		w.Packed = binary.AppendUvarint(w.Packed, e.seq-previous.seq)
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
		if len(rest) < 2*claimSumBytes {
			return nil, errClaims
		}
		e.key, e.digest = claimSum(rest[:claimSumBytes]), claimSum(rest[claimSumBytes:2*claimSumBytes])
		rest = rest[2*claimSumBytes:]
		holder, a := binary.Uvarint(rest)
		seq, b := binary.Uvarint(rest[max(a, 0):])
		at, c := binary.Varint(rest[max(a, 0)+max(b, 0):])
		if a <= 0 || b <= 0 || c <= 0 || holder >= uint64(len(w.Holders)) {
			return nil, errClaims
		}
		rest = rest[a+b+c:]
		e.holder, e.seq, e.atMs = w.Holders[holder], e.seq+seq, e.atMs+at
		out = append(out, e)
	}
	return out, nil
}
