package queue

import (
	"time"

	"mangowing/core/codes"
	"mangowing/core/decl"
)

// StartWindow is how long after its grant a request may be started, counted by the gate that holds the grant from
// before it asked. A dispatcher that has lost sight of the holder waits this long before it believes a worker's report.
const StartWindow = 2 * time.Second

// Ask is what a gate tells a dispatcher about a request that it wants to start.
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
	AgeMs        int64      `json:"age-ms,omitempty"` // since the request was first asked for, at any dispatcher
	FinishInMs   int64      `json:"finish-in-ms"`
	RunTimeMs    int64      `json:"run-time-ms"`
	Holder       string     `json:"holder"`
	Immediate    bool       `json:"immediate"`
	ExceptVM     []string   `json:"except-vm,omitempty"`
	LatestFinish int64      `json:"latest-finish-ms,omitempty"`
}

// AskSpec names what an Ask consists of, for NewAsk.
type AskSpec struct {
	Request      string        // the request's id, unique to the attempt
	Pool         string        // the pool that serves the queue
	Team         string        // the team that the request works for
	Class        decl.Class    // the urgency
	QueueLength  int           // how many requests of the team may wait
	Wait         time.Duration // how long the caller waits for its answer
	RunTime      time.Duration // the declared run time
	LatestFinish time.Time     // when background work must be done, zero for none
	Holder       string        // the incarnation that asks
	ExcludedVMs  []string      // VMs that the request must not go to again
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

// Grant is the right to start one request on one VM until a moment.
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

// NewGrant returns a grant of the asked request on a VM, valid until the moment.
func NewGrant(a Ask, vm, address string, startBy time.Time) Grant {
	return Grant{request: a.w.Request, pool: a.w.Pool, holder: a.w.Holder, vm: vm, address: address, startBy: startBy}
}

// Request returns the id of the attempt, by which dispatcher and upstream know it.
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
	MoveTo     string `json:"move-to,omitempty"` // the data centre where to ask instead
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
	resultAbandoned   Result = "abandoned" // the holder ended without a word
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

type drainedWire struct {
	VM       string `json:"vm"`
	Revision uint64 `json:"revision"`
}

type drainedAnswerWire struct {
	Seen        bool `json:"seen"`
	Outstanding int  `json:"outstanding"`
}
