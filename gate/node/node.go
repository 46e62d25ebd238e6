package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"

	"mangowing/core/event"
	"mangowing/core/sched"
	"mangowing/core/timer"
	"mangowing/gate/feed"
	"mangowing/gate/guard"
	"mangowing/gate/intake"
	"mangowing/gate/lead"
	"mangowing/gate/owner"
	"mangowing/gate/peers"
	"mangowing/gate/ports"
)

// Platform holds the platform's adapters.
type Platform struct {
	Log       ports.Log
	Workers   ports.Workers
	Machines  ports.Machines
	Advisor   ports.Advisor
	Directory ports.Directory
	Operators ports.Operators
}

// Options are the gate's settings.
type Options struct {
	Name        string
	DataCentre  string
	PeerAddress string       // host and port on which other gates connect
	Processor   float64      // cores that the gate may use
	WatchCutOff bool         // not ready while this gate is cut off and others are not
	PeerGuard   *guard.Guard // bounds what other gates send, nil for no bound
	Scheduler   sched.Options
	InboxBound  bool // what gates store without the owner is bounded
	// Partitions of the journal's topic on which the owner may continue it when one fails. With 0 or 1 it stays where it is.
	JournalParts int
	// Partitions of the inbox; less than 2 for the first one only.
	InboxParts int
}

// Node is the job service of one gate.
type Node struct {
	options  Options
	network  *peers.Network
	timers   *timer.Service
	elector  *owner.Elector
	configs  *feed.Configs
	peers    *feed.Peers
	links    *feed.LinkMonitor // nil unless Options.WatchCutOff
	lead     *lead.Service
	intake   *intake.Service
	stopping atomic.Bool
}

// New returns an assembled service. Nothing runs until Serve is called.
func New(o Options, p Platform) *Node {
	n := &Node{options: o, timers: &timer.Service{}, network: peers.NewNetwork(o.PeerAddress, nil, &event.Clock{})}
	if o.WatchCutOff {
		n.links = feed.NewLinkMonitor()
		p.Log = n.links.Observe(p.Log)
	}
	if o.PeerGuard != nil {
		n.network.Protect(o.PeerGuard)
	}
	n.elector = owner.New(p.Log, o.Name, o.PeerAddress, n)
	n.peers = feed.NewPeers(p.Log, n.network, n.elector, o.Name, o.PeerAddress, o.DataCentre, o.Processor)
	n.configs = feed.NewConfigs(p.Operators, n.peers)
	n.links.Connect(n.peers, n.configs)
	n.lead = lead.New(lead.Deps{
		Log: p.Log, Workers: p.Workers, Machines: p.Machines, Advisor: p.Advisor, Directory: p.Directory,
		Operators: p.Operators, Elector: n.elector, Configs: n.configs, Timers: n.timers, Options: o.Scheduler,
		CountGates: n.peers.Count, JournalParts: o.JournalParts, InboxParts: o.InboxParts,
	})
	n.intake = intake.New(n.lead, n.network, n.elector, n.configs, p.Log, o.Scheduler.MaxJobBytes(), o.InboxParts)
	n.intake.RefuseWhile(n.links.IsCutOff)
	if o.InboxBound {
		n.intake.BoundInbox()
	}
	n.network.Handle(n.intake.PeerHandler())
	n.network.Handle(n.peers.SyncHandler(n.configs))
	n.network.Handle(n.peers.FetchHandler(n.configs))
	n.network.Handle(n.peers.ClaimHandler())
	return n
}

// Intake returns the service for callers.
func (n *Node) Intake() *intake.Service { return n.intake }

// IsReady reports whether the load balancer may send callers to this gate.
func (n *Node) IsReady() bool { return !n.stopping.Load() && n.intake.IsReady() }

// IsCutOff reports whether this gate is cut off from the log and the owner while others are not.
func (n *Node) IsCutOff() bool { return n.links.IsCutOff() }

// IsOwner reports whether this gate owns the scheduler.
func (n *Node) IsOwner() bool { return n.elector.OwnEpoch() != 0 }

// IsStopping reports whether a planned stop has begun.
func (n *Node) IsStopping() bool { return n.stopping.Load() }

// ClaimDelay returns how much later than others the gate should claim the ownership of the scheduler.
func (n *Node) ClaimDelay() time.Duration { return n.peers.ClaimDelay() }

// IsEligible reports whether the gate may claim the ownership of the scheduler.
func (n *Node) IsEligible() bool { return !n.stopping.Load() && n.configs.Config() != nil }

// Stop begins a planned stop: the gate is no longer ready, and it gives up the ownership of the scheduler.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	klog.InfoS("gate-stopping", "gate", n.options.Name)
	n.elector.Release(ctx)
}

// Serve runs all services until the context ends.
func (n *Node) Serve(ctx context.Context) error {
	tree := suture.New("jobs", suture.Spec{EventHook: func(e suture.Event) {
		klog.InfoS("supervisor-event", "supervisor", "jobs", "event", e.String())
	}})
	for _, service := range []namedService{
		{"timers", n.timers.Serve},
		{"peers", n.network.Serve},
		{"declarations", n.configs.Follow},
		{"declarations-of-peers", n.configs.PollPeers},
		{"gates", n.peers.Serve},
		{"links", n.links.Serve},
		{"yield", n.peers.YieldOwnership},
		{"owner", n.elector.Follow},
		{"beat", n.elector.SendHeartbeats},
		{"scheduler", n.lead.Serve},
	} {
		tree.Add(service)
	}
	return tree.Serve(ctx)
}

// namedService is a service in the supervisor tree.
type namedService struct {
	name  string
	serve func(context.Context) error
}

// Serve runs the service.
func (s namedService) Serve(ctx context.Context) error { return s.serve(ctx) }

// String returns the name that the supervisor logs.
func (s namedService) String() string { return s.name }
