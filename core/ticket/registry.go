package ticket

import (
	"slices"
	"time"
)

const (
	// DefaultLifetime is how long a ticket is valid after its minting.
	DefaultLifetime = 15 * time.Minute
	// DefaultMaxAnswerBytes is how many bytes of answers are stored.
	DefaultMaxAnswerBytes = 8 << 20
)

// Options are the registry's limits; zero values take the defaults.
type Options struct {
	Lifetime       time.Duration // how long a ticket is remembered after its minting, and a key after its first use
	MaxAnswerBytes int           // how many bytes of answers are stored
}

type phase string

const (
	phaseClaiming  phase = "claiming"  // the claim is being written and read back
	phaseAbandoned phase = "abandoned" // not running: the claim was not read back, or the request was released
	phaseRunning   phase = "running"
	phaseFinished  phase = "finished"
)

// entry is the state of one ticket or key that was used.
type entry struct {
	Digest    string   `json:"digest"`
	Phase     phase    `json:"phase"`
	SinceMs   int64    `json:"since-ms"`       // when the ticket was minted or the key first used
	RunningAt string   `json:"away,omitempty"` // the incarnation that runs it, empty for this one
	Answer    Answer   `json:"answer"`
	Claims    []string `json:"claims,omitempty"` // the incarnations that wrote claims for the key under this entry
}

// authority lets a registry decide about the tickets of one incarnation. Tickets minted up to ExpiredUntilMs are refused
// unless they have an entry.
type authority struct {
	Secret         []byte `json:"secret"`
	ExpiredUntilMs int64  `json:"horizon-ms"`
}

// Registry records which tickets and keys one gate incarnation has seen used. It is not safe for concurrent use.
type Registry struct {
	incarnation       string
	options           Options
	ownAuthority      *authority
	authorities       map[string]*authority
	entries           map[string]*entry
	storedAnswers     []string // ids of the entries with a stored answer, oldest first
	storedAnswerBytes int
	successor         string
	adopted           map[string]bool // incarnations whose authority was adopted, or handed over to the successor
}

// New returns the empty registry of a gate incarnation.
func New(incarnation string, options Options) *Registry {
	if options.Lifetime == 0 {
		options.Lifetime = DefaultLifetime
	}
	if options.MaxAnswerBytes == 0 {
		options.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	own := &authority{Secret: newSecret()}
	return &Registry{
		incarnation:  incarnation,
		options:      options,
		ownAuthority: own,
		authorities:  map[string]*authority{incarnation: own},
		entries:      map[string]*entry{},
		adopted:      map[string]bool{},
	}
}

// HasAuthorityFor reports whether this registry decides about the tickets and claims of the incarnation, which is its own
// or one whose state it adopted.
func (r *Registry) HasAuthorityFor(incarnation string) bool {
	_, ok := r.authorities[incarnation]
	return ok
}

// Successor returns the incarnation to which the state was handed over, empty for none.
func (r *Registry) Successor() string { return r.successor }

// RunningCount returns the number of requests that this gate has started and not finished.
func (r *Registry) RunningCount() int {
	n := 0
	for _, e := range r.entries {
		if e.Phase == phaseRunning && e.RunningAt == "" {
			n++
		}
	}
	return n
}

// Begin decides what to do with a request that carries a ticket; the digest identifies the request's content.
func (r *Registry) Begin(ticket, digest string, now time.Time) Decision {
	fields, ok := parseTicket(ticket)
	if !ok {
		return UnknownTicket{}
	}
	a, known := r.authorities[fields.incarnation]
	if !known {
		return r.heldElsewhere(fields.incarnation)
	}
	if !fields.hasValidMAC(a.Secret) {
		return UnknownTicket{}
	}
	if e, used := r.entries[ticket]; used {
		return r.decideReuse(e, digest)
	}
	if fields.mintedMs <= a.ExpiredUntilMs || r.isExpired(fields.mintedMs, now) {
		return UnknownTicket{}
	}
	r.entries[ticket] = &entry{Digest: digest, Phase: phaseRunning, SinceMs: fields.mintedMs}
	return Start{}
}

func (r *Registry) heldElsewhere(holder string) Decision {
	if holder == r.incarnation || r.adopted[holder] {
		return HeldElsewhere{r.successor}
	}
	return HeldElsewhere{holder}
}

func (r *Registry) isExpired(sinceMs int64, now time.Time) bool {
	return sinceMs <= now.Add(-r.options.Lifetime).UnixMilli()
}

// decideReuse decides about a ticket or key that was used before; a released one may start.
func (r *Registry) decideReuse(e *entry, digest string) Decision {
	if e.Digest != digest {
		return Mismatch{}
	}
	switch e.Phase {
	case phaseAbandoned:
		e.Phase = phaseRunning
		return Start{}
	case phaseFinished:
		return e.outcome()
	default:
		return InProgress{}
	}
}

// outcome returns the decision for a request that is not started again: InProgress, the stored answer, or AnswerGone if the
// answer is no longer stored.
func (e *entry) outcome() Decision {
	switch {
	case e.Phase != phaseFinished:
		return InProgress{}
	case e.Answer.w.BodyDropped && e.Answer.Code() == 0:
		return AnswerGone{}
	default:
		return RepeatAnswer{e.Answer}
	}
}

// Lookup returns what is known about a ticket or key without starting the request.
func (r *Registry) Lookup(id string) Decision {
	e, used := r.entries[id]
	if used && e.Phase != phaseAbandoned {
		return e.outcome()
	}
	if fields, ok := parseTicket(id); ok && !r.HasAuthorityFor(fields.incarnation) {
		return r.heldElsewhere(fields.incarnation)
	}
	return UnknownTicket{}
}

// MayHaveRun reports whether the request of a ticket or key ran here or may still run.
func (r *Registry) MayHaveRun(id string) bool {
	e, used := r.entries[id]
	return used && e.Phase != phaseAbandoned
}

// Finish stores the answer of a started request, or replaces an earlier answer. It returns the incarnation to which the
// answer must be forwarded, empty for none.
func (r *Registry) Finish(id string, answer Answer) (forwardTo string) {
	e, ok := r.entries[id]
	if !ok {
		return r.successor
	}
	if r.successor != "" {
		delete(r.entries, id)
		return r.successor
	}
	if e.Phase == phaseFinished {
		r.dropAnswer(id, e)
	}
	e.Phase, e.RunningAt, e.Answer = phaseFinished, "", answer
	r.storeAnswer(id, e)
	return ""
}

// Release records that a started request certainly did not run and may be started again; forwardTo is as for Finish.
func (r *Registry) Release(id string) (forwardTo string) {
	if r.successor != "" {
		delete(r.entries, id)
		return r.successor
	}
	if e, ok := r.entries[id]; ok && e.Phase == phaseRunning {
		e.Phase, e.RunningAt = phaseAbandoned, ""
	}
	return ""
}

// storeAnswer adds an answer to the stored ones. Above the limit the oldest ones lose their headers and body, but keep
// their outcome.
func (r *Registry) storeAnswer(id string, e *entry) {
	r.storedAnswers = append(r.storedAnswers, id)
	r.storedAnswerBytes += e.Answer.size()
	for r.storedAnswerBytes > r.options.MaxAnswerBytes {
		oldest := r.storedAnswers[0]
		evicted := r.entries[oldest]
		r.dropAnswer(oldest, evicted)
		evicted.Answer = evicted.Answer.withoutBody()
	}
}

func (r *Registry) dropAnswer(id string, e *entry) {
	if i := slices.Index(r.storedAnswers, id); i >= 0 {
		r.storedAnswers = slices.Delete(r.storedAnswers, i, i+1)
		r.storedAnswerBytes -= e.Answer.size()
	}
}

// Expire removes entries older than the lifetime. Tickets that old are refused from then on, even if the clock is set back.
func (r *Registry) Expire(now time.Time) {
	expiredUntil := now.Add(-r.options.Lifetime).UnixMilli()
	for _, a := range r.authorities {
		a.ExpiredUntilMs = max(a.ExpiredUntilMs, expiredUntil)
	}
	for id, e := range r.entries {
		if e.SinceMs <= expiredUntil && (e.Phase == phaseFinished || e.Phase == phaseAbandoned) {
			r.dropAnswer(id, e)
			delete(r.entries, id)
		}
	}
}
