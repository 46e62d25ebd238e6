package event

import (
	"encoding/json"
	"strings"
	"sync"
)

// Event is one thing that a process did; empty fields do not apply.
type Event struct {
	w eventWire
}

type eventWire struct {
	Stamp   Timestamp `json:"stamp"`
	Process string    `json:"process"`
	Kind    string    `json:"kind"`
	Request string    `json:"request,omitempty"`
	Team    string    `json:"team,omitempty"`
	VM      string    `json:"vm,omitempty"`
	Detail  string    `json:"detail,omitempty"`
	Code    uint16    `json:"code,omitempty"`
}

// Fields names what an event is about, for Ring.Add.
type Fields struct {
	Request string // the request's id
	Team    string // the team
	VM      string // the VM
	Detail  string // text for people, without secrets
	Code    uint16 // the result code's number
}

// Timestamp returns when it happened.
func (e Event) Timestamp() Timestamp { return e.w.Stamp }

// Process returns the process that did it.
func (e Event) Process() string { return e.w.Process }

// Kind returns what was done, in kebab case.
func (e Event) Kind() string { return e.w.Kind }

// Fields returns what the event is about.
func (e Event) Fields() Fields {
	return Fields{e.w.Request, e.w.Team, e.w.VM, e.w.Detail, e.w.Code}
}

// MarshalJSON returns the event's wire form.
func (e Event) MarshalJSON() ([]byte, error) { return json.Marshal(e.w) }

// UnmarshalJSON reads the event's wire form.
func (e *Event) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &e.w) }

// Filter selects events; empty fields select all.
type Filter struct {
	Since   Timestamp // events after this stamp
	Request string    // the request's id
	Team    string    // the team
	VM      string    // the VM
}

// Matches tells whether the filter selects the event.
func (f Filter) Matches(e Event) bool {
	if e.w.Stamp <= f.Since && f.Since != 0 {
		return false
	}
	if f.Request != "" && !aboutRequest(e.w.Request, f.Request) {
		return false
	}
	if f.Team != "" && e.w.Team != f.Team {
		return false
	}
	return f.VM == "" || e.w.VM == f.VM
}

// aboutRequest also matches the attempts of a request, whose ids are the request's and a suffix.
func aboutRequest(id, request string) bool {
	return id == request || strings.HasPrefix(id, request+".")
}

const defaultKept = 20_000

// Ring keeps the last events of a process.
type Ring struct {
	clock   *Clock
	process string
	mu      sync.Mutex
	kept    []Event
	next    int
}

// NewRing returns a ring that stamps events with the clock and the process's name.
func NewRing(clock *Clock, process string) *Ring {
	return &Ring{clock: clock, process: process}
}

// Add records an event.
func (r *Ring) Add(kind string, about Fields) {
	e := Event{eventWire{r.clock.Now(), r.process, kind, about.Request, about.Team, about.VM, about.Detail, about.Code}}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.kept) < defaultKept {
		r.kept = append(r.kept, e)
		return
	}
	r.kept[r.next] = e
	r.next = (r.next + 1) % defaultKept
}

// Select returns the events that match, oldest first.
func (r *Ring) Select(f Filter) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := range r.kept {
		e := r.kept[(r.next+i)%len(r.kept)]
		if f.Matches(e) {
			out = append(out, e)
		}
	}
	return out
}
