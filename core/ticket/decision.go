package ticket

// Decision tells what to do with a request that carries a ticket or an idempotency key. Only the types of this package
// implement it.
type Decision interface{ isDecision() }

// Start permits this one call to start the request now; Finish or Release must follow.
type Start struct{}

// RepeatAnswer holds the stored answer of the earlier run.
type RepeatAnswer struct{ answer Answer }

// Answer returns the stored answer.
func (r RepeatAnswer) Answer() Answer { return r.answer }

// InProgress means that the request is running or being claimed.
type InProgress struct{}

// Mismatch means that the ticket or key was used for a different request; this one was not run.
type Mismatch struct{}

// AnswerGone means that the request ran and its answer is no longer stored.
type AnswerGone struct{}

// HeldElsewhere means that another incarnation decides about the ticket or key.
type HeldElsewhere struct{ holder string }

// Holder returns the incarnation that decides.
func (h HeldElsewhere) Holder() string { return h.holder }

// UnknownTicket means that the ticket was never minted here or has expired; the request must not start.
type UnknownTicket struct{}

// OutcomeUnknown means that the request may have run and its outcome can't be determined any more.
type OutcomeUnknown struct{}

// NeedsClaim asks the caller to write a claim record for this incarnation; ResolveClaim or AbandonClaim must follow.
type NeedsClaim struct{}

func (Start) isDecision()          {}
func (RepeatAnswer) isDecision()   {}
func (InProgress) isDecision()     {}
func (Mismatch) isDecision()       {}
func (AnswerGone) isDecision()     {}
func (HeldElsewhere) isDecision()  {}
func (UnknownTicket) isDecision()  {}
func (OutcomeUnknown) isDecision() {}
func (NeedsClaim) isDecision()     {}
