package relay

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/codes"
	"mangowing/core/event"
	"mangowing/core/proc"
	"mangowing/core/route"
	"mangowing/gate/daemon/queue"
)

const (
	mostAttempts   = 24
	refusalPause   = 10 * time.Millisecond
	serverErrorMin = 500
)

// Result is what became of a request.
type Result struct {
	code   codes.Code
	detail string
	vm     string
	place  place
	begun  bool
}

// place is where an attempt went: the VM's address and the id under which its worker got it.
type place struct {
	address string
	attempt string
}

func placeOf(g queue.Grant) place { return place{g.Address(), g.Request()} }

// NewResult returns what became of a request; begun tells whether the sink got the beginning of an answer.
func NewResult(code codes.Code, detail string, begun bool) Result {
	return Result{code: code, detail: detail, begun: begun}
}

// Code returns the numbered result code; OK means that the upstream's whole answer reached the sink.
func (r Result) Code() codes.Code { return r.code }

// Outcome returns whether the request ran.
func (r Result) Outcome() codes.Outcome { return r.code.Entry().Outcome() }

// Detail returns the text for people.
func (r Result) Detail() string { return r.detail }

// VM returns the VM of the last attempt, empty for none.
func (r Result) VM() string { return r.vm }

// Attempt returns the address of the last attempt's VM and the id under which its worker knows it, empty for none.
func (r Result) Attempt() (address, id string) { return r.place.address, r.place.attempt }

// HasBegun reports whether the sink received the start of an answer.
func (r Result) HasBegun() bool { return r.begun }

// Granter is what the runner needs of the pools' dispatchers.
type Granter interface {
	Acquire(ctx context.Context, ask queue.Ask) (queue.Grant, error)
	Release(g queue.Grant, result queue.Result, took time.Duration)
}

// Runner takes requests through grant, upstream and answer.
type Runner struct {
	process   *proc.Process
	granter   Granter
	upstreams *UpstreamClient
	mu        sync.Mutex
	budget    *route.RetryBudget
}

// NewRunner returns a runner whose retries after a failure stay below the given percentage of all requests.
func NewRunner(process *proc.Process, granter Granter, upstreams *UpstreamClient, retryPercent int) *Runner {
	return &Runner{process: process, granter: granter, upstreams: upstreams, budget: route.NewRetryBudget(retryPercent)}
}

// attempt is one try at one VM.
type attempt struct {
	request Request
	grant   queue.Grant
	started time.Time
}

// Run carries the request out. Work that may have run in one attempt is never reported as not run after another. It goes on when the caller's context ends after the start, so that the work's end is known.
func (n *Runner) Run(ctx context.Context, r Request, sink Sink) Result {
	n.deposit()
	deadline := time.Now().Add(r.spec.Timeout)
	var except []string
	var mayHaveRun, result Result
	retry := true
	for attempts := 0; retry && attempts < mostAttempts; attempts++ {
		result, retry = n.try(ctx, r, sink, deadline, except)
		if result.vm != "" && result.code != codes.UpstreamRefused {
			except = append(except, result.vm)
		}
		if result.Outcome() != codes.NotRun {
			mayHaveRun = result
		}
	}
	if result.Outcome() == codes.NotRun && mayHaveRun.vm != "" {
		return mayHaveRun
	}
	return result
}

// try makes one attempt and tells whether another may follow.
func (n *Runner) try(ctx context.Context, r Request, sink Sink, deadline time.Time, except []string) (Result, bool) {
	grant, err := n.granter.Acquire(ctx, n.ask(r, deadline, except))
	if err != nil {
		return n.refused(r, err), false
	}
	if time.Now().After(grant.StartBy()) || ctx.Err() != nil {
		n.granter.Release(grant, queue.ResultNotStarted, 0)
		return Result{code: codes.DispatcherLost, detail: "the grant came too late"}, ctx.Err() == nil
	}
	a := attempt{r, grant, time.Now()}
	n.event("start", a, codes.OK)
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	answer, err := n.upstreams.send(runCtx, r, grant)
	if err != nil {
		return n.failed(a, err)
	}
	if answer.status >= serverErrorMin && answer.whole && n.mayRepeat(r) {
		n.release(a, queue.ResultFailed)
		return Result{code: codes.UpstreamBroke, detail: "the upstream failed", vm: grant.VM(), place: placeOf(grant)}, true
	}
	return n.pass(a, answer, sink), false
}

func (n *Runner) refused(r Request, err error) Result {
	var coded *codes.Error
	if errors.As(err, &coded) {
		return Result{code: coded.Code(), detail: coded.Detail()}
	}
	klog.ErrorS(err, "grant-failed", "request", r.ID())
	return Result{code: codes.Internal}
}

func (n *Runner) ask(r Request, deadline time.Time, except []string) queue.Ask {
	return queue.NewAsk(queue.AskSpec{
		Request: r.ID() + "." + rand.Text()[:6], Pool: r.spec.Pool, Team: r.spec.Team, Class: r.spec.Class,
		QueueLength: r.spec.QueueLength, Wait: time.Until(deadline), RunTime: r.spec.RunTime,
		LatestFinish: r.spec.LatestFinish, Holder: n.process.Incarnation(), ExcludedVMs: except,
	})
}

// failed ends an attempt without a usable answer.
func (n *Runner) failed(a attempt, err error) (Result, bool) {
	code := codes.Of(err)
	n.event("attempt-failed", a, code)
	result := Result{code: code, vm: a.grant.VM(), place: placeOf(a.grant)}
	switch code {
	case codes.UpstreamUnreached:
		n.release(a, queue.ResultUnreachable)
		return result, true
	case codes.UpstreamRefused:
		n.release(a, queue.ResultRefused)
		time.Sleep(refusalPause)
		return result, a.request.replayable()
	default:
		n.release(a, queue.ResultUnknown)
		return result, n.mayRepeat(a.request)
	}
}

func (n *Runner) mayRepeat(r Request) bool {
	return r.spec.Idempotent && r.replayable() && n.withdraw()
}

// pass hands the answer to the sink. The work's end is known once the upstream's last byte arrived.
func (n *Runner) pass(a attempt, answer *reply, sink Sink) Result {
	result := Result{code: codes.OK, vm: a.grant.VM(), place: placeOf(a.grant), begun: true}
	sink.Begin(answer.status, answer.header, a.request.ID())
	_, sinkErr := sink.Write(answer.held)
	if !answer.whole {
		sinkErr = n.stream(a, answer, sink, sinkErr, &result)
	}
	if result.code == codes.OK {
		n.release(a, resultOf(answer.status))
	}
	if sinkErr != nil {
		n.event("caller-left", a, codes.CallerLeft)
	}
	n.event("answer", a, result.code)
	return result
}

func resultOf(status int) queue.Result {
	if status >= serverErrorMin {
		return queue.ResultFailed
	}
	return queue.ResultRan
}

// stream copies the rest of the answer within a bounded buffer; it reads on to the end when the caller has left.
func (n *Runner) stream(a attempt, answer *reply, sink Sink, sinkErr error, result *Result) error {
	defer func() { _ = answer.body.Close() }()
	buffer := make([]byte, copyBytes)
	for {
		got, err := answer.body.Read(buffer)
		if got > 0 && sinkErr == nil {
			_, sinkErr = sink.Write(buffer[:got])
		}
		if errors.Is(err, io.EOF) {
			return sinkErr
		}
		if err != nil {
			n.release(a, queue.ResultUnknown)
			result.code = codes.AnswerBroken
			return sinkErr
		}
	}
}

func (n *Runner) release(a attempt, result queue.Result) {
	n.granter.Release(a.grant, result, time.Since(a.started))
}

func (n *Runner) event(kind string, a attempt, code codes.Code) {
	n.process.Events().Add(kind, event.Fields{Request: a.request.ID(), Team: a.request.Team(), VM: a.grant.VM(), Code: uint16(code)})
}

func (n *Runner) deposit() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budget.Deposit()
}

func (n *Runner) withdraw() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.budget.TryWithdraw()
}

// ForwardedHeaders returns the caller's headers that an upstream gets: all but the gate's own and the connection's.
func ForwardedHeaders(h http.Header) http.Header {
	out := http.Header{}
	for name, values := range h {
		if !hopHeader[name] {
			out[name] = values
		}
	}
	return out
}

var hopHeader = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Content-Length": true, "Host": true, "Accept-Encoding": true, "Expect": true, "Mango-Ticket": true,
	"Idempotency-Key": true, "Mango-Timeout": true, HeaderRequestID: true, HeaderTeam: true,
	HeaderQueue: true, HeaderGate: true,
}
