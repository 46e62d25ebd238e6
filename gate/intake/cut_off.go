package intake

import (
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/codes"
)

const (
	// The balancer sends a gate no new connections after two checks, a second apart, that found it not ready. The spread keeps
	// the callers of a data centre from returning together.
	cutOffRetryAfter  = time.Second
	cutOffRetrySpread = 2 * time.Second
	// Time limit of questions while the gate is cut off. An owner that still answers is in the same data centre.
	cutOffAnswerTime = 250 * time.Millisecond
)

// RefuseWhile makes the gate not ready, and refuse what would have to be stored, while cutOff returns true. It must be called
// before the first call is served.
func (s *Service) RefuseWhile(cutOff func() bool) { s.cutOff = cutOff }

func (s *Service) isCutOff() bool { return s.cutOff != nil && s.cutOff() }

// refuseCutOff refuses a call before anything of it was sent.
func refuseCutOff(what, id string, c Call) Reply {
	recordCall(what, codes.JobStoreAway, c.Received)
	klog.V(1).InfoS("call-refused", "what", what, "job", id, "code", codes.JobStoreAway.String(), "why", "cut off")
	return newRefusal(codes.JobStoreAway, spreadRetryAfter())
}

func spreadRetryAfter() time.Duration { return cutOffRetryAfter + rand.N(cutOffRetrySpread) }

// staleRetryAfter returns when a caller should come back that was refused since the configuration is too old.
func (s *Service) staleRetryAfter() time.Duration {
	if s.isCutOff() {
		return spreadRetryAfter()
	}
	return defaultRetryAfter
}

// stateDeadline returns when a question must be answered.
func (s *Service) stateDeadline(c Call) time.Time {
	deadline := answerDeadline(c)
	if limit := c.Received.Add(cutOffAnswerTime); s.isCutOff() && limit.Before(deadline) {
		return limit
	}
	return deadline
}
