package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"
	"k8s.io/klog/v2"

	"mangowing/core/fold"
	"mangowing/core/proc"
	"mangowing/gate/daemon/admin"
	"mangowing/gate/daemon/caller"
	"mangowing/gate/daemon/limits"
	"mangowing/gate/daemon/once"
	"mangowing/gate/daemon/plan"
	"mangowing/gate/daemon/queue"
	"mangowing/gate/daemon/relay"
	"mangowing/gate/daemon/state"
	"mangowing/gate/daemon/vmlist"
	"mangowing/gate/peers"
	"mangowing/gate/plat"
)

// gate holds the services of the process.
type gate struct {
	settings *Settings
	process  *proc.Process
	network  *peers.Network
	members  *peers.Membership
	control  *state.Service
	vms      *vmlist.Service
	queues   *queue.Service
	callers  *caller.Server
	admin    *admin.Server
	fleet    *fleetView
	planner  *plan.Service
	limits   *limits.Service
	once     *once.Service
	stopping atomic.Bool
}

// assemble creates the services and connects them. None of them listens or runs yet.
func assemble(settings *Settings, members []peers.Member) (*gate, error) {
	tlsConfig, err := loadTLS(settings)
	if err != nil {
		return nil, err
	}
	g := &gate{settings: settings, process: proc.New(settings.name)}
	g.network = peers.NewNetwork(settings.peerAddress, tlsConfig, g.process.Clock())
	platform := plat.NewClient(settings.platform)
	g.control = state.New(g.process, platform, g.network, state.Options{
		AppendWindow: settings.appendGroup, SnapshotEvery: settings.snapshotEvery, SnapshotMaxAge: settings.snapshotAge,
	})
	g.members = peers.NewMembership(g.process, g.network, members, settings.heartbeat, g.status)
	g.control.SetMembershipView(g.members.View)
	g.vms = vmlist.New(g.process, platform, g.network, g.members.View, settings.vmPoll)
	workers := plat.NewWorkers()
	g.limits = limits.New(limits.Deps{
		Process: g.process, States: g.control, Peers: g.network, DataCentre: settings.dataCentre,
		LocalGates: func() []limits.LocalGate { return limits.LocalGatesOf(g.members.View(), settings.dataCentre) },
		Orphans:    &orphanCounter{g.control, g.vms, workers, settings.dataCentre},
		SettleTime: queue.StartWindow + settings.reportLag,
	})
	g.queues = queue.New(queue.Deps{
		Process: g.process, States: g.control, Lists: g.vms, Members: g.members, Peers: g.network,
		Workers: workers, Rights: g.limits, ReportLag: settings.reportLag,
	})
	g.fleet = &fleetView{process: g.process, control: g.control, vms: g.vms, queues: g.queues, workers: workers}
	g.planner = plan.New(plan.Deps{
		Process: g.process, State: g.control, Recorder: g.control, Platform: platform, Fleet: g.fleet,
	})
	runner := relay.NewRunner(g.process, g.queues, relay.NewUpstreamClient(), settings.retryPercent)
	g.once = once.New(once.Deps{
		Process: g.process, StateSource: g.control, Log: g.control, Peers: g.network,
		Gates: func() []once.Gate { return once.GatesOf(g.members.View()) }, MaxAnswerBytes: settings.answersKeptBytes,
		Report: workers.Outcome,
		Run: func(ctx context.Context, r once.Request, sink relay.Sink) once.Outcome {
			return g.callers.RunOnce(ctx, r, sink)
		},
	})
	g.callers = caller.New(g.process, g.control, runner, g.once, g.isReady, caller.Options{
		Address: settings.callerAddress, MaxBodyBytes: settings.maxBodyBytes, Metrics: g.writeMetrics,
		IsSynced: g.isSynced,
	})
	g.admin = admin.New(admin.Deps{
		Process: g.process, Control: g.control, Members: g.members, Peers: g.network, PoolLoads: g.queues, Rights: g.limits,
		Platform: platform, Lists: g.vms, Address: settings.operatorAddress, KeyHashes: settings.operatorHashes, Metrics: g.writeMetrics, TLS: tlsConfig,
	})
	g.registerCallbacks()
	return g, nil
}

// registerCallbacks registers the services' callbacks for each other's changes.
func (g *gate) registerCallbacks() {
	g.control.OnChange(func(*fold.State) {
		g.queues.Wake()
		g.limits.Wake()
	})
	g.vms.OnChange(func(*vmlist.List) { g.queues.Wake() })
	g.members.OnChange(func(*peers.View) {
		g.queues.Wake()
		g.limits.Wake()
	})
	g.control.OnSync(g.members.Announce)
	g.members.OnHeartbeat(g.control.SyncWithdrawals)
}

func (g *gate) status() peers.GateStatus {
	st := g.control.State()
	return peers.GateStatus{
		Offset: st.Offset(), Digest: st.Digest(), StalenessMs: g.control.StalenessMs(),
		Ready: g.control.IsSynced(), Stopping: g.stopping.Load(), Withdrawn: g.control.WithdrawnDigest(),
	}
}

// isSynced reports whether the gate has the log state and the VM list that it needs to handle requests.
func (g *gate) isSynced() bool {
	return g.control.IsSynced() && g.vms.List().Len() > 0
}

// isReady reports whether the balancer should send requests to this gate.
func (g *gate) isReady() bool {
	return g.isSynced() && !g.stopping.Load()
}

// run runs the supervisor tree until the context ends.
func (g *gate) run(ctx context.Context) error {
	klog.InfoS("gate-starting", "incarnation", g.process.Incarnation(), "data-centre", g.settings.dataCentre)
	tree := supervisor("gate")
	tree.Add(newLeaf("timers", g.process.Timers().Serve))
	tree.Add(g.controlTree())
	tree.Add(g.trafficTree())
	tree.Add(g.fleetTree())
	tree.Add(newLeaf("admin", g.admin.Serve))
	err := tree.Serve(ctx)
	klog.InfoS("gate-ended", "incarnation", g.process.Incarnation())
	return err
}

func (g *gate) controlTree() *suture.Supervisor {
	tree := supervisor("control")
	tree.Add(newLeaf("fold", g.control.Serve))
	tree.Add(newLeaf("feed", g.control.FollowLog))
	tree.Add(newLeaf("write", g.control.WriteRecords))
	tree.Add(newLeaf("withdrawals", g.control.PersistWithdrawals))
	tree.Add(newLeaf("snapshots", g.control.WriteSnapshots))
	tree.Add(newLeaf("peers", g.network.Serve))
	tree.Add(newLeaf("heartbeat", g.members.Serve))
	tree.Add(newLeaf("vm-list", g.vms.Serve))
	return tree
}

func (g *gate) trafficTree() *suture.Supervisor {
	tree := supervisor("traffic")
	tree.Add(newLeaf("limits", g.limits.Serve))
	tree.Add(newLeaf("queues", g.queues.Serve))
	tree.Add(newLeaf("once", g.once.Serve))
	tree.Add(newLeaf("callers", g.callers.Serve))
	return tree
}

func (g *gate) fleetTree() *suture.Supervisor {
	tree := supervisor("fleet")
	tree.Add(newLeaf("demand", g.fleet.Serve))
	tree.Add(newLeaf("planner", g.planner.Serve))
	return tree
}

func supervisor(name string) *suture.Supervisor {
	return suture.New(name, suture.Spec{EventHook: func(e suture.Event) {
		klog.InfoS("supervisor-event", "supervisor", name, "event", e.String())
	}})
}

// leaf is a service in the supervisor tree.
type leaf struct {
	name  string
	serve func(context.Context) error
}

func newLeaf(name string, serve func(context.Context) error) leaf { return leaf{name, serve} }

// Serve runs the service.
func (s leaf) Serve(ctx context.Context) error { return s.serve(ctx) }

// String returns the service's name for the supervisor's log messages.
func (s leaf) String() string { return s.name }

func loadTLS(s *Settings) (*tls.Config, error) {
	if s.certificate == "" {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(s.certificate, s.certificateKey)
	if err != nil {
		return nil, eris.Wrap(err, "[tls] certificate")
	}
	pem, err := os.ReadFile(s.authority)
	if err != nil {
		return nil, eris.Wrap(err, "[tls] authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.New("[tls] authority: no certificate in the file")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
