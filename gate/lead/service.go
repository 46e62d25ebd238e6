package lead

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/admit"
	"mangowing/core/codes"
	"mangowing/core/sched"
	"mangowing/core/timer"
	"mangowing/gate/feed"
	"mangowing/gate/owner"
	"mangowing/gate/ports"
)

const (
	ownershipCheckPeriod = 20 * time.Millisecond
	callQueueSize        = 256
)

// Deps are the dependencies of a Service.
type Deps struct {
	Log       ports.Log
	Workers   ports.Workers
	Machines  ports.Machines
	Advisor   ports.Advisor
	Directory ports.Directory
	Operators ports.Operators
	Elector   *owner.Elector
	Configs   *feed.Configs
	Timers    *timer.Service
	Options   sched.Options
	// CountGates returns the number of gates that are known, this one included.
	CountGates func() int
	// Partitions of the journal's topic on which the owner may continue it when one fails. With 0 or 1 it stays where it is.
	JournalParts int
	// Partitions of the inbox; less than 2 for the first one only.
	InboxParts int
}

// Service runs the scheduler while its gate is the owner.
type Service struct {
	deps       Deps
	calls      chan call
	allowances atomic.Pointer[map[string]admit.Allowance] // nil unless this gate is the owner
}

// New returns a service. It does nothing until Serve is called.
func New(deps Deps) *Service {
	return &Service{deps: deps, calls: make(chan call, callQueueSize)}
}

// Serve runs the scheduler for each period of ownership until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if epoch := s.deps.Elector.OwnEpoch(); epoch != 0 {
			s.runTerm(ctx, epoch)
		}
		s.refuseCalls()
		timer.Sleep(ctx, ownershipCheckPeriod)
	}
	return ctx.Err()
}

// runTerm replays the journal and runs the scheduler until this gate is no longer the owner.
func (s *Service) runTerm(ctx context.Context, epoch int64) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	klog.InfoS("ownership-begins", "epoch", epoch)
	t := newTerm(s, epoch)
	defer s.allowances.Store(nil)
	if err := t.takeOver(ctx); err != nil {
		klog.InfoS("takeover-failed", "epoch", epoch, "error", err.Error())
		s.deps.Elector.EndOwnership("takeover failed: " + err.Error())
		return
	}
	why := t.run(ctx)
	s.deps.Elector.EndOwnership(why)
	klog.InfoS("ownership-ended", "epoch", epoch, "why", why)
}

// refuseCalls answers the calls that were queued while this gate is not the owner.
func (s *Service) refuseCalls() {
	for {
		select {
		case c := <-s.calls:
			refuseCall(c)
		default:
			return
		}
	}
}

func refuseCall(c call) {
	answer := NewRefusal(codes.NotOwner, 0)
	switch c := c.(type) {
	case submitCall:
		c.reply <- answer
	case cancelCall:
		c.reply <- answer
	case stateCall:
		c.reply <- answer
	case pendingCall:
		c.reply <- answer
	}
}

// Submit submits a job to the scheduler on this gate. The answer comes once the job is stored.
func (s *Service) Submit(ctx context.Context, spec sched.JobSpec) Answer {
	return s.callOwner(ctx, func(reply chan<- Answer) call { return submitCall{spec, reply} })
}

// Cancel cancels a job at the scheduler on this gate. The answer comes once that is stored.
func (s *Service) Cancel(ctx context.Context, id string) Answer {
	return s.callOwner(ctx, func(reply chan<- Answer) call { return cancelCall{id, reply} })
}

// State returns a job's state from the scheduler on this gate.
func (s *Service) State(ctx context.Context, id string) Answer {
	return s.callOwner(ctx, func(reply chan<- Answer) call { return stateCall{id, reply} })
}

// InboxAllowances returns by pool what one gate may store in the inbox while it can't reach this gate as the owner, nil if this gate isn't
// the owner.
func (s *Service) InboxAllowances() map[string]admit.Allowance {
	if a := s.allowances.Load(); a != nil {
		return *a
	}
	return nil
}

// Pending returns how many jobs of a queue have not been started, from the scheduler on this gate.
func (s *Service) Pending(ctx context.Context, queue string) Answer {
	return s.callOwner(ctx, func(reply chan<- Answer) call { return pendingCall{queue, reply} })
}

func (s *Service) callOwner(ctx context.Context, newCall func(chan<- Answer) call) Answer {
	if s.deps.Elector.OwnEpoch() == 0 {
		return NewRefusal(codes.NotOwner, 0)
	}
	reply := make(chan Answer, 1)
	select {
	case s.calls <- newCall(reply):
	case <-ctx.Done():
		return NewRefusal(codes.NotOwner, 0)
	}
	select {
	case a := <-reply:
		return a
	case <-ctx.Done():
		return NewRefusal(codes.JobUnsettled, 0)
	}
}
