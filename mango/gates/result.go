package gates

import (
	"encoding/json"
	"time"

	"mangowing/core/codes"
)

// Result is a gate's answer to a call that writes a record.
type Result struct {
	w resultWire
}

type resultWire struct {
	ID          string     `json:"id"`
	Code        codes.Code `json:"code"`
	Name        string     `json:"name"`
	Outcome     string     `json:"outcome"`
	Detail      string     `json:"detail,omitempty"`
	Faults      []string   `json:"faults,omitempty"`
	Revision    uint64     `json:"revision,omitempty"`
	Offset      uint64     `json:"offset,omitempty"`
	InForce     int        `json:"in-force"`
	Gates       int        `json:"gates"`
	SlowestGate string     `json:"slowest-gate,omitempty"`
	SlowestMs   int64      `json:"slowest-ms,omitempty"`
}

// ID returns the id of the call's record.
func (r Result) ID() string { return r.w.ID }

// Code returns the numbered result.
func (r Result) Code() codes.Code { return r.w.Code }

// Outcome returns whether the call took effect, if that is known.
func (r Result) Outcome() codes.Outcome { return codes.ParseOutcome(r.w.Outcome) }

// Detail returns the explanation of the result.
func (r Result) Detail() string { return r.w.Detail }

// Faults returns every fault of a refused change.
func (r Result) Faults() []string { return r.w.Faults }

// Revision returns the record's position in the log's order of records, 0 if it was refused.
func (r Result) Revision() uint64 { return r.w.Revision }

// InForce returns the number of gates that have applied the record.
func (r Result) InForce() int { return r.w.InForce }

// Gates returns the number of gates that were queried.
func (r Result) Gates() int { return r.w.Gates }

// Slowest returns the last gate that applied the record and the time from the append to its answer.
func (r Result) Slowest() (gate string, after time.Duration) {
	return r.w.SlowestGate, time.Duration(r.w.SlowestMs) * time.Millisecond
}

// MarshalJSON returns the answer's wire form.
func (r Result) MarshalJSON() ([]byte, error) { return json.Marshal(r.w) }

// UnmarshalJSON reads the answer's wire form.
func (r *Result) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &r.w) }
