package lead

import (
	"slices"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/codes"
	"mangowing/core/logs"
	"mangowing/core/sched"
)

const (
	// The log counts as unavailable when an append has had no answer for this long.
	logUnavailableAfter = 700 * time.Millisecond
	// Clients may retry after this time while the log is unavailable.
	logUnavailableRetry = 2 * time.Second
	// If the inbox was read within this time, no gate has accepted a job that is unknown here.
	inboxStaleAfter = 2 * time.Second
	// A call to the log without an answer may take effect this much later.
	lateAppendTime = 30 * time.Second
	// The log keeps a record for this long.
	logRetention = 300 * time.Second
)

// handleCall handles a call of the intake.
func (t *term) handleCall(now time.Time, c call) {
	switch c := c.(type) {
	case submitCall:
		t.submit(now, c)
	case cancelCall:
		if !t.scheduler.Cancel(now, c.id) {
			c.reply <- t.jobUnknownAnswer(now)
			return
		}
		t.pendingReplies = append(t.pendingReplies, pendingReply{c.reply, Answer{}})
	case stateCall:
		state, known := t.scheduler.State(c.id)
		if !known {
			c.reply <- t.jobUnknownAnswer(now)
			return
		}
		c.reply <- Answer{state: state}
	case pendingCall:
		c.reply <- Answer{count: t.scheduler.PendingJobs(c.queue)}
	}
}

// jobUnknownAnswer returns the answer for a job that is not on the journal. While the inbox may still hold the job, the answer
// makes the gate repeat the call.
func (t *term) jobUnknownAnswer(now time.Time) Answer {
	if now.Sub(t.inboxAppliedUntil()) > inboxStaleAfter {
		return NewRefusal(codes.NotOwner, 0)
	}
	return NewRefusal(codes.JobUnknown, 0)
}

// inboxAppliedUntil returns a time before which all records of the inbox were applied.
func (t *term) inboxAppliedUntil() time.Time { return slices.MinFunc(t.inboxReadAt, time.Time.Compare) }

// keepEndedJobs keeps the scheduler from forgetting ended jobs of which a partition of the inbox may hold a second copy.
func (t *term) keepEndedJobs(now time.Time) {
	if len(t.inboxReadAt) > 1 {
		t.scheduler.KeepEndedSince(latest(t.inboxAppliedUntil().Add(-lateAppendTime), now.Add(-logRetention-lateAppendTime)))
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (t *term) submit(now time.Time, c submitCall) {
	// A job that is known may have been stored by the append in flight, so it can't be refused any more.
	if t.appendInFlight && now.Sub(t.appendStartedAt) > logUnavailableAfter && !t.scheduler.HasJob(c.spec.ID) {
		t.scheduler.RecordSubmission(now)
		klog.InfoS("job-refused", "job", c.spec.ID, "queue", c.spec.Queue, "team", c.spec.Team, "why", "the journal can't be written")
		countJob("store-away")
		c.reply <- NewRefusal(codes.JobStoreAway, logUnavailableRetry)
		return
	}
	result, refusal := t.scheduler.Submit(now, c.spec)
	countJob(result.String())
	if result == sched.Overloaded {
		klog.InfoS("job-refused", "job", c.spec.ID, "queue", c.spec.Queue, "team", c.spec.Team, "why", refusal.Cause(),
			"pool", c.spec.Pool, "ahead-core-seconds", int(refusal.WorkAhead()), "done-in-a-second", int(refusal.WorkRate()),
			"strain-ms", t.scheduler.CallLatency().Milliseconds(), "expected-ms", refusal.ExpectedIn().Milliseconds(),
			"retry-after-ms", refusal.RetryAfter().Milliseconds())
		c.reply <- NewRefusal(codes.JobPoolFull, refusal.RetryAfter())
		return
	}
	tasks, coreSeconds := c.spec.Work()
	klog.InfoS("job-taken", "job", c.spec.ID, "queue", c.spec.Queue, "team", c.spec.Team, "repeated", result == sched.Duplicate,
		"tasks", tasks, "core-seconds", coreSeconds, "lasting", c.spec.IsLongRunning())
	t.pendingReplies = append(t.pendingReplies, pendingReply{c.reply, Answer{}})
}

// applyInboxPage applies the jobs and cancellations that gates accepted while they could not reach the owner.
func (t *term) applyInboxPage(now time.Time, page inboxPage) {
	if page.NextOffset() >= page.EndOffset {
		t.inboxReadAt[page.partition] = page.requestedAt
	}
	for _, raw := range page.Records {
		record, err := sched.Decode(raw)
		if err != nil {
			klog.InfoS("inbox-record-skipped", "why", logs.Shorten(err))
			continue
		}
		switch r := record.(type) {
		case sched.JobAccepted:
			klog.InfoS("job-from-inbox", "job", r.Job.ID)
			t.scheduler.AcceptFromInbox(now, r.Job)
		case sched.JobCancelled:
			klog.InfoS("cancel-from-inbox", "job", r.ID)
			t.scheduler.CancelFromInbox(now, r.ID)
		default:
			klog.InfoS("inbox-record-skipped", "type", "unexpected")
		}
	}
	if len(page.Records) > 0 {
		t.scheduler.AdvanceInbox(page.partition, page.NextOffset())
	}
}
