package plan

import (
	"context"
	"time"

	"mangowing/core/fleet"
)

const (
	callTimeout     = 5 * time.Second
	callRetryDelay  = 2 * time.Second
	answersBuffered = 64
	answeredKept    = 10_000
)

// callBook starts platform calls and remembers which are under way and which were answered.
type callBook struct {
	platform Platform
	answers  chan answer
	answered fleet.RequestIDs
	retryAt  map[string]time.Time
}

type answer struct {
	vm        string
	requestID string
	err       error
}

func newCallBook(p Platform) callBook {
	return callBook{platform: p, answers: make(chan answer, answersBuffered), retryAt: map[string]time.Time{}}
}

// start makes the call unless the same one is under way or failed a moment ago; the call ends with the lease.
func (b *callBook) start(ctx context.Context, until time.Time, action fleet.Action) {
	switch a := action.(type) {
	case fleet.Reboot:
		b.run(ctx, until, a.VM(), a.RequestID(), func(ctx context.Context) error {
			return b.platform.Reboot(ctx, a.VM(), a.Generation(), a.RequestID())
		})
	case fleet.Reassign:
		b.run(ctx, until, a.VM(), a.RequestID(), func(ctx context.Context) error {
			return b.platform.Reassign(ctx, a.VM(), a.Generation(), a.RequestID(), a.Pool())
		})
	case fleet.Fence:
		b.run(ctx, until, a.VM(), a.RequestID(), func(ctx context.Context) error {
			return b.platform.Fence(ctx, a.VM(), a.Generation(), a.RequestID())
		})
	}
}

func (b *callBook) run(ctx context.Context, until time.Time, vm, requestID string, call func(context.Context) error) {
	now := time.Now()
	if now.Before(b.retryAt[requestID]) {
		return
	}
	b.retryAt[requestID] = now.Add(callTimeout + callRetryDelay)
	if limit := now.Add(callTimeout); limit.Before(until) {
		until = limit
	}
	go func() {
		callCtx, cancel := context.WithDeadline(ctx, until)
		defer cancel()
		a := answer{vm, requestID, call(callCtx)}
		select {
		case b.answers <- a:
		case <-ctx.Done():
		}
	}()
}

// note remembers an answer; a failed call may be made again after a while.
func (b *callBook) note(a answer) {
	if a.err != nil {
		b.retryAt[a.requestID] = time.Now().Add(callRetryDelay)
		return
	}
	delete(b.retryAt, a.requestID)
	if b.answered.Len() >= answeredKept {
		b.answered = fleet.RequestIDs{}
	}
	b.answered.Add(a.requestID)
}
