package plan

import (
	"context"
	"time"

	"mangowing/core/fleet"
)

const (
	callTimeout    = 5 * time.Second
	callRetryDelay = 2 * time.Second
	answerBuffer   = 64
	maxAnswered    = 10_000
)

// callTracker starts platform calls and tracks which are in flight and which were answered.
type callTracker struct {
	platform Platform
	answers  chan callAnswer
	answered fleet.RequestIDs
	retryAt  map[string]time.Time
}

type callAnswer struct {
	vm        string
	requestID string
	err       error
}

func newCallTracker(p Platform) callTracker {
	return callTracker{platform: p, answers: make(chan callAnswer, answerBuffer), retryAt: map[string]time.Time{}}
}

// startCall starts the action's call in the background, unless the same call is in flight or failed less than
// callRetryDelay ago. The call is cancelled when the lease ends.
func (b *callTracker) startCall(ctx context.Context, until time.Time, action fleet.Action) {
	switch a := action.(type) {
	case fleet.Reboot:
		b.runCall(ctx, until, a.VM(), a.RequestID(), func(ctx context.Context) error {
			return b.platform.Reboot(ctx, a.VM(), a.Generation(), a.RequestID())
		})
	case fleet.Reassign:
		b.runCall(ctx, until, a.VM(), a.RequestID(), func(ctx context.Context) error {
			return b.platform.Reassign(ctx, a.VM(), a.Generation(), a.RequestID(), a.Pool())
		})
	case fleet.Fence:
		b.runCall(ctx, until, a.VM(), a.RequestID(), func(ctx context.Context) error {
			return b.platform.Fence(ctx, a.VM(), a.Generation(), a.RequestID())
		})
	}
}

func (b *callTracker) runCall(ctx context.Context, until time.Time, vm, requestID string, call func(context.Context) error) {
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
		a := callAnswer{vm, requestID, call(callCtx)}
		select {
		case b.answers <- a:
		case <-ctx.Done():
		}
	}()
}

// recordAnswer records an answer. A failed call may be retried after callRetryDelay.
func (b *callTracker) recordAnswer(a callAnswer) {
	if a.err != nil {
		b.retryAt[a.requestID] = time.Now().Add(callRetryDelay)
		return
	}
	delete(b.retryAt, a.requestID)
	if b.answered.Len() >= maxAnswered {
		b.answered = fleet.RequestIDs{}
	}
	b.answered.Add(a.requestID)
}
