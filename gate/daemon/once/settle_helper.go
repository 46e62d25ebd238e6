package once

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/codes"
	"mangowing/core/ticket"
)

const (
	reportTimeout = time.Second
	reportRan     = "ran"
	reportRunning = "running"
)

// settle asks the worker about an unknown outcome. A worker that has not seen the attempt proves nothing: it may have
// been restarted.
func (s *Service) settle(ctx context.Context, id string, answer ticket.Answer) ticket.Answer {
	spec := answer.Spec()
	if s.deps.Report == nil || spec.VM == "" || spec.Code.Entry().Outcome() != codes.Unknown {
		return answer
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), reportTimeout)
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
	settled := ticket.NewAnswer(ticket.AnswerSpec{Code: codes.AnswerGone, Detail: "the worker reports that it ran"})
	s.finish(id, settled)
	return settled
}
