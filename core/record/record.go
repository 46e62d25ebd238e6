package record

import (
	"crypto/rand"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// ErrMalformed is returned for bytes that are no record of a known kind.
var ErrMalformed = eris.New("malformed record")

// Body is what a record says; its kinds are the types of this package only.
type Body interface {
	kind() string
	wire() any
}

// Record is one entry of the log: an id unique to its writer, the writer, its wall clock and a body.
type Record struct {
	id   string
	by   string
	atMs int64
	body Body
}

type recordWire struct {
	ID   string          `json:"id"`
	By   string          `json:"by"`
	AtMs int64           `json:"at-ms"`
	Kind string          `json:"kind"`
	Body json.RawMessage `json:"body"`
}

// New returns a record with a fresh random id, written by the named writer at the wall clock in milliseconds.
func New(by string, atMs int64, body Body) Record {
	return Record{id: rand.Text(), by: by, atMs: atMs, body: body}
}

// NewWithID returns a record whose id the caller chose; a repeat of the id folds to nothing.
func NewWithID(id, by string, atMs int64, body Body) Record {
	return Record{id: id, by: by, atMs: atMs, body: body}
}

// ID returns the record's unique id.
func (r Record) ID() string { return r.id }

// Writer returns the writer: an operator's name or a gate's incarnation.
func (r Record) Writer() string { return r.by }

// AtMs returns the writer's wall clock in Unix milliseconds.
func (r Record) AtMs() int64 { return r.atMs }

// Body returns what the record says.
func (r Record) Body() Body { return r.body }

// Encode returns the record's JSON form.
func (r Record) Encode() (json.RawMessage, error) {
	body, err := json.Marshal(r.body.wire())
	if err != nil {
		return nil, eris.Wrap(err, "encode record body")
	}
	out, err := json.Marshal(recordWire{r.id, r.by, r.atMs, r.body.kind(), body})
	return out, eris.Wrap(err, "encode record")
}

// Decode returns the record in its JSON form, ErrMalformed for anything else.
func Decode(raw json.RawMessage) (Record, error) {
	var w recordWire
	if err := json.Unmarshal(raw, &w); err != nil || w.ID == "" {
		return Record{}, ErrMalformed
	}
	body, err := decodeBody(w.Kind, w.Body)
	if err != nil {
		return Record{}, err
	}
	return Record{w.ID, w.By, w.AtMs, body}, nil
}

// EncodeBatch returns the JSON array that is appended as one log entry.
func EncodeBatch(records []Record) ([]byte, error) {
	raws := make([]json.RawMessage, 0, len(records))
	for _, r := range records {
		raw, err := r.Encode()
		if err != nil {
			return nil, err
		}
		raws = append(raws, raw)
	}
	return json.Marshal(raws)
}

// SplitBatch returns the records of one log entry still encoded, ErrMalformed if it is no JSON array.
func SplitBatch(data []byte) ([]json.RawMessage, error) {
	var raws []json.RawMessage
	if err := json.Unmarshal(data, &raws); err != nil {
		return nil, ErrMalformed
	}
	return raws, nil
}
