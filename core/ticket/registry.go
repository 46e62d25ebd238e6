package ticket

import (
	"slices"
	"time"
)

const (
	// DefaultLifetime is how long after its minting a ticket may come.
	DefaultLifetime = 15 * time.Minute
	// DefaultMaxAnswerBytes is how many bytes of answers are kept.
	DefaultMaxAnswerBytes = 8 << 20
)

// Options are the registry's bounds; zero values take the defaults.
type Options struct {
	Lifetime       time.Duration // how long after its minting or first use a ticket or key is remembered
	MaxAnswerBytes int           // how many bytes of answers are kept
}

type phase string

const (
	claiming  phase = "claiming"
	abandoned phase = "abandoned"
	running   phase = "running"
	finished  phase = "finished"
)

// entry is one ticket or key that was used.
type entry struct {
	Digest  string   `json:"digest"`
	Phase   phase    `json:"phase"`
	SinceMs int64    `json:"since-ms"`       // when the ticket was minted or the key first used
	Away    string   `json:"away,omitempty"` // the incarnation that runs it, empty for this one
	Answer  Answer   `json:"answer"`
	Claims  []string `json:"claims,omitempty"` // the incarnations that wrote claims for the key under this entry
}

// authority is the right to decide about the tickets of one incarnation; nobody knows tickets minted up to the horizon
// for which there is no entry.
type authority struct {
	Secret    []byte `json:"secret"`
	HorizonMs int64  `json:"horizon-ms"`
}

// Registry is the memory of one gate incarnation about tickets and keys; one goroutine owns it.
type Registry struct {
	incarnation string
	options     Options
	own         *authority
	authorities map[string]*authority
	entries     map[string]*entry
	kept        []string // ids with a stored answer, oldest first
	keptBytes   int
	successor   string
	adopted     map[string]bool
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
		incarnation: incarnation,
		options:     options,
		own:         own,
		authorities: map[string]*authority{incarnation: own},
		entries:     map[string]*entry{},
		adopted:     map[string]bool{},
	}
}

// HasAuthorityFor tells whether this registry decides about the incarnation's tickets and claims: its own, or one's it adopted.
func (r *Registry) HasAuthorityFor(incarnation string) bool {
	_, ok := r.authorities[incarnation]
	return ok
}

// Successor returns the incarnation that everything was handed to, empty for none.
func (r *Registry) Successor() string { return r.successor }

// RunningCount returns the number of requests that this gate has begun and not finished.
func (r *Registry) RunningCount() int {
	n := 0
	for _, e := range r.entries {
		if e.Phase == running && e.Away == "" {
			n++
		}
	}
	return n
}

// Begin decides about a request with a ticket; digest tells requests apart.
func (r *Registry) Begin(ticket, digest string, now time.Time) Decision {
	i, ok := parse(ticket)
	if !ok {
		return UnknownTicket{}
	}
	a, mine := r.authorities[i.incarnation]
	if !mine {
		return r.elsewhere(i.incarnation)
	}
	if !i.genuine(a.Secret) {
		return UnknownTicket{}
	}
	if e, used := r.entries[ticket]; used {
		return r.again(e, digest)
	}
	if i.mintedMs <= a.HorizonMs || r.tooOld(i.mintedMs, now) {
		return UnknownTicket{}
	}
	r.entries[ticket] = &entry{Digest: digest, Phase: running, SinceMs: i.mintedMs}
	return Start{}
}

func (r *Registry) elsewhere(holder string) Decision {
	if holder == r.incarnation || r.adopted[holder] {
		return HeldElsewhere{r.successor}
	}
	return HeldElsewhere{holder}
}

func (r *Registry) tooOld(sinceMs int64, now time.Time) bool {
	return sinceMs <= now.Add(-r.options.Lifetime).UnixMilli()
}

// again decides about a ticket or key that was used before; a released one may start.
func (r *Registry) again(e *entry, digest string) Decision {
	if e.Digest != digest {
		return Mismatch{}
	}
	switch e.Phase {
	case abandoned:
		e.Phase = running
		return Start{}
	case finished:
		return e.outcome()
	default:
		return InProgress{}
	}
}

// outcome returns the stored answer, or that the request ran.
func (e *entry) outcome() Decision {
	switch {
	case e.Phase != finished:
		return InProgress{}
	case e.Answer.w.Bare && e.Answer.Code() == 0:
		return AnswerGone{}
	default:
		return RepeatAnswer{e.Answer}
	}
}

// Lookup returns what is known of a ticket or key without starting anything.
func (r *Registry) Lookup(id string) Decision {
	e, used := r.entries[id]
	if used && e.Phase != abandoned {
		return e.outcome()
	}
	if i, ok := parse(id); ok && !r.HasAuthorityFor(i.incarnation) {
		return r.elsewhere(i.incarnation)
	}
	return UnknownTicket{}
}

// MayHaveRun tells whether the request of a ticket or key ran here or may yet.
func (r *Registry) MayHaveRun(id string) bool {
	e, used := r.entries[id]
	return used && e.Phase != abandoned
}

// Finish stores the answer of a begun request, or replaces an earlier one; it returns the incarnation to which the
// answer must be passed on, empty for none.
func (r *Registry) Finish(id string, answer Answer) (passTo string) {
	e, ok := r.entries[id]
	if !ok {
		return r.successor
	}
	if r.successor != "" {
		delete(r.entries, id)
		return r.successor
	}
	if e.Phase == finished {
		r.dropAnswer(id, e)
	}
	e.Phase, e.Away, e.Answer = finished, "", answer
	r.keep(id, e)
	return ""
}

// Release notes that a begun request surely did not run and that it may be begun again; passTo is as for Finish.
func (r *Registry) Release(id string) (passTo string) {
	if r.successor != "" {
		delete(r.entries, id)
		return r.successor
	}
	if e, ok := r.entries[id]; ok && e.Phase == running {
		e.Phase, e.Away = abandoned, ""
	}
	return ""
}

// keep stores an answer within the bound; the oldest ones lose their bytes first, never their outcome.
func (r *Registry) keep(id string, e *entry) {
	r.kept = append(r.kept, id)
	r.keptBytes += e.Answer.size()
	for r.keptBytes > r.options.MaxAnswerBytes {
		oldest := r.kept[0]
		evicted := r.entries[oldest]
		r.dropAnswer(oldest, evicted)
		evicted.Answer = evicted.Answer.bare()
	}
}

func (r *Registry) dropAnswer(id string, e *entry) {
	if i := slices.Index(r.kept, id); i >= 0 {
		r.kept = slices.Delete(r.kept, i, i+1)
		r.keptBytes -= e.Answer.size()
	}
}

// Expire forgets what is older than the lifetime; tickets that old are refused from then on, whatever the clock says.
func (r *Registry) Expire(now time.Time) {
	horizon := now.Add(-r.options.Lifetime).UnixMilli()
	for _, a := range r.authorities {
		a.HorizonMs = max(a.HorizonMs, horizon)
	}
	for id, e := range r.entries {
		if e.SinceMs <= horizon && (e.Phase == finished || e.Phase == abandoned) {
			r.dropAnswer(id, e)
			delete(r.entries, id)
		}
	}
}
