package ticket

import (
	"encoding/json"
	"maps"
	"slices"
)

// HandoverState is the complete registry state that a stopping gate passes to its successor.
type HandoverState struct {
	w handoverWire
}

type handoverWire struct {
	From          string                `json:"from"`
	Authorities   map[string]*authority `json:"authorities"`
	Entries       map[string]*entry     `json:"entries"`
	StoredAnswers []string              `json:"kept"`
}

// From returns the incarnation that handed the state over.
func (h HandoverState) From() string { return h.w.From }

// MarshalJSON returns the state's wire form.
func (h HandoverState) MarshalJSON() ([]byte, error) { return json.Marshal(h.w) }

// UnmarshalJSON reads the state's wire form.
func (h *HandoverState) UnmarshalJSON(b []byte) error { return json.Unmarshal(b, &h.w) }

// HandOver permanently gives up every authority and returns the state for the successor. Requests that run here keep
// their entries until their answers are forwarded.
func (r *Registry) HandOver(successor string) HandoverState {
	w := handoverWire{From: r.incarnation, Authorities: r.authorities, Entries: map[string]*entry{}, StoredAnswers: r.storedAnswers}
	for id, e := range r.entries {
		copied := *e
		switch {
		case e.Phase == phaseClaiming:
			copied.Phase = phaseAbandoned
		case e.Phase == phaseRunning && e.RunningAt == "":
			copied.RunningAt = r.incarnation
		}
		w.Entries[id] = &copied
	}
	for incarnation := range r.authorities {
		r.adopted[incarnation] = true
	}
	r.authorities = map[string]*authority{}
	maps.DeleteFunc(r.entries, func(_ string, e *entry) bool { return e.Phase != phaseRunning || e.RunningAt != "" })
	r.storedAnswers, r.storedAnswerBytes = nil, 0
	r.successor = successor
	return HandoverState{w}
}

// SetSuccessor sets another successor after the first one refused the state; a gate that refuses has adopted nothing.
func (r *Registry) SetSuccessor(successor string) { r.successor = successor }

// Adopt takes over another gate's state, once, and reports whether this gate now has it. A gate that has itself handed
// over refuses.
func (r *Registry) Adopt(state HandoverState) bool {
	if r.adopted[state.w.From] {
		return true
	}
	if r.successor != "" {
		return false
	}
	for incarnation, a := range state.w.Authorities {
		r.authorities[incarnation] = a
		r.adopted[incarnation] = true
	}
	r.adopted[state.w.From] = true
	for id, received := range state.w.Entries {
		r.mergeEntry(id, received)
	}
	for _, id := range state.w.StoredAnswers {
		if e, ok := r.entries[id]; ok && e.Phase == phaseFinished && !slices.Contains(r.storedAnswers, id) {
			r.storeAnswer(id, e)
		}
	}
	return true
}

// mergeEntry takes over an entry unless this gate's own one is further along; the claims of both are kept.
func (r *Registry) mergeEntry(id string, received *entry) {
	own, used := r.entries[id]
	if !used {
		r.entries[id] = received
		return
	}
	claims := append(slices.Clone(own.Claims), received.Claims...)
	if own.Phase == phaseAbandoned || own.Phase == phaseClaiming && received.Phase != phaseAbandoned {
		r.entries[id] = received
		own = received
	}
	own.Claims = claims
}

// MarkIncarnationGone records that the incarnation has certainly ended. Requests that it was still running for tickets
// of this gate finish with the given outcome, since their real one can't be known.
func (r *Registry) MarkIncarnationGone(incarnation string, outcome Answer) {
	for _, e := range r.entries {
		if e.Phase == phaseRunning && e.RunningAt == incarnation {
			e.Phase, e.RunningAt, e.Answer = phaseFinished, "", outcome
		}
	}
}

// RecordPeerOutcome records the outcome of a request that an incarnation went on running after it had handed over: the
// answer, or nil if the request certainly did not run. A repeated call changes nothing. It returns the incarnation to
// which the outcome must be forwarded, empty for none.
func (r *Registry) RecordPeerOutcome(id, from string, answer *Answer) (forwardTo string) {
	if r.successor != "" {
		return r.successor
	}
	e, ok := r.entries[id]
	switch {
	case !ok || e.Phase != phaseRunning || e.RunningAt != from:
	case answer == nil:
		r.Release(id)
	default:
		r.Finish(id, *answer)
	}
	return ""
}

// RemoteIncarnations returns the incarnations that still run requests whose tickets they handed over to this gate.
func (r *Registry) RemoteIncarnations() []string {
	var out []string
	for _, e := range r.entries {
		if e.Phase == phaseRunning && e.RunningAt != "" && !slices.Contains(out, e.RunningAt) {
			out = append(out, e.RunningAt)
		}
	}
	return out
}
