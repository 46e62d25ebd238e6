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

// stop carries out a planned stop: tell the balancer and the peers, still take what arrives for a while, wait until
// all answers are out and all grants are released, then close.
func (g *gate) stop(ctx context.Context) {
	begun := time.Now()
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
	waitUntil(ctx, func() bool { return time.Since(begun) >= g.settings.lameDuck && g.callers.ActiveCalls() == 0 })
	g.handOverTickets(ctx)
	if err := g.callers.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "stop-cut-requests", "active", g.callers.ActiveCalls())
	}
	waitUntil(ctx, func() bool { return g.queues.Outstanding() == 0 && g.once.RunningCount() == 0 })
	g.awaitRightsHandOver(handedOver, cancelHandOver)
	klog.InfoS("planned-stop-done", "ms", time.Since(begun).Milliseconds())
}

// handOverTickets gives the authority over tickets and claims to a peer; requests that still come are forwarded there.
func (g *gate) handOverTickets(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, ticketHandOverTimeout)
	defer cancel()
	if err := g.once.HandOver(ctx); err != nil {
		klog.InfoS("tickets-left", "error", err.Error())
	}
}

// awaitHandOver gives the last rights, spare now that all work has ended, a moment to reach a peer. Without a peer the
// recount after this gate's end mints them anew.
func (g *gate) awaitRightsHandOver(handedOver chan error, cancel context.CancelFunc) {
	defer cancel()
	select {
	case err := <-handedOver:
		if err != nil {
			klog.InfoS("rights-left", "error", err.Error())
		}
	case <-time.After(rightsHandOverTimeout):
		klog.InfoS("rights-left", "error", "no peer took them in time")
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
