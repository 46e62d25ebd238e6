package intake

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"mangowing/core/codes"
	"mangowing/core/sched"
	"mangowing/core/setup"
	"mangowing/core/timer"
	"mangowing/gate/feed"
	"mangowing/gate/lead"
	"mangowing/gate/owner"
	"mangowing/gate/peers"
	"mangowing/gate/ports"
)

const (
	inboxTopic = "inbox"
	// A configuration that is older than this may miss a withdrawn key.
	staleAfter = 5 * time.Second
	// Callers that don't say how long they wait are answered within this time.
	defaultWait = 2500 * time.Millisecond
	leastWait   = 600 * time.Millisecond
	// Time kept back from the caller's deadline for the answer's way.
	answerMargin = 150 * time.Millisecond
	// One call to the owner.
	ownerLimit = 800 * time.Millisecond
	// The inbox is used when the owner could not be reached for this long.
	inboxAfter = 900 * time.Millisecond
	retryPause = 60 * time.Millisecond
	inboxLimit = 1200 * time.Millisecond
	inboxHedge = 250 * time.Millisecond
	inboxTries = 3
	idDigits   = 16
	retrySoon  = time.Second
	// Callers come back this much later while the log is away.
	retryAway = 2 * time.Second
	awayAfter = 1200 * time.Millisecond
)

// LocalOwner is the owner on this gate.
type LocalOwner interface {
	Submit(ctx context.Context, spec sched.JobSpec) lead.Answer
	Cancel(ctx context.Context, id string) lead.Answer
	State(ctx context.Context, id string) lead.Answer
	Pending(ctx context.Context, queue string) lead.Answer
}

// Service answers callers.
type Service struct {
	lead    LocalOwner
	network feed.Network
	keeper  *owner.Elector
	configs *feed.Configs
	log     ports.Log
}

// New returns a service that serves callers by the given parts.
func New(l LocalOwner, network feed.Network, keeper *owner.Elector, configs *feed.Configs, log ports.Log) *Service {
	return &Service{lead: l, network: network, keeper: keeper, configs: configs, log: log}
}

// IsReady reports whether the gate knows a configuration that is fresh.
func (s *Service) IsReady() bool {
	return s.configs.Config() != nil && s.configs.Age() < staleAfter
}

// Limits returns the bounds on what callers may send.
func (s *Service) Limits() setup.Limits {
	if cfg := s.configs.Config(); cfg != nil {
		return cfg.Limits()
	}
	return setup.Limits{}
}

// admit finds the queue that a call is for and the team that its key belongs to.
func (s *Service) admit(c Call) (q setup.Queue, rest, team string, code codes.Code) {
	cfg := s.configs.Config()
	if cfg == nil || s.configs.Age() >= staleAfter {
		return setup.Queue{}, "", "", codes.ConfigStale
	}
	q, rest, found := cfg.Match(c.Host, c.Path)
	if !found {
		return setup.Queue{}, "", "", codes.QueueUnknown
	}
	if q.KeyOptional && c.Key == "" {
		return q, rest, "", codes.OK
	}
	team, known := cfg.TeamByKey(c.Key)
	if !known && !q.KeyOptional {
		return setup.Queue{}, "", "", codes.KeyUnknown
	}
	return q, rest, team, codes.OK
}

// CheckAdmission reports whether a call would be let in, before its body is read.
func (s *Service) CheckAdmission(c Call) codes.Code {
	_, _, _, code := s.admit(c)
	return code
}

// Submit takes a job; the specification has what the caller says of it.
func (s *Service) Submit(ctx context.Context, c Call, spec sched.JobSpec) Reply {
	q, rest, team, code := s.admit(c)
	if code != codes.OK {
		return s.refused("job", rest, code)
	}
	if !validID(rest) {
		return refuse(codes.MalformedRequest, 0)
	}
	spec.ID, spec.Queue, spec.Pool, spec.Team = rest, q.Name, q.Pool, team
	spec.Priority, spec.MaxAttempts, spec.Slack, spec.TargetMs = q.Priority, q.MaxAttempts, q.SlackFactor, q.TargetLatency.Milliseconds()
	spec.AcceptedMs, spec.FirstReceivedMs = time.Now().UnixMilli(), c.Received.UnixMilli()
	ctx, cancel := context.WithDeadline(ctx, until(c))
	defer cancel()
	reply := s.submit(ctx, spec)
	count("submit", reply.code, c.Received)
	klog.InfoS("job-answered", "job", rest, "queue", q.Name, "team", team, "code", reply.code.String(),
		"took-ms", time.Since(c.Received).Milliseconds(), "config", s.version())
	return reply
}

// count notes a call's outcome and how long it took.
func count(what string, code codes.Code, received time.Time) {
	metrics.GetOrCreateCounter(fmt.Sprintf("mangowing_calls_total{what=%q,code=%q}", what, code.Entry().Name())).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("mangowing_call_seconds{what=%q}", what)).Update(time.Since(received).Seconds())
}

func (s *Service) version() int64 {
	if cfg := s.configs.Config(); cfg != nil {
		return cfg.Version()
	}
	return 0
}

func (s *Service) refused(what, id string, code codes.Code) Reply {
	count(what, code, time.Now())
	klog.InfoS("call-refused", "what", what, "job", id, "code", code.String(), "config", s.version(),
		"config-age-ms", s.configs.Age().Milliseconds())
	if code == codes.ConfigStale {
		return refuse(code, retrySoon)
	}
	return refuse(code, 0)
}

// submit asks the owner, and uses the inbox when the owner can't be reached. A job that may have been stored is never
// said to have been refused.
func (s *Service) submit(ctx context.Context, spec sched.JobSpec) Reply {
	record, err := sched.Encode(sched.JobAccepted{Job: spec})
	if err != nil {
		klog.ErrorS(err, "job-not-encoded", "job", spec.ID)
		return refuse(codes.MalformedRequest, 0)
	}
	started := time.Now()
	unsettled := false
	if s.storeAway() {
		klog.V(1).InfoS("job-refused", "job", spec.ID, "why", "neither the owner nor the log can be reached")
		return refuse(codes.JobStoreAway, retryAway)
	}
	for time.Since(started) < inboxAfter && ctx.Err() == nil {
		a := s.ask(ctx, request{Kind: askSubmit, Record: record, ID: spec.ID}, func(ctx context.Context) lead.Answer {
			return s.lead.Submit(ctx, spec)
		})
		switch a.Code() {
		case codes.NotOwner:
		case codes.JobUnsettled:
			unsettled = true
		case codes.JobPoolFull, codes.JobStoreAway:
			if unsettled {
				return refuse(codes.JobUnsettled, 0)
			}
			return refuse(a.Code(), a.RetryAfter())
		default:
			return Reply{code: a.Code()}
		}
		timer.Sleep(ctx, retryPause)
	}
	return s.toInbox(ctx, record, spec.ID, unsettled)
}

// storeAway tells whether a job surely can't be stored now: the log has not answered this gate for a while, and there
// is no owner that could store it.
func (s *Service) storeAway() bool {
	return s.keeper.OwnEpoch() == 0 && s.keeper.TimeSinceLogRead() > awayAfter && !s.keeper.IsOwnerReachable()
}

func (s *Service) toInbox(ctx context.Context, record []byte, id string, unsettled bool) Reply {
	_, err := lead.Hedged(ctx, inboxHedge, inboxTries, func(ctx context.Context) (int64, error) {
		ctx, cancel := context.WithTimeout(ctx, inboxLimit)
		defer cancel()
		return s.log.Append(ctx, ports.Append{Topic: inboxTopic, Records: [][]byte{record}, ExpectedEnd: ports.AnyEnd})
	})
	klog.InfoS("inbox-used", "job", id, "error", errText(err))
	switch {
	case err == nil:
		return Reply{}
	case errors.Is(err, ports.ErrRejected) && !unsettled:
		return refuse(codes.JobStoreAway, retryAway)
	default:
		return refuse(codes.JobUnsettled, 0)
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Cancel says that a job's caller no longer wants it.
func (s *Service) Cancel(ctx context.Context, c Call) Reply {
	_, id, _, code := s.admit(c)
	if code != codes.OK {
		return s.refused("cancel", id, code)
	}
	ctx, cancel := context.WithDeadline(ctx, until(c))
	defer cancel()
	started := time.Now()
	for time.Since(started) < inboxAfter && ctx.Err() == nil {
		a := s.ask(ctx, request{Kind: askCancel, ID: id}, func(ctx context.Context) lead.Answer { return s.lead.Cancel(ctx, id) })
		if a.Code() != codes.NotOwner && a.Code() != codes.JobUnsettled {
			count("cancel", a.Code(), c.Received)
			return Reply{code: a.Code()}
		}
		timer.Sleep(ctx, retryPause)
	}
	record, err := sched.Encode(sched.JobCancelled{ID: id})
	if err != nil {
		klog.ErrorS(err, "cancel-not-encoded", "job", id)
		return refuse(codes.JobUnsettled, 0)
	}
	return s.toInbox(ctx, record, id, true)
}

// State tells what became of a job; a path without a job's id asks how many jobs of the queue wait.
func (s *Service) State(ctx context.Context, c Call) (reply Reply, queue bool) {
	q, id, _, code := s.admit(c)
	if code != codes.OK {
		return s.refused("state", id, code), false
	}
	ctx, cancel := context.WithDeadline(ctx, until(c))
	defer cancel()
	for ctx.Err() == nil {
		var a lead.Answer
		if id == "" {
			a = s.ask(ctx, request{Kind: askPending, Queue: q.Name}, func(ctx context.Context) lead.Answer { return s.lead.Pending(ctx, q.Name) })
		} else {
			a = s.ask(ctx, request{Kind: askState, ID: id}, func(ctx context.Context) lead.Answer { return s.lead.State(ctx, id) })
		}
		if a.Code() != codes.NotOwner && a.Code() != codes.JobUnsettled {
			count("state", a.Code(), c.Received)
			return Reply{code: a.Code(), state: a.State(), pending: a.Count()}, id == ""
		}
		timer.Sleep(ctx, retryPause)
	}
	count("state", codes.NotOwner, c.Received)
	return refuse(codes.NotOwner, retrySoon), id == ""
}

// ask calls the owner, on this gate or another.
func (s *Service) ask(ctx context.Context, r request, local func(context.Context) lead.Answer) lead.Answer {
	ctx, cancel := context.WithTimeout(ctx, ownerLimit)
	defer cancel()
	if s.keeper.OwnEpoch() != 0 {
		return local(ctx)
	}
	address := s.keeper.View().Address()
	if address == "" {
		return lead.NewRefusal(codes.NotOwner, 0)
	}
	var result response
	began := time.Now()
	err := s.network.Call(ctx, address, askMethod, r, &result)
	switch {
	case err == nil:
		s.keeper.RecordCallResult(address, true)
		return result.answer()
	case errors.Is(err, peers.ErrRefused):
		s.keeper.RecordCallResult(address, false)
		s.keeper.RecordRefusedConnection(address)
		return lead.NewRefusal(codes.NotOwner, 0)
	default:
		klog.InfoS("owner-not-reached", "address", address, "kind", r.Kind, "job", r.ID, "error", err.Error())
		s.network.DropIfIdle(address, time.Since(began))
		s.keeper.RecordCallResult(address, false)
		return lead.NewRefusal(codes.JobUnsettled, 0)
	}
}

// until returns when a call must be answered; a caller about to leave does not keep its job from being stored.
func until(c Call) time.Time {
	if c.Deadline.IsZero() {
		return c.Received.Add(defaultWait)
	}
	at, least := c.Deadline.Add(-answerMargin), c.Received.Add(leastWait)
	if at.Before(least) {
		return least
	}
	return at
}

func validID(id string) bool {
	if len(id) != idDigits {
		return false
	}
	return strings.Trim(id, "0123456789abcdefABCDEF") == ""
}
