package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/event"
)

const (
	stopCheckPeriod       = 50 * time.Millisecond
	rightsHandOverTimeout = time.Second
	ticketHandOverTimeout = 5 * time.Second
)

// stop carries out a planned stop: it announces the stop to the balancer and the peers, accepts requests during the lame
// duck period, and then waits until all answers were sent and all grants are released.
func (g *gate) stop(ctx context.Context) {
	started := time.Now()
	g.stopping.Store(true)
	g.members.Announce()
	g.queues.Wake()
	klog.InfoS("planned-stop", "active", g.callers.ActiveCalls())
	g.process.Events().Add("planned-stop", event.Fields{})
	ctx, cancel := context.WithTimeout(ctx, g.settings.stopLimit)
	defer cancel()
	g.callers.DisableKeepAlives()
	handOverCtx, cancelHandOver := context.WithCancel(ctx)
	handedOver := make(chan error, 1)
	go func() { handedOver <- g.limits.HandOver(handOverCtx) }()
	waitUntil(ctx, func() bool { return time.Since(started) >= g.settings.lameDuck && g.callers.ActiveCalls() == 0 })
	g.handOverTickets(ctx)
	if err := g.callers.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "stop-cut-requests", "active", g.callers.ActiveCalls())
	}
	waitUntil(ctx, func() bool { return g.queues.Outstanding() == 0 && g.once.RunningCount() == 0 })
	g.awaitRightsHandOver(handedOver, cancelHandOver)
	klog.InfoS("planned-stop-done", "ms", time.Since(started).Milliseconds())
}

// handOverTickets transfers the authority over tickets and claims to a peer, to which later requests are forwarded.
func (g *gate) handOverTickets(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ticketHandOverTimeout)
	defer cancel()
	if err := g.once.HandOver(ctx); err != nil {
		klog.InfoS("tickets-left", "error", err.Error())
	}
}

// awaitRightsHandOver waits a short time for a peer to take the rights that became available when the last requests ended.
// If none does, the recount after this gate's end issues them again.
func (g *gate) awaitRightsHandOver(handedOver chan error, cancel context.CancelFunc) {
	defer cancel()
	select {
	case err := <-handedOver:
		if err != nil {
			klog.InfoS("rights-left", "error", err.Error())
		}
	case <-time.After(rightsHandOverTimeout):
		klog.InfoS("rights-left", "error", "no peer accepted them in time")
	}
}

func waitUntil(ctx context.Context, done func() bool) {
	tick := time.NewTicker(stopCheckPeriod)
	defer tick.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
