package record

import (
	"crypto/rand"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// ErrMalformed is returned for bytes that are not a record of a known kind.
var ErrMalformed = eris.New("malformed record")

// Body is the content of a record. Only the types of this package implement it.
type Body interface {
	kind() string
	wire() any
}

// Record is one record in the log: its unique id, its writer, the writer's wall clock and a body.
type Record struct {
	id     string
	writer string
	atMs   int64
	body   Body
}

type recordWire struct {
	ID     string          `json:"id"`
	Writer string          `json:"by"`
	AtMs   int64           `json:"at-ms"`
	Kind   string          `json:"kind"`
	Body   json.RawMessage `json:"body"`
}

// New returns a record with a new random id, written by the named writer at the wall clock in Unix milliseconds.
func New(by string, atMs int64, body Body) Record {
	return Record{id: rand.Text(), writer: by, atMs: atMs, body: body}
}

// NewWithID returns a record with the given id; another record with the same id changes nothing when folded.
func NewWithID(id, by string, atMs int64, body Body) Record {
	return Record{id: id, writer: by, atMs: atMs, body: body}
}

// ID returns the record's unique id.
func (r Record) ID() string { return r.id }

// Writer returns the writer: an operator's name or a gate's incarnation.
func (r Record) Writer() string { return r.writer }

// AtMs returns the writer's wall clock in Unix milliseconds.
func (r Record) AtMs() int64 { return r.atMs }

// Body returns the record's content.
func (r Record) Body() Body { return r.body }

// Encode returns the record's JSON form.
func (r Record) Encode() (json.RawMessage, error) {
	body, err := json.Marshal(r.body.wire())
	if err != nil {
		return nil, eris.Wrap(err, "encode record body")
	}
	out, err := json.Marshal(recordWire{r.id, r.writer, r.atMs, r.body.kind(), body})
	return out, eris.Wrap(err, "encode record")
}

// Decode parses the JSON form of a record and returns ErrMalformed for anything else.
func Decode(raw json.RawMessage) (Record, error) {
	var w recordWire
	if err := json.Unmarshal(raw, &w); err != nil || w.ID == "" {
		return Record{}, ErrMalformed
	}
	body, err := decodeBody(w.Kind, w.Body)
	if err != nil {
		return Record{}, err
	}
	return Record{w.ID, w.Writer, w.AtMs, body}, nil
}

// EncodeBatch returns the records as the JSON array to append as one log entry.
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

// SplitBatch returns the encoded records of one log entry, ErrMalformed if the entry is not a JSON array.
func SplitBatch(data []byte) ([]json.RawMessage, error) {
	var raws []json.RawMessage
	if err := json.Unmarshal(data, &raws); err != nil {
		return nil, ErrMalformed
	}
	return raws, nil
}
