package intake

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"mangowing/core/admit"
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
	// Calls are refused with an older configuration, since it may still contain a withdrawn key.
	maxConfigAge = 5 * time.Second
	// Time limit of calls without a deadline.
	defaultAnswerTime = 2500 * time.Millisecond
	minAnswerTime     = 600 * time.Millisecond
	// Part of the time to the caller's deadline that is reserved for sending the answer.
	answerMargin = 150 * time.Millisecond
	// Time limit of one call to the owner.
	ownerCallTimeout = 800 * time.Millisecond
	// The inbox is used when the owner could not be reached for this long.
	ownerRetryTime = 900 * time.Millisecond
	retryPause     = 60 * time.Millisecond
	jobIDLength    = 16
	// Callers may send any text in the place of an id.
	maxLoggedID = 40
	// Tasks of one job that may be due together, see JobSpec.TasksDue. More could only wait.
	maxTasksDue = 100_000
	// Tasks of a gang, which start together.
	maxGangTasks      = 10_000
	defaultRetryAfter = time.Second
	// Callers should retry after this time while neither the owner nor the log can be reached.
	unavailableRetryAfter = 2 * time.Second
	logUnavailableAfter   = 1200 * time.Millisecond
)

// LocalOwner serves calls while this gate is the owner.
type LocalOwner interface {
	Submit(ctx context.Context, spec sched.JobSpec) lead.Answer
	Cancel(ctx context.Context, id string) lead.Answer
	State(ctx context.Context, id string) lead.Answer
	Pending(ctx context.Context, queue string) lead.Answer
	InboxAllowances() map[string]admit.Allowance
}

// Service serves callers.
type Service struct {
	localOwner LocalOwner
	network    feed.Network
	elector    *owner.Elector
	configs    *feed.Configs
	inbox      inboxWriter
	// Jobs whose encoded JobAccepted is larger are refused, since no journal can store them.
	maxJobBytes int
	cutOff      func() bool // nil for never
	inboxBound  *inboxBound // nil for none
}

// New returns a service that calls the owner, and appends to the log while the owner can't be reached. It refuses jobs whose encoded
// JobAccepted exceeds maxJobBytes. The inbox has the given number of partitions, at least one.
func New(localOwner LocalOwner, network feed.Network, elector *owner.Elector, configs *feed.Configs, log ports.Log, maxJobBytes, inboxParts int) *Service {
	return &Service{localOwner: localOwner, network: network, elector: elector, configs: configs, inbox: inboxWriter{log: log, parts: inboxParts}, maxJobBytes: maxJobBytes}
}

// BoundInbox bounds what this gate stores in the inbox by what the owner allows. Call it before the service is used.
func (s *Service) BoundInbox() { s.inboxBound = &inboxBound{} }

// IsReady reports whether the gate has a configuration that is recent enough to admit calls.
func (s *Service) IsReady() bool {
	return s.configs.Config() != nil && s.configs.Age() < maxConfigAge && !s.isCutOff()
}

// Limits returns the limits on what callers may send, all zero if there is no configuration yet.
func (s *Service) Limits() setup.Limits {
	if cfg := s.configs.Config(); cfg != nil {
		return cfg.Limits()
	}
	return setup.Limits{}
}

// resolveCall returns the call's queue, the rest of its path and the team of its key. The code is OK if the call is admitted.
func (s *Service) resolveCall(c Call) (q setup.Queue, rest, team string, code codes.Code) {
	cfg := s.configs.Config()
	if cfg == nil || s.configs.Age() >= maxConfigAge {
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

// CheckAdmission returns OK if the call would be admitted, otherwise the reason.
func (s *Service) CheckAdmission(c Call) codes.Code {
	_, _, _, code := s.resolveCall(c)
	return code
}

// Admit checks the call's route and key before its body is read. It returns the team of the key with its weight in jobs a second, both zero for a
// queue without keys, or the refusal.
func (s *Service) Admit(c Call) (team string, weight float64, refusal Reply) {
	_, rest, team, code := s.resolveCall(c)
	if code != codes.OK {
		return "", 0, s.recordRefusal("job", rest, code)
	}
	if t, found := s.configs.Config().Team(team); found {
		weight = t.Weight
	}
	return team, weight, Reply{}
}

// Submit accepts a job. The specification holds what the caller sent; Submit sets the fields that the queue, key and time
// determine.
func (s *Service) Submit(ctx context.Context, c Call, spec sched.JobSpec) Reply {
	q, rest, team, code := s.resolveCall(c)
	if code != codes.OK {
		return s.recordRefusal("job", rest, code)
	}
	if !isValidID(rest) {
		return newRefusal(codes.MalformedRequest, 0)
	}
	if s.isCutOff() {
		return refuseCutOff("submit", rest, c)
	}
	spec.ID, spec.Queue, spec.Pool, spec.Team = rest, q.Name, q.Pool, team
	spec.Priority, spec.MaxAttempts, spec.Slack, spec.TargetMs = q.Priority, q.MaxAttempts, q.SlackFactor, q.TargetLatency.Milliseconds()
	spec.AcceptedMs, spec.FirstReceivedMs = time.Now().UnixMilli(), c.Received.UnixMilli()
	ctx, cancel := context.WithDeadline(ctx, answerDeadline(c))
	defer cancel()
	reply := s.submit(ctx, spec)
	recordCall("submit", reply.code, c.Received)
	klog.InfoS("job-answered", "job", rest, "queue", q.Name, "team", team, "code", reply.code.String(),
		"took-ms", time.Since(c.Received).Milliseconds(), "config", s.configVersion())
	return reply
}

// recordCall counts the call in the metrics by its result, and records its duration.
func recordCall(what string, code codes.Code, received time.Time) {
	metrics.GetOrCreateCounter(fmt.Sprintf("mangowing_calls_total{what=%q,code=%q}", what, code.Entry().Name())).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("mangowing_call_seconds{what=%q}", what)).Update(time.Since(received).Seconds())
}

func (s *Service) configVersion() int64 {
	if cfg := s.configs.Config(); cfg != nil {
		return cfg.Version()
	}
	return 0
}

func (s *Service) recordRefusal(what, id string, code codes.Code) Reply {
	recordCall(what, code, time.Now())
	klog.InfoS("call-refused", "what", what, "job", id[:min(len(id), maxLoggedID)], "code", code.String(), "config", s.configVersion(),
		"config-age-ms", s.configs.Age().Milliseconds())
	if code == codes.ConfigStale {
		return newRefusal(code, s.staleRetryAfter())
	}
	return newRefusal(code, 0)
}

// submit passes the job to the owner, or appends it to the inbox if the owner can't be reached. It never answers that a
// job was refused if an earlier attempt may have stored it.
func (s *Service) submit(ctx context.Context, spec sched.JobSpec) Reply {
	record, err := sched.Encode(sched.JobAccepted{Job: spec})
	if err != nil {
		klog.ErrorS(err, "job-not-encoded", "job", spec.ID)
		return newRefusal(codes.MalformedRequest, 0)
	}
	if due, gang := spec.TasksDue(time.Now()), spec.LargestGang(); len(record) > s.maxJobBytes || due > maxTasksDue || gang > maxGangTasks {
		klog.InfoS("job-refused", "job", spec.ID, "code", codes.JobTooLarge.String(), "bytes", len(record), "most-bytes", s.maxJobBytes,
			"tasks-due", due, "most-tasks", maxTasksDue, "gang", gang, "most-gang", maxGangTasks)
		return newRefusal(codes.JobTooLarge, 0)
	}
	started := time.Now()
	outcomeUnknown := false
	if s.isStoreUnavailable() {
		klog.V(1).InfoS("job-refused", "job", spec.ID, "why", "neither the owner nor the log can be reached")
		return newRefusal(codes.JobStoreAway, unavailableRetryAfter)
	}
	for time.Since(started) < ownerRetryTime && ctx.Err() == nil {
		a := s.callOwner(ctx, request{Kind: kindSubmit, Record: record, ID: spec.ID}, func(ctx context.Context) lead.Answer {
			return s.localOwner.Submit(ctx, spec)
		})
		switch a.Code() {
		case codes.NotOwner:
		case codes.JobUnsettled:
			outcomeUnknown = true
		case codes.JobPoolFull, codes.JobStoreAway:
			if outcomeUnknown {
				return newRefusal(codes.JobUnsettled, 0)
			}
			return newRefusal(a.Code(), a.RetryAfter())
		default:
			return Reply{code: a.Code()}
		}
		timer.Sleep(ctx, retryPause)
	}
	return s.storeWithoutOwner(ctx, &spec, record, outcomeUnknown)
}

// storeWithoutOwner appends the job to the inbox if the bound leaves room for it. Otherwise nothing is sent.
func (s *Service) storeWithoutOwner(ctx context.Context, spec *sched.JobSpec, record []byte, outcomeUnknown bool) Reply {
	if retryAfter, taken := s.inboxBound.take(time.Now(), spec); !taken {
		klog.InfoS("job-refused", "job", spec.ID, "queue", spec.Queue, "team", spec.Team, "why", "inbox-full", "pool", spec.Pool,
			"retry-after-ms", retryAfter.Milliseconds(), "unknown", outcomeUnknown)
		if outcomeUnknown {
			return newRefusal(codes.JobUnsettled, 0)
		}
		return newRefusal(codes.JobStoreAway, retryAfter)
	}
	return s.appendToInbox(ctx, record, spec.ID, outcomeUnknown)
}

// isStoreUnavailable reports whether a job can't be stored now for certain: this gate could not read the log for a while,
// and no owner that could store it can be reached.
func (s *Service) isStoreUnavailable() bool {
	return s.elector.OwnEpoch() == 0 && s.elector.TimeSinceLogRead() > logUnavailableAfter && !s.elector.IsOwnerReachable()
}

func (s *Service) appendToInbox(ctx context.Context, record []byte, id string, outcomeUnknown bool) Reply {
	err := s.inbox.append(ctx, record)
	klog.InfoS("inbox-used", "job", id, "error", errText(err))
	switch {
	case err == nil:
		return Reply{}
	case errors.Is(err, ports.ErrRejected) && !outcomeUnknown:
		return newRefusal(codes.JobStoreAway, unavailableRetryAfter)
	default:
		return newRefusal(codes.JobUnsettled, 0)
	}
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// Cancel cancels a job, through the inbox if the owner can't be reached.
func (s *Service) Cancel(ctx context.Context, c Call) Reply {
	_, id, _, code := s.resolveCall(c)
	if code != codes.OK {
		return s.recordRefusal("cancel", id, code)
	}
	return s.cancel(ctx, c, id)
}

func (s *Service) cancel(ctx context.Context, c Call, id string) Reply {
	if !isValidID(id) {
		recordCall("cancel", codes.JobUnknown, c.Received)
		return newRefusal(codes.JobUnknown, 0)
	}
	if s.isCutOff() {
		return refuseCutOff("cancel", id, c)
	}
	ctx, cancel := context.WithDeadline(ctx, answerDeadline(c))
	defer cancel()
	started := time.Now()
	for time.Since(started) < ownerRetryTime && ctx.Err() == nil {
		a := s.callOwner(ctx, request{Kind: kindCancel, ID: id}, func(ctx context.Context) lead.Answer { return s.localOwner.Cancel(ctx, id) })
		if a.Code() != codes.NotOwner && a.Code() != codes.JobUnsettled {
			recordCall("cancel", a.Code(), c.Received)
			return Reply{code: a.Code()}
		}
		timer.Sleep(ctx, retryPause)
	}
	record, err := sched.Encode(sched.JobCancelled{ID: id})
	if err != nil {
		klog.ErrorS(err, "cancel-not-encoded", "job", id)
		return newRefusal(codes.JobUnsettled, 0)
	}
	return s.appendToInbox(ctx, record, id, true)
}

// State returns a job's state, or the number of the queue's pending jobs if the path has no job id. isQueue reports which.
func (s *Service) State(ctx context.Context, c Call) (reply Reply, isQueue bool) {
	q, id, _, code := s.resolveCall(c)
	if code != codes.OK {
		return s.recordRefusal("state", id, code), false
	}
	ctx, cancel := context.WithDeadline(ctx, s.stateDeadline(c))
	defer cancel()
	for ctx.Err() == nil {
		var a lead.Answer
		if id == "" {
			a = s.callOwner(ctx, request{Kind: kindPending, Queue: q.Name}, func(ctx context.Context) lead.Answer { return s.localOwner.Pending(ctx, q.Name) })
		} else {
			a = s.callOwner(ctx, request{Kind: kindState, ID: id}, func(ctx context.Context) lead.Answer { return s.localOwner.State(ctx, id) })
		}
		if a.Code() != codes.NotOwner && a.Code() != codes.JobUnsettled {
			recordCall("state", a.Code(), c.Received)
			return Reply{code: a.Code(), state: a.State(), pending: a.Count()}, id == ""
		}
		timer.Sleep(ctx, retryPause)
	}
	recordCall("state", codes.NotOwner, c.Received)
	return newRefusal(codes.NotOwner, defaultRetryAfter), id == ""
}

// callOwner calls local if this gate is the owner, otherwise it sends the request to the owner.
func (s *Service) callOwner(ctx context.Context, r request, local func(context.Context) lead.Answer) lead.Answer {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	r.WantsAllowances = s.inboxBound.isDue(time.Now())
	if s.elector.OwnEpoch() != 0 {
		if r.WantsAllowances {
			s.inboxBound.update(time.Now(), s.localOwner.InboxAllowances())
		}
		return local(ctx)
	}
	address := s.elector.View().Address()
	if address == "" {
		return lead.NewRefusal(codes.NotOwner, 0)
	}
	var result response
	started := time.Now()
	err := s.network.Call(ctx, address, requestMethod, r, &result)
	switch {
	case err == nil:
		s.elector.RecordCallResult(address, true)
		s.inboxBound.update(time.Now(), result.Allowances)
		return result.answer()
	case errors.Is(err, peers.ErrRefused):
		s.elector.RecordCallResult(address, false)
		s.elector.RecordRefusedConnection(address)
		return lead.NewRefusal(codes.NotOwner, 0)
	default:
		klog.InfoS("owner-not-reached", "address", address, "kind", r.Kind, "job", r.ID, "error", err.Error())
		s.network.DropIfIdle(address, time.Since(started))
		s.elector.RecordCallResult(address, false)
		return lead.NewRefusal(codes.JobUnsettled, 0)
	}
}

// answerDeadline returns when a call must be answered. It allows at least minAnswerTime, so that a job can still be stored
// when its caller's deadline is near.
func answerDeadline(c Call) time.Time {
	if c.Deadline.IsZero() {
		return c.Received.Add(defaultAnswerTime)
	}
	deadline, earliest := c.Deadline.Add(-answerMargin), c.Received.Add(minAnswerTime)
	if deadline.Before(earliest) {
		return earliest
	}
	return deadline
}

func isValidID(id string) bool {
	if len(id) != jobIDLength {
		return false
	}
	return strings.Trim(id, "0123456789abcdefABCDEF") == ""
}
