package event

import (
	"encoding/json"
	"strings"
	"sync"
)

// Event is one action of a process; empty fields do not apply.
type Event struct {
	w eventWire
}

type eventWire struct {
	Timestamp Timestamp `json:"stamp"`
	Process   string    `json:"process"`
	Kind      string    `json:"kind"`
	Request   string    `json:"request,omitempty"`
	Team      string    `json:"team,omitempty"`
	VM        string    `json:"vm,omitempty"`
	Detail    string    `json:"detail,omitempty"`
	Code      uint16    `json:"code,omitempty"`
}

// Fields are the optional fields of an event, for Ring.Add.
type Fields struct {
	Request string // the request's id
	Team    string // the team's name
	VM      string // the VM's name
	Detail  string // human-readable text without secrets
	Code    uint16 // the numeric result code
}

// Timestamp returns when the event happened.
func (e Event) Timestamp() Timestamp { return e.w.Timestamp }

// Process returns the name of the process.
func (e Event) Process() string { return e.w.Process }

// Kind returns the kind of action, in kebab case.
func (e Event) Kind() string { return e.w.Kind }

// Fields returns the event's optional fields.
func (e Event) Fields() Fields {
	return Fields{e.w.Request, e.w.Team, e.w.VM, e.w.Detail, e.w.Code}
}

// MarshalJSON returns the event's wire form.
func (e Event) MarshalJSON() ([]byte, error) { return json.Marshal(e.w) }

// UnmarshalJSON reads the event's wire form.
func (e *Event) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &e.w) }

// Filter selects events; empty fields select all.
type Filter struct {
	Since   Timestamp // events after this timestamp
	Request string    // the request's id
	Team    string    // the team
	VM      string    // the VM
}

// Matches reports whether the filter selects the event.
func (f Filter) Matches(e Event) bool {
	if e.w.Timestamp <= f.Since && f.Since != 0 {
		return false
	}
	if f.Request != "" && !matchesRequest(e.w.Request, f.Request) {
		return false
	}
	if f.Team != "" && e.w.Team != f.Team {
		return false
	}
	return f.VM == "" || e.w.VM == f.VM
}

// matchesRequest also matches the attempts of a request, whose ids are the request's id plus a suffix.
func matchesRequest(id, request string) bool {
	return id == request || strings.HasPrefix(id, request+".")
}

const maxEvents = 20_000

// Ring keeps the latest events of a process.
type Ring struct {
	clock   *Clock
	process string
	mu      sync.Mutex
	events  []Event
	next    int
}

// NewRing returns a ring that timestamps events by the clock and adds the process's name.
func NewRing(clock *Clock, process string) *Ring {
	return &Ring{clock: clock, process: process}
}

// Add records an event.
func (r *Ring) Add(kind string, fields Fields) {
	e := Event{eventWire{r.clock.Now(), r.process, kind, fields.Request, fields.Team, fields.VM, fields.Detail, fields.Code}}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < maxEvents {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % maxEvents
}

// Select returns the events that match the filter, oldest first.
func (r *Ring) Select(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := range r.events {
		e := r.events[(r.next+i)%len(r.events)]
		if f.Matches(e) {
			out = append(out, e)
		}
	}
	return out
}
