package ticket

import (
	"slices"
	"time"
)

// FirstClaim is the first claim on a key in the folded log.
type FirstClaim struct {
	holder string
	digest string
}

// NewFirstClaim returns the claim of an incarnation for a request with the given digest; the zero value means none.
func NewFirstClaim(holder, digest string) FirstClaim { return FirstClaim{holder, digest} }

// KeyID returns the id under which a team's idempotency key is remembered.
func KeyID(team, key string) string { return team + "\x00" + key }

// BeginKey decides about a request with a caller's idempotency key, given the first claim in the folded log.
func (r *Registry) BeginKey(id, digest string, first FirstClaim, now time.Time) Decision {
	e, used := r.entries[id]
	switch {
	case first.holder != "" && first.digest != digest, used && e.Digest != digest:
		return Mismatch{}
	case used && e.Phase != abandoned:
		return r.again(e, digest)
	case first.holder == "":
		return r.claim(id, digest, now)
	case !r.HasAuthorityFor(first.holder):
		return r.elsewhere(first.holder)
	case used && slices.Contains(e.Claims, first.holder):
		return r.again(e, digest)
	default:
		return OutcomeUnknown{}
	}
}

// claim asks for a claim record and remembers that there may be one, whatever comes of it.
func (r *Registry) claim(id, digest string, now time.Time) Decision {
	if r.successor != "" {
		return HeldElsewhere{r.successor}
	}
	e, used := r.entries[id]
	if !used {
		e = &entry{Digest: digest, SinceMs: now.UnixMilli()}
		r.entries[id] = e
	}
	e.Phase = claiming
	if !slices.Contains(e.Claims, r.incarnation) {
		e.Claims = append(e.Claims, r.incarnation)
	}
	return NeedsClaim{}
}

// ResolveClaim decides after the claim was read back, given the first claim in the folded log.
func (r *Registry) ResolveClaim(id, digest string, first FirstClaim, now time.Time) Decision {
	r.AbandonClaim(id)
	if first.holder == "" {
		return OutcomeUnknown{}
	}
	return r.BeginKey(id, digest, first, now)
}

// AbandonClaim notes that the claim was not read back; it may still come into force, and then only a later request
// starts under it, here.
func (r *Registry) AbandonClaim(id string) {
	if e, used := r.entries[id]; used && e.Phase == claiming {
		e.Phase = abandoned
	}
}
