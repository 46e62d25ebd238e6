package ticket

// Decision is what to do about a request that came with a ticket or an idempotency key; its kinds are the types of this
// package only.
type Decision interface{ isDecision() }

// Start lets the request start now; nobody else may, and Finish or Release must follow.
type Start struct{}

// Repeat hands out the stored answer of the run that took place.
type Repeat struct{ answer Answer }

// Answer returns the stored answer.
func (r Repeat) Answer() Answer { return r.answer }

// Running means that the request is being run or claimed.
type Running struct{}

// Mismatch means that the ticket or key belongs to another request; this one was not run.
type Mismatch struct{}

// AnswerGone means that the request ran and its answer is no longer kept.
type AnswerGone struct{}

// NotMine names the incarnation that may decide.
type NotMine struct{ holder string }

// Holder returns the incarnation.
func (n NotMine) Holder() string { return n.holder }

// Unknown means that the ticket was never minted here or is too old; nothing is started for it.
type Unknown struct{}

// Lost means that the request may have run and nobody can tell any more.
type Lost struct{}

// Claim asks for a claim record of this incarnation; Claimed or Abandon must follow.
type Claim struct{}

func (Start) isDecision()      {}
func (Repeat) isDecision()     {}
func (Running) isDecision()    {}
func (Mismatch) isDecision()   {}
func (AnswerGone) isDecision() {}
func (NotMine) isDecision()    {}
func (Unknown) isDecision()    {}
func (Lost) isDecision()       {}
func (Claim) isDecision()      {}
