package rights

import "encoding/json"

// Epoch identifies a recount by a number higher than any that its initiator has seen and by the initiator's incarnation.
type Epoch struct {
	w epochWire
}

type epochWire struct {
	Number      uint64 `json:"number"`
	Incarnation string `json:"incarnation"`
}

// Number returns the epoch's number, 0 for the state before any recount.
func (e Epoch) Number() uint64 { return e.w.Number }

// Incarnation returns the incarnation of the initiator.
func (e Epoch) Incarnation() string { return e.w.Incarnation }

// Supersedes reports whether the epoch is newer than the other one. Equal numbers are ordered by incarnation.
func (e Epoch) Supersedes(other Epoch) bool {
	if e.w.Number != other.w.Number {
		return e.w.Number > other.w.Number
	}
	return e.w.Incarnation > other.w.Incarnation
}

// MarshalJSON returns the epoch's wire form.
func (e Epoch) MarshalJSON() ([]byte, error) { return json.Marshal(e.w) }

// UnmarshalJSON reads the epoch's wire form.
func (e *Epoch) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &e.w) }

// TeamCount is a number of rights or of running pieces of work of one team.
type TeamCount struct {
	w teamCountWire
}

type teamCountWire struct {
	Team  string `json:"team"`
	Count int    `json:"count"`
}

// NewTeamCount returns the count for the team.
func NewTeamCount(team string, count int) TeamCount {
	return TeamCount{teamCountWire{team, count}}
}

// Team returns the team.
func (c TeamCount) Team() string { return c.w.Team }

// Count returns the number.
func (c TeamCount) Count() int { return c.w.Count }

// MarshalJSON returns the count's wire form.
func (c TeamCount) MarshalJSON() ([]byte, error) { return json.Marshal(c.w) }

// UnmarshalJSON reads the count's wire form.
func (c *TeamCount) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &c.w) }

// Transfer carries rights that the sender has already subtracted and that the receiver adds at most once.
type Transfer struct {
	w transferWire
}

type transferWire struct {
	From   string      `json:"from"`
	Seq    uint64      `json:"seq"`
	To     string      `json:"to"`
	Epoch  Epoch       `json:"epoch"`
	Rights []TeamCount `json:"rights"`
}

// From returns the incarnation of the sender.
func (t Transfer) From() string { return t.w.From }

// To returns the incarnation of the receiver.
func (t Transfer) To() string { return t.w.To }

// Rights returns the number of rights of each team, all above 0.
func (t Transfer) Rights() []TeamCount { return t.w.Rights }

// MarshalJSON returns the transfer's wire form.
func (t Transfer) MarshalJSON() ([]byte, error) { return json.Marshal(t.w) }

// UnmarshalJSON reads the transfer's wire form.
func (t *Transfer) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &t.w) }

// Query requests the report of a gate for a recount.
type Query struct {
	w queryWire
}

type queryWire struct {
	Epoch Epoch  `json:"epoch"`
	Basis uint64 `json:"basis"` // log offset of the state on which the recount is based
}

// Epoch returns the recount's epoch.
func (q Query) Epoch() Epoch { return q.w.Epoch }

// MarshalJSON returns the query's wire form.
func (q Query) MarshalJSON() ([]byte, error) { return json.Marshal(q.w) }

// UnmarshalJSON reads the query's wire form.
func (q *Query) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &q.w) }

// Report states the rights that a gate holds in the epoch that it adopted.
type Report struct {
	w reportWire
}

type reportWire struct {
	Epoch       Epoch       `json:"epoch"`
	Incarnation string      `json:"incarnation"`
	Held        []TeamCount `json:"held"`
	Folded      uint64      `json:"folded"` // offset up to which the gate folded the log
	Floor       uint64      `json:"floor"`  // offset on which a recount must at least be based
}

// Incarnation returns the incarnation of the reporting gate.
func (r Report) Incarnation() string { return r.w.Incarnation }

// Held returns, for each team, the sum of the rights available and in use. Teams without rights are left out.
func (r Report) Held() []TeamCount { return r.w.Held }

// MarshalJSON returns the report's wire form.
func (r Report) MarshalJSON() ([]byte, error) { return json.Marshal(r.w) }

// UnmarshalJSON reads the report's wire form.
func (r *Report) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &r.w) }

// Commit ends a recount and lists the incarnations that it counted.
type Commit struct {
	w commitWire
}

type commitWire struct {
	Epoch  Epoch    `json:"epoch"`
	Basis  uint64   `json:"basis"`
	Roster []string `json:"roster"`
	Over   []string `json:"over,omitempty"` // teams that hold more than their allotment, sorted
}

// Epoch returns the recount's epoch.
func (c Commit) Epoch() Epoch { return c.w.Epoch }

// Members returns the counted incarnations, sorted.
func (c Commit) Members() []string { return c.w.Roster }

// MarshalJSON returns the commit's wire form.
func (c Commit) MarshalJSON() ([]byte, error) { return json.Marshal(c.w) }

// UnmarshalJSON reads the commit's wire form.
func (c *Commit) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &c.w) }
