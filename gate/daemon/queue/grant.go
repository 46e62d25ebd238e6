package queue

import (
	"time"

	"mangowing/core/codes"
	"mangowing/core/decl"
)

// StartWindow is how long after its grant a request may be started. The gate that holds the grant counts from a lower bound
// of the grant's time. A dispatcher that can't reach the holder waits this long before it relies on a worker's report,
// since the holder may start the work until then.
const StartWindow = 2 * time.Second

// Ask is a gate's request to a dispatcher for permission to start one request.
type Ask struct {
	w askWire
}

type askWire struct {
	Request      string     `json:"request"`
	Pool         string     `json:"pool"`
	Team         string     `json:"team"`
	Class        decl.Class `json:"class"`
	QueueLength  int        `json:"queue-length"`
	WaitMs       int64      `json:"wait-ms"`
	AgeMs        int64      `json:"age-ms,omitempty"` // since the first ask for the request, at any dispatcher
	FinishInMs   int64      `json:"finish-in-ms"`
	RunTimeMs    int64      `json:"run-time-ms"`
	Holder       string     `json:"holder"`
	Immediate    bool       `json:"immediate"`
	ExceptVM     []string   `json:"except-vm,omitempty"`
	LatestFinish int64      `json:"latest-finish-ms,omitempty"`
}

// AskSpec is the argument of NewAsk.
type AskSpec struct {
	Request      string        // the request's id, unique to the attempt
	Pool         string        // the pool that serves the queue
	Team         string        // the team that the request works for
	Class        decl.Class    // the class of urgency
	QueueLength  int           // how many requests of the team may wait
	Wait         time.Duration // how long the caller waits for its answer
	RunTime      time.Duration // the declared run time
	LatestFinish time.Time     // when background work must be done, zero for none
	Holder       string        // the incarnation that asks
	ExcludedVMs  []string      // VMs that the request must not be sent to
}

// NewAsk returns the request described by the specification.
func NewAsk(s AskSpec) Ask {
	w := askWire{
		Request: s.Request, Pool: s.Pool, Team: s.Team, Class: s.Class, QueueLength: s.QueueLength,
		WaitMs: s.Wait.Milliseconds(), RunTimeMs: s.RunTime.Milliseconds(), Holder: s.Holder, ExceptVM: s.ExcludedVMs,
	}
	if !s.LatestFinish.IsZero() {
		w.LatestFinish = s.LatestFinish.UnixMilli()
	}
	return Ask{w}
}

// Grant is the permission to start one request on one VM until StartBy.
type Grant struct {
	request    string
	vm         string
	address    string
	holder     string
	dispatcher string
	peer       string
	pool       string
	startBy    time.Time
}

// NewGrant returns a grant for the ask's request on a VM; it is valid until startBy.
func NewGrant(a Ask, vm, address string, startBy time.Time) Grant {
	return Grant{request: a.w.Request, pool: a.w.Pool, holder: a.w.Holder, vm: vm, address: address, startBy: startBy}
}

// Request returns the id of the attempt, as dispatcher and upstream use it.
func (g Grant) Request() string { return g.request }

// VM returns the name of the VM to start on.
func (g Grant) VM() string { return g.vm }

// Address returns host and port of the VM's worker.
func (g Grant) Address() string { return g.address }

// Dispatcher returns the incarnation that granted the start and holds the team's right until the work has ended.
func (g Grant) Dispatcher() string { return g.dispatcher }

// StartBy returns the moment after which the request must not be started under this grant.
func (g Grant) StartBy() time.Time { return g.startBy }

type answerWire struct {
	Granted    bool   `json:"granted"`
	Code       uint16 `json:"code"`
	Detail     string `json:"detail,omitempty"`
	MoveTo     string `json:"move-to,omitempty"` // the data centre to ask instead
	BacklogMs  int64  `json:"backlog-ms"`
	WaitedMs   int64  `json:"waited-ms"`
	VM         string `json:"vm,omitempty"`
	Address    string `json:"address,omitempty"`
	Dispatcher string `json:"dispatcher,omitempty"`
}

func refusal(code codes.Code, detail string) answerWire {
	return answerWire{Code: uint16(code), Detail: detail}
}

// Result is how a granted start went.
type Result string

// Results of a granted start.
const (
	ResultRan         Result = "ran"
	ResultFailed      Result = "failed"
	ResultRefused     Result = "refused"
	ResultUnreachable Result = "unreached"
	ResultNotStarted  Result = "not-started"
	ResultUnknown     Result = "unsure"
	resultAbandoned   Result = "abandoned" // the holder ended without releasing the grant
)

type releaseWire struct {
	Pool    string `json:"pool"`
	Request string `json:"request"`
	Result  Result `json:"result"`
	TookMs  int64  `json:"took-ms"`
}

type cancelWire struct {
	Pool    string `json:"pool"`
	Request string `json:"request"`
}

type drainQueryWire struct {
	VM       string `json:"vm"`
	Revision uint64 `json:"revision"`
}

type drainAnswerWire struct {
	Seen        bool `json:"seen"`
	Outstanding int  `json:"outstanding"`
}
