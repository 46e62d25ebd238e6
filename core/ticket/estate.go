package ticket

import (
	"encoding/json"
	"maps"
	"slices"
)

// HandoverState is everything that a stopping gate hands to its successor.
type HandoverState struct {
	w estateWire
}

type estateWire struct {
	From        string                `json:"from"`
	Authorities map[string]*authority `json:"authorities"`
	Entries     map[string]*entry     `json:"entries"`
	Kept        []string              `json:"kept"`
}

// From returns the incarnation that hands over.
func (e HandoverState) From() string { return e.w.From }

// MarshalJSON returns the estate's wire form.
func (e HandoverState) MarshalJSON() ([]byte, error) { return json.Marshal(e.w) }

// UnmarshalJSON reads the estate's wire form.
func (e *HandoverState) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &e.w) }

// HandOver gives up every authority for good, then returns it for the successor. Requests that run here stay until
// their answers are passed on.
func (r *Registry) HandOver(successor string) HandoverState {
	w := estateWire{From: r.incarnation, Authorities: r.authorities, Entries: map[string]*entry{}, Kept: r.kept}
	for id, e := range r.entries {
		copied := *e
		switch {
		case e.Phase == claiming:
			copied.Phase = abandoned
		case e.Phase == running && e.Away == "":
			copied.Away = r.incarnation
		}
		w.Entries[id] = &copied
	}
	for incarnation := range r.authorities {
		r.adopted[incarnation] = true
	}
	r.authorities = map[string]*authority{}
	maps.DeleteFunc(r.entries, func(_ string, e *entry) bool { return e.Phase != running || e.Away != "" })
	r.kept, r.keptBytes = nil, 0
	r.successor = successor
	return HandoverState{w}
}

// SetSuccessor names another successor after the first one has refused the estate; it did not take anything then.
func (r *Registry) SetSuccessor(successor string) { r.successor = successor }

// Adopt takes an estate over once and tells whether this gate has it; a gate that has handed over refuses.
func (r *Registry) Adopt(e HandoverState) bool {
	if r.adopted[e.w.From] {
		return true
	}
	if r.successor != "" {
		return false
	}
	for incarnation, a := range e.w.Authorities {
		r.authorities[incarnation] = a
		r.adopted[incarnation] = true
	}
	r.adopted[e.w.From] = true
	for id, handed := range e.w.Entries {
		r.inherit(id, handed)
	}
	for _, id := range e.w.Kept {
		if kept, ok := r.entries[id]; ok && kept.Phase == finished && !slices.Contains(r.kept, id) {
			r.keep(id, kept)
		}
	}
	return true
}

// inherit takes a handed entry over unless this gate's own one knows more; claims of both count.
func (r *Registry) inherit(id string, handed *entry) {
	own, used := r.entries[id]
	if !used {
		r.entries[id] = handed
		return
	}
	claims := append(slices.Clone(own.Claims), handed.Claims...)
	if own.Phase == abandoned || own.Phase == claiming && handed.Phase != abandoned {
		r.entries[id] = handed
		own = handed
	}
	own.Claims = claims
}

// MarkIncarnationGone notes that the incarnation certainly ended: what it ran for this gate's tickets has no known outcome.
func (r *Registry) MarkIncarnationGone(incarnation string, outcome Answer) {
	for _, e := range r.entries {
		if e.Phase == running && e.Away == incarnation {
			e.Phase, e.Away, e.Answer = finished, "", outcome
		}
	}
}

// RecordPeerOutcome notes what became of a run that went on at the incarnation after it had handed over: its answer, or nil if it
// surely did not run. A repeat changes nothing. It returns where to pass that on to, empty for nowhere.
func (r *Registry) RecordPeerOutcome(id, from string, answer *Answer) (passTo string) {
	if r.successor != "" {
		return r.successor
	}
	e, ok := r.entries[id]
	switch {
	case !ok || e.Phase != running || e.Away != from:
	case answer == nil:
		r.Release(id)
	default:
		r.Finish(id, *answer)
	}
	return ""
}

// RemoteIncarnations returns the incarnations that still run work for tickets that they handed over to this gate.
func (r *Registry) RemoteIncarnations() []string {
	var out []string
	for _, e := range r.entries {
		if e.Phase == running && e.Away != "" && !slices.Contains(out, e.Away) {
			out = append(out, e.Away)
		}
	}
	return out
}
