package ticket

// Decision is what to do about a request that came with a ticket or an idempotency key; its kinds are the types of this
// package only.
type Decision interface{ isDecision() }

// Start lets the request start now; nobody else may, and Finish or Release must follow.
type Start struct{}

// RepeatAnswer hands out the stored answer of the run that took place.
type RepeatAnswer struct{ answer Answer }

// Answer returns the stored answer.
func (r RepeatAnswer) Answer() Answer { return r.answer }

// InProgress means that the request is being run or claimed.
type InProgress struct{}

// Mismatch means that the ticket or key belongs to another request; this one was not run.
type Mismatch struct{}

// AnswerGone means that the request ran and its answer is no longer kept.
type AnswerGone struct{}

// HeldElsewhere names the incarnation that may decide.
type HeldElsewhere struct{ holder string }

// Holder returns the incarnation.
func (n HeldElsewhere) Holder() string { return n.holder }

// UnknownTicket means that the ticket was never minted here or is too old; nothing is started for it.
type UnknownTicket struct{}

// OutcomeUnknown means that the request may have run and nobody can tell any more.
type OutcomeUnknown struct{}

// NeedsClaim asks for a claim record of this incarnation; ResolveClaim or AbandonClaim must follow.
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
