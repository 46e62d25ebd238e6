package once

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/codes"
	"mangowing/core/ticket"
)

const (
	workerTimeout = time.Second
	reportRan     = "ran"
	reportRunning = "running"
)

// resolveUnknown asks the worker about an unknown outcome and returns the answer to give. If the worker has not seen the
// attempt, the outcome stays unknown, since the worker may have been restarted.
func (s *Service) resolveUnknown(ctx context.Context, id string, answer ticket.Answer) ticket.Answer {
	spec := answer.Spec()
	if s.deps.Report == nil || spec.VM == "" || spec.Code.Entry().Outcome() != codes.Unknown {
		return answer
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), workerTimeout)
	defer cancel()
	report, err := s.deps.Report(ctx, spec.VM, spec.RequestID)
	switch {
	case err != nil:
		klog.V(1).InfoS("worker-not-asked", "vm", spec.VM, "error", err.Error())
		return answer
	case report == reportRunning:
		return ticket.NewAnswer(ticket.AnswerSpec{Code: codes.StillRunning})
	case report != reportRan:
		return answer
	}
	resolved := ticket.NewAnswer(ticket.AnswerSpec{Code: codes.AnswerGone, Detail: "the worker reports that it ran"})
	s.finish(id, resolved)
	return resolved
}
