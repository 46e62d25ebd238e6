package opsapi

import (
	"context"
	"encoding/json"

	"mangowing/core/codes"
	"mangowing/core/record"
)

// Declarations holds the declared sections in force at one gate.
type Declarations struct {
	w declarationsWire
}

type declarationsWire struct {
	Revision uint64          `json:"revision"`
	Offset   uint64          `json:"offset"`
	Objects  []record.Object `json:"objects"`
}

// Offset returns the last log offset that the gate has applied.
func (d Declarations) Offset() uint64 { return d.w.Offset }

// Objects returns all sections. The base of each is its revision in force.
func (d Declarations) Objects() []record.Object { return d.w.Objects }

// UnmarshalJSON reads the wire form.
func (d *Declarations) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &d.w) }

type changeWire struct {
	ID      string          `json:"id"`
	By      string          `json:"by"`
	Note    string          `json:"note,omitempty"`
	Objects []record.Object `json:"objects"`
}

// Objects returns the declared sections in force.
func (c *Client) Objects(ctx context.Context) (Declarations, error) {
	var d Declarations
	return d, c.get(ctx, "/ops/v1/objects", &d)
}

// Change replaces the given sections atomically.
func (c *Client) Change(ctx context.Context, objects []record.Object, note string) (Result, error) {
	return c.write(ctx, "/ops/v1/changes", changeWire{newID(), c.operator, note, objects})
}

// HistoryRow is one accepted or refused change.
type HistoryRow struct {
	w historyWire
}

type historyWire struct {
	Revision uint64     `json:"revision"`
	ID       string     `json:"id"`
	By       string     `json:"by"`
	AtMs     int64      `json:"at-ms"`
	Note     string     `json:"note,omitempty"`
	Objects  int        `json:"objects"`
	Code     codes.Code `json:"code"`
}

// Revision returns the change's position in the log's order of records.
func (h HistoryRow) Revision() uint64 { return h.w.Revision }

// Operator returns the name of the operator who made the change.
func (h HistoryRow) Operator() string { return h.w.By }

// AtMs returns the writer's wall clock in Unix milliseconds.
func (h HistoryRow) AtMs() int64 { return h.w.AtMs }

// Note returns the operator's note.
func (h HistoryRow) Note() string { return h.w.Note }

// Objects returns the number of sections changed.
func (h HistoryRow) Objects() int { return h.w.Objects }

// Code returns the numbered result.
func (h HistoryRow) Code() codes.Code { return h.w.Code }

// MarshalJSON returns the wire form.
func (h HistoryRow) MarshalJSON() ([]byte, error) { return json.Marshal(h.w) }

// UnmarshalJSON reads the wire form.
func (h *HistoryRow) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &h.w) }

// History returns the last changes, oldest first.
func (c *Client) History(ctx context.Context) ([]HistoryRow, error) {
	var answer struct {
		Changes []HistoryRow `json:"changes"`
	}
	err := c.get(ctx, "/ops/v1/history", &answer)
	return answer.Changes, err
}
