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
	"mangowing/gate/intake"
	"mangowing/gate/lead"
	"mangowing/gate/owner"
	"mangowing/gate/peers"
	"mangowing/gate/ports"
)

// Platform is what the platform's adapters implement.
type Platform struct {
	Log       ports.Log
	Workers   ports.Workers
	Machines  ports.Machines
	Advisor   ports.Advisor
	Directory ports.Directory
	Operators ports.Operators
}

// Options says who the gate is.
type Options struct {
	Name        string
	PeerAddress string  // where other gates connect
	Processor   float64 // cores that the gate may use
	Scheduler   sched.Options
}

// Node is the job service of one gate.
type Node struct {
	options  Options
	network  *peers.Network
	timers   *timer.Service
	keeper   *owner.Elector
	configs  *feed.Configs
	peers    *feed.Peers
	lead     *lead.Service
	intake   *intake.Service
	stopping atomic.Bool
}

// New assembles the service; nothing runs yet.
func New(o Options, p Platform) *Node {
	n := &Node{options: o, timers: &timer.Service{}, network: peers.NewNetwork(o.PeerAddress, nil, &event.Clock{})}
	n.keeper = owner.New(p.Log, o.Name, o.PeerAddress, n)
	n.peers = feed.NewPeers(p.Log, n.network, n.keeper, o.Name, o.PeerAddress, o.Processor)
	n.configs = feed.NewConfigs(p.Operators, n.peers)
	n.lead = lead.New(lead.Deps{
		Log: p.Log, Workers: p.Workers, Machines: p.Machines, Advisor: p.Advisor, Directory: p.Directory,
		Operators: p.Operators, Elector: n.keeper, Configs: n.configs, Timers: n.timers, Options: o.Scheduler,
	})
	n.intake = intake.New(n.lead, n.network, n.keeper, n.configs, p.Log)
	n.network.Handle(n.intake.PeerHandler())
	n.network.Handle(n.peers.SyncHandler(n.configs))
	n.network.Handle(n.peers.FetchHandler(n.configs))
	n.network.Handle(n.peers.ClaimHandler())
	return n
}

// Intake returns the part that serves callers.
func (n *Node) Intake() *intake.Service { return n.intake }

// IsReady reports whether the balancer may send callers.
func (n *Node) IsReady() bool { return !n.stopping.Load() && n.intake.IsReady() }

// IsOwner reports whether this gate schedules.
func (n *Node) IsOwner() bool { return n.keeper.OwnEpoch() != 0 }

// IsStopping reports whether a planned stop has begun.
func (n *Node) IsStopping() bool { return n.stopping.Load() }

// ClaimDelay returns how much later than others the gate should claim the ownership of the scheduler.
func (n *Node) ClaimDelay() time.Duration { return n.peers.ClaimDelay() }

// IsEligible reports whether the gate may claim the ownership of the scheduler.
func (n *Node) IsEligible() bool { return !n.stopping.Load() && n.configs.Config() != nil }

// Stop begins a planned stop: the gate is not ready any more and gives the ownership up.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	klog.InfoS("gate-stopping", "gate", n.options.Name)
	n.keeper.Release(ctx)
}

// Serve runs all parts until the context ends.
func (n *Node) Serve(ctx context.Context) error {
	tree := suture.New("jobs", suture.Spec{EventHook: func(e suture.Event) {
		klog.InfoS("supervisor-event", "supervisor", "jobs", "event", e.String())
	}})
	for _, l := range []leaf{
		{"timers", n.timers.Serve},
		{"peers", n.network.Serve},
		{"declarations", n.configs.Follow},
		{"declarations-of-peers", n.configs.PollPeers},
		{"gates", n.peers.Serve},
		{"yield", n.peers.YieldOwnership},
		{"owner", n.keeper.Follow},
		{"beat", n.keeper.SendHeartbeats},
		{"scheduler", n.lead.Serve},
	} {
		tree.Add(l)
	}
	return tree.Serve(ctx)
}

// leaf is one leaf of the supervisor tree.
type leaf struct {
	name  string
	serve func(context.Context) error
}

// Serve runs the leaf.
func (l leaf) Serve(ctx context.Context) error { return l.serve(ctx) }

// String returns the leaf's name for the supervisor's messages.
func (l leaf) String() string { return l.name }
