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
	maxAttempts          = 24
	refusalRetryDelay    = 10 * time.Millisecond
	minServerErrorStatus = 500
)

// Result is the outcome of a request.
type Result struct {
	code        codes.Code
	detail      string
	vm          string
	lastAttempt attemptRef
	begun       bool
}

// attemptRef identifies an attempt at a worker: the VM's address and the attempt's id.
type attemptRef struct {
	address string
	id      string
}

func attemptRefOf(g queue.Grant) attemptRef { return attemptRef{g.Address(), g.Request()} }

// NewResult returns a result without a VM; begun is whether the sink received the start of an answer.
func NewResult(code codes.Code, detail string, begun bool) Result {
	return Result{code: code, detail: detail, begun: begun}
}

// Code returns the result code; OK means that the upstream's answer was read to its end.
func (r Result) Code() codes.Code { return r.code }

// Outcome returns whether the request ran.
func (r Result) Outcome() codes.Outcome { return r.code.Entry().Outcome() }

// Detail returns an explanation for people, possibly empty.
func (r Result) Detail() string { return r.detail }

// VM returns the VM of the last attempt, empty for none.
func (r Result) VM() string { return r.vm }

// Attempt returns the address of the last attempt's VM and the attempt's id there, empty for none.
func (r Result) Attempt() (address, id string) { return r.lastAttempt.address, r.lastAttempt.id }

// HasBegun reports whether the sink received the start of an answer.
func (r Result) HasBegun() bool { return r.begun }

// Granter acquires grants from the pools' dispatchers and releases them.
type Granter interface {
	Acquire(ctx context.Context, ask queue.Ask) (queue.Grant, error)
	Release(g queue.Grant, result queue.Result, took time.Duration)
}

// Runner acquires a grant for each request, sends it to the upstream and forwards the answer.
type Runner struct {
	process   *proc.Process
	granter   Granter
	upstreams *UpstreamClient
	mu        sync.Mutex
	budget    *route.RetryBudget
}

// NewRunner returns a runner whose retries of requests that may have started stay below retryPercent of all requests.
func NewRunner(process *proc.Process, granter Granter, upstreams *UpstreamClient, retryPercent int) *Runner {
	return &Runner{process: process, granter: granter, upstreams: upstreams, budget: route.NewRetryBudget(retryPercent)}
}

// attempt is one attempt at one VM.
type attempt struct {
	request Request
	grant   queue.Grant
	started time.Time
}

// Run runs the request, with retries where they are safe. A request that may have run in one attempt is never reported as
// not run after another. Run continues when ctx ends after the start, so that the end of the work is known.
func (n *Runner) Run(ctx context.Context, r Request, sink Sink) Result {
	n.depositRetryBudget()
	deadline := time.Now().Add(r.spec.Timeout)
	var excluded []string
	var mayHaveRun, result Result
	retry := true
	for attempts := 0; retry && attempts < maxAttempts; attempts++ {
		result, retry = n.attemptOnce(ctx, r, sink, deadline, excluded)
		if result.vm != "" && result.code != codes.UpstreamRefused {
			excluded = append(excluded, result.vm)
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

// attemptOnce makes one attempt and reports whether another may follow.
func (n *Runner) attemptOnce(ctx context.Context, r Request, sink Sink, deadline time.Time, excluded []string) (Result, bool) {
	grant, err := n.granter.Acquire(ctx, n.newAsk(r, deadline, excluded))
	if err != nil {
		return n.acquireFailure(r, err), false
	}
	if time.Now().After(grant.StartBy()) || ctx.Err() != nil {
		n.granter.Release(grant, queue.ResultNotStarted, 0)
		return Result{code: codes.DispatcherLost, detail: "the grant came too late"}, ctx.Err() == nil
	}
	a := attempt{r, grant, time.Now()}
	n.addEvent("start", a, codes.OK)
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer cancel()
	answer, err := n.upstreams.send(runCtx, r, grant)
	if err != nil {
		return n.handleFailure(a, err)
	}
	if answer.status >= minServerErrorStatus && answer.isComplete && n.tryTakeRetry(r) {
		n.release(a, queue.ResultFailed)
		return Result{code: codes.UpstreamBroke, detail: "the upstream failed", vm: grant.VM(), lastAttempt: attemptRefOf(grant)}, true
	}
	return n.forwardAnswer(a, answer, sink), false
}

func (n *Runner) acquireFailure(r Request, err error) Result {
	var coded *codes.Error
	if errors.As(err, &coded) {
		return Result{code: coded.Code(), detail: coded.Detail()}
	}
	klog.ErrorS(err, "grant-failed", "request", r.ID())
	return Result{code: codes.Internal}
}

func (n *Runner) newAsk(r Request, deadline time.Time, excluded []string) queue.Ask {
	return queue.NewAsk(queue.AskSpec{
		Request: r.ID() + "." + rand.Text()[:6], Pool: r.spec.Pool, Team: r.spec.Team, Class: r.spec.Class,
		QueueLength: r.spec.QueueLength, Wait: time.Until(deadline), RunTime: r.spec.RunTime,
		LatestFinish: r.spec.LatestFinish, Holder: n.process.Incarnation(), ExcludedVMs: excluded,
	})
}

// handleFailure ends an attempt that got no usable answer, and reports whether another may follow.
func (n *Runner) handleFailure(a attempt, err error) (Result, bool) {
	code := codes.Of(err)
	n.addEvent("attempt-failed", a, code)
	result := Result{code: code, vm: a.grant.VM(), lastAttempt: attemptRefOf(a.grant)}
	switch code {
	case codes.UpstreamUnreached:
		n.release(a, queue.ResultUnreachable)
		return result, true
	case codes.UpstreamRefused:
		n.release(a, queue.ResultRefused)
		time.Sleep(refusalRetryDelay)
		return result, a.request.isReplayable()
	default:
		n.release(a, queue.ResultUnknown)
		return result, n.tryTakeRetry(a.request)
	}
}

func (n *Runner) tryTakeRetry(r Request) bool {
	return r.spec.Idempotent && r.isReplayable() && n.withdrawRetryBudget()
}

// forwardAnswer writes the answer to the sink. The grant is released only when the upstream's last byte has arrived, since
// the work has ended then.
func (n *Runner) forwardAnswer(a attempt, answer *upstreamAnswer, sink Sink) Result {
	result := Result{code: codes.OK, vm: a.grant.VM(), lastAttempt: attemptRefOf(a.grant), begun: true}
	sink.Begin(answer.status, answer.header, a.request.ID())
	_, sinkErr := sink.Write(answer.buffered)
	if !answer.isComplete {
		sinkErr = n.streamRest(a, answer, sink, sinkErr, &result)
	}
	if result.code == codes.OK {
		n.release(a, grantResult(answer.status))
	}
	if sinkErr != nil {
		n.addEvent("caller-left", a, codes.CallerLeft)
	}
	n.addEvent("answer", a, result.code)
	return result
}

func grantResult(status int) queue.Result {
	if status >= minServerErrorStatus {
		return queue.ResultFailed
	}
	return queue.ResultRan
}

// streamRest copies the rest of the answer with a fixed-size buffer. If the caller has disconnected it still reads to the
// end, so that the end of the work is known.
func (n *Runner) streamRest(a attempt, answer *upstreamAnswer, sink Sink, sinkErr error, result *Result) error {
	defer func() { _ = answer.body.Close() }()
	buffer := make([]byte, copyBufferBytes)
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

func (n *Runner) addEvent(kind string, a attempt, code codes.Code) {
	n.process.Events().Add(kind, event.Fields{Request: a.request.ID(), Team: a.request.Team(), VM: a.grant.VM(), Code: uint16(code)})
}

func (n *Runner) depositRetryBudget() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.budget.Deposit()
}

func (n *Runner) withdrawRetryBudget() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.budget.TryWithdraw()
}

// ForwardedHeaders returns the headers to forward: all except hop-by-hop headers and those that the gate uses itself.
func ForwardedHeaders(h http.Header) http.Header {
	out := http.Header{}
	for name, values := range h {
		if !notForwarded[name] {
			out[name] = values
		}
	}
	return out
}

var notForwarded = map[string]bool{
	"Authorization": true, "Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Content-Length": true, "Host": true, "Accept-Encoding": true, "Expect": true, "Mango-Ticket": true,
	"Idempotency-Key": true, "Mango-Timeout": true, HeaderRequestID: true, HeaderTeam: true,
	HeaderQueue: true, HeaderGate: true,
}
