package codes

import (
	"errors"
	"fmt"
	"net/http"
)

// Code is a numbered result. Its entry in the table holds its name, HTTP status, outcome and advice.
type Code uint16

// Codes of callers' requests (100-399), operators' calls (400-499) and jobs (600-699).
const (
	OK                 Code = 0
	MalformedRequest   Code = 100
	BodyTooLarge       Code = 101
	KeyMissing         Code = 102
	KeyUnknown         Code = 103
	KeyWithdrawn       Code = 104
	QueueUnknown       Code = 105
	TeamNotAllowed     Code = 106
	OperatorUnknown    Code = 107
	RequestMismatch    Code = 108
	TicketUnknown      Code = 109
	QueueFull          Code = 200
	TeamLimit          Code = 201
	DeadlineUnmeetable Code = 202
	NoUpstream         Code = 203
	UpstreamRefused    Code = 204
	GateNotReady       Code = 205
	GateStopping       Code = 206
	LimitHeldElsewhere Code = 207
	RetryBudgetSpent   Code = 208
	ClaimLogDown       Code = 209
	CallerLeft         Code = 210
	DispatcherLost     Code = 211
	UpstreamUnreached  Code = 212
	ClaimsFull         Code = 213
	UpstreamBroke      Code = 300
	UpstreamTimeout    Code = 301
	HolderGone         Code = 302
	AnswerGone         Code = 303
	StillRunning       Code = 304
	AnswerBroken       Code = 305
	AlreadyClaimed     Code = 306
	DeclarationClash   Code = 400
	RevisionConflict   Code = 401
	LogUnavailable     Code = 402
	NotYetInForce      Code = 403
	ObjectUnknown      Code = 404
	FencedOff          Code = 405
	BudgetSpent        Code = 406
	RecordMalformed    Code = 407
	Internal           Code = 500
	JobSetAside        Code = 600
	JobCancelled       Code = 601
	JobLate            Code = 602
	JobUnknown         Code = 603
	JobPoolFull        Code = 604
	JobStoreAway       Code = 605
	JobUnsettled       Code = 606
	ConfigStale        Code = 607
	NotOwner           Code = 608
	JobTooLarge        Code = 609
)

// Entry is the description of one code.
type Entry struct {
	code     Code
	name     string
	status   int
	outcome  Outcome
	caller   string
	operator string
}

// Code returns the code.
func (e Entry) Code() Code { return e.code }

// Name returns the code's name in kebab case.
func (e Entry) Name() string { return e.name }

// Status returns the HTTP status of an answer with the code.
func (e Entry) Status() int { return e.status }

// Outcome returns whether a request with this result ran.
func (e Entry) Outcome() Outcome { return e.outcome }

// CallerAdvice returns what the caller should do.
func (e Entry) CallerAdvice() string { return e.caller }

// OperatorAdvice returns what an operator should do.
func (e Entry) OperatorAdvice() string { return e.operator }

const statusClientClosedRequest = 499

var table = []Entry{
	{OK, "ok", http.StatusOK, Ran, "use the answer", "nothing"},
	{MalformedRequest, "malformed-request", http.StatusBadRequest, NotRun, "correct the request", "nothing"},
	{BodyTooLarge, "body-too-large", http.StatusRequestEntityTooLarge, NotRun, "send a smaller body", "raise [traffic] max-body-bytes if such bodies are wanted"},
	{KeyMissing, "key-missing", http.StatusUnauthorized, NotRun, "send the team's key as a bearer token", "nothing"},
	{KeyUnknown, "key-unknown", http.StatusUnauthorized, NotRun, "ask the operators for a key", "check that the key was granted: mango key list"},
	{KeyWithdrawn, "key-withdrawn", http.StatusUnauthorized, NotRun, "ask the operators for a new key", "nothing"},
	{QueueUnknown, "queue-unknown", http.StatusNotFound, NotRun, "use a declared queue", "check the declarations: mango status"},
	{TeamNotAllowed, "team-not-allowed", http.StatusForbidden, NotRun, "use a queue of your team", "add the team to the queue's teams"},
	{OperatorUnknown, "operator-unknown", http.StatusUnauthorized, NotRun, "use an operator's credential", "check [operators] key-hashes in the settings"},
	{RequestMismatch, "request-mismatch", http.StatusConflict, NotRun, "use a new ticket or key for another request", "nothing"},
	{TicketUnknown, "ticket-unknown", http.StatusNotFound, Unknown, "check the ticket", "nothing"},
	{QueueFull, "queue-full", http.StatusTooManyRequests, NotRun, "retry later with backoff", "compare the team's demand with its share; add VMs to the pool"},
	{TeamLimit, "team-limit", http.StatusTooManyRequests, NotRun, "retry when running work has ended", "raise the team's limit if the team paid for more"},
	{DeadlineUnmeetable, "deadline-unmeetable", http.StatusServiceUnavailable, NotRun, "retry later or allow more time", "add VMs to the pool"},
	{NoUpstream, "no-upstream", http.StatusServiceUnavailable, NotRun, "retry later with backoff", "check the pool's serving VMs: mango pool"},
	{UpstreamRefused, "upstream-refused", http.StatusServiceUnavailable, NotRun, "retry later with backoff", "the pool's workers are full: add VMs"},
	{GateNotReady, "gate-not-ready", http.StatusServiceUnavailable, NotRun, "retry at once through the balancer", "wait until /readyz answers 200"},
	{GateStopping, "gate-stopping", http.StatusServiceUnavailable, NotRun, "retry at once through the balancer", "nothing, the gate is in a planned stop"},
	{LimitHeldElsewhere, "limit-held-elsewhere", http.StatusServiceUnavailable, NotRun, "retry later, or in another data centre", "the data centre holding the team's limit can't be reached"},
	{RetryBudgetSpent, "retry-budget-spent", http.StatusServiceUnavailable, NotRun, "retry later with backoff", "look for failing workers: mango pool"},
	{ClaimLogDown, "claim-log-down", http.StatusServiceUnavailable, NotRun, "take a ticket and send the request with it", "the platform's log is down: see the outage page"},
	{CallerLeft, "caller-left", statusClientClosedRequest, NotRun, "nothing", "nothing"},
	{DispatcherLost, "dispatcher-lost", http.StatusServiceUnavailable, NotRun, "retry at once through the balancer", "a gate was replaced or cut: mango status"},
	{UpstreamUnreached, "upstream-unreached", http.StatusServiceUnavailable, NotRun, "retry later with backoff", "check the pool's serving VMs: mango pool"},
	{ClaimsFull, "claims-full", http.StatusServiceUnavailable, NotRun, "take a ticket and send the request with it", "more idempotency keys come than the log's claims can hold: let callers use tickets"},
	{UpstreamBroke, "upstream-broke", http.StatusBadGateway, Unknown, "ask for the outcome; repeat only idempotent work", "look at the worker named in the timeline"},
	{UpstreamTimeout, "upstream-timeout", http.StatusGatewayTimeout, Unknown, "ask for the outcome; repeat only idempotent work", "compare the team's time-out with its run times"},
	{HolderGone, "holder-gone", http.StatusGone, Unknown, "ask for the outcome; repeat only idempotent work", "a gate was lost with its tickets; nothing to do"},
	{AnswerGone, "answer-gone", http.StatusGone, Ran, "do not repeat: the work ran", "raise [tickets] answers-kept-bytes if this is common"},
	{StillRunning, "still-running", http.StatusAccepted, Unknown, "ask again later", "nothing"},
	{AnswerBroken, "answer-broken", http.StatusBadGateway, Unknown, "ask for the outcome; repeat only idempotent work", "look at the worker named in the timeline"},
	{AlreadyClaimed, "already-claimed", http.StatusConflict, Unknown, "ask the gate that holds the claim", "nothing"},
	{DeclarationClash, "declaration-clash", http.StatusUnprocessableEntity, NotRun, "nothing", "mend every fault listed and apply again"},
	{RevisionConflict, "revision-conflict", http.StatusConflict, NotRun, "nothing", "another operator was first: mango diff, then apply again"},
	{LogUnavailable, "log-unavailable", http.StatusServiceUnavailable, NotRun, "nothing", "the platform's log is down: see the outage page"},
	{NotYetInForce, "not-yet-in-force", http.StatusAccepted, Unknown, "nothing", "run mango status until every gate has the offset"},
	{ObjectUnknown, "object-unknown", http.StatusNotFound, NotRun, "nothing", "check the name"},
	{FencedOff, "fenced-off", http.StatusConflict, NotRun, "nothing", "the planner lost its lease; its successor goes on"},
	{BudgetSpent, "budget-spent", http.StatusConflict, NotRun, "nothing", "wait until VMs are back, or change the budget"},
	{RecordMalformed, "record-malformed", http.StatusBadRequest, NotRun, "nothing", "a writer of another version? look at the gate's log"},
	{Internal, "internal", http.StatusInternalServerError, Unknown, "ask for the outcome", "report the log line with this request's id"},
	{JobSetAside, "job-set-aside", http.StatusUnprocessableEntity, Ran, "mend the job: it failed on several healthy workers", "nothing"},
	{JobCancelled, "job-cancelled", http.StatusGone, NotRun, "nothing", "nothing"},
	{JobLate, "job-late", http.StatusServiceUnavailable, NotRun, "allow a later finish", "add VMs to the pool"},
	{JobUnknown, "job-unknown", http.StatusGone, NotRun, "check the job's id", "nothing"},
	{JobPoolFull, "job-pool-full", http.StatusTooManyRequests, NotRun, "hand the job in again after the time in Retry-After", "add VMs to the pool, or let machines move there"},
	{JobStoreAway, "job-store-away", http.StatusServiceUnavailable, NotRun, "hand the job in again after the time in Retry-After", "the platform's log turns the gates away"},
	{JobUnsettled, "job-unsettled", http.StatusGatewayTimeout, Unknown, "hand the job in again with the same id", "the platform's log does not answer"},
	{ConfigStale, "config-stale", http.StatusServiceUnavailable, NotRun, "retry through the balancer after the time in Retry-After", "the gate reaches neither the platform nor another gate"},
	{NotOwner, "not-owner", http.StatusServiceUnavailable, NotRun, "retry through the balancer", "the scheduling gate changes; see the owner in the status"},
	{JobTooLarge, "job-too-large", http.StatusRequestEntityTooLarge, NotRun, "split the job: it has too many steps or tasks", "nothing"},
}

var entries = indexByCode()

func indexByCode() map[Code]Entry {
	index := make(map[Code]Entry, len(table))
	for _, e := range table {
		index[e.code] = e
	}
	return index
}

// Table returns all entries in ascending order of code.
func Table() []Entry {
	return append([]Entry(nil), table...)
}

// Entry returns the code's entry, or that of Internal for an unknown code.
func (c Code) Entry() Entry {
	if e, ok := entries[c]; ok {
		return e
	}
	return entries[Internal]
}

// String returns the number and name, such as "201 team-limit".
func (c Code) String() string {
	return fmt.Sprintf("%d %s", uint16(c), c.Entry().name)
}

// Error is an error with a result code.
type Error struct {
	code   Code
	detail string
}

// Errorf returns an error with the given code and a formatted detail. The detail must not contain secrets.
func Errorf(c Code, format string, args ...any) *Error {
	return &Error{code: c, detail: fmt.Sprintf(format, args...)}
}

// Error returns the number, name and detail.
func (e *Error) Error() string {
	if e.detail == "" {
		return e.code.String()
	}
	return e.code.String() + ": " + e.detail
}

// Code returns the error's result code.
func (e *Error) Code() Code { return e.code }

// Detail returns the human-readable detail.
func (e *Error) Detail() string { return e.detail }

// Of returns the code of the first Error in the error's chain, OK for nil, and Internal if there is none.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.code
	}
	return Internal
}
