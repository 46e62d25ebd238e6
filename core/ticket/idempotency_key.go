package ticket

import (
	"slices"
	"time"
)

// FirstClaim is the first claim on an idempotency key in the folded log; the zero value means that there is none.
type FirstClaim struct {
	holder string
	digest string
}

// NewFirstClaim returns the claim of an incarnation for a request with the given digest.
func NewFirstClaim(holder, digest string) FirstClaim { return FirstClaim{holder, digest} }

// KeyID returns the id under which the registry stores a team's idempotency key.
func KeyID(team, key string) string { return team + "\x00" + key }

// BeginKey decides what to do with a request that carries an idempotency key, given the first claim in the folded log.
func (r *Registry) BeginKey(id, digest string, first FirstClaim, now time.Time) Decision {
	e, used := r.entries[id]
	switch {
	case first.holder != "" && first.digest != digest, used && e.Digest != digest:
		return Mismatch{}
	case used && e.Phase != phaseAbandoned:
		return r.decideReuse(e, digest)
	case first.holder == "":
		return r.requestClaim(id, digest, now)
	case !r.HasAuthorityFor(first.holder):
		return r.heldElsewhere(first.holder)
	case used && slices.Contains(e.Claims, first.holder):
		return r.decideReuse(e, digest)
	default:
		return OutcomeUnknown{}
	}
}

// requestClaim asks the caller to write a claim record. The entry lists the claim even if the write fails, since the
// record may still take effect.
func (r *Registry) requestClaim(id, digest string, now time.Time) Decision {
	if r.successor != "" {
		return HeldElsewhere{r.successor}
	}
	e, used := r.entries[id]
	if !used {
		e = &entry{Digest: digest, SinceMs: now.UnixMilli()}
		r.entries[id] = e
	}
	e.Phase = phaseClaiming
	if !slices.Contains(e.Claims, r.incarnation) {
		e.Claims = append(e.Claims, r.incarnation)
	}
	return NeedsClaim{}
}

// ResolveClaim decides what to do with the request after its claim was read back, given the first claim in the folded log.
func (r *Registry) ResolveClaim(id, digest string, first FirstClaim, now time.Time) Decision {
	r.AbandonClaim(id)
	if first.holder == "" {
		return OutcomeUnknown{}
	}
	return r.BeginKey(id, digest, first, now)
}

// AbandonClaim records that the claim was not read back. The claim may still take effect; then only a later request with
// the same key starts under it, at this gate.
func (r *Registry) AbandonClaim(id string) {
	if e, used := r.entries[id]; used && e.Phase == phaseClaiming {
		e.Phase = phaseAbandoned
	}
}
