package lead

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/admit"
	"mangowing/core/sched"
	"mangowing/core/timer"
	"mangowing/gate/ports"
)

const (
	tickPeriod           = 50 * time.Millisecond
	resultQueueSize      = 1024
	maxEventsPerDecision = 128
	loadLogPeriod        = time.Second
	takeOverTimeout      = 20 * time.Second
)

// term is one period in which this gate owns the scheduler. A single goroutine runs its event loop.
type term struct {
	*Service
	epoch              int64
	scheduler          *sched.Scheduler
	journal            *journal
	results            chan sched.OrderResult
	workerLists        chan map[string]sched.WorkerEntry
	machineLists       chan machineList
	listMachinesNow    chan struct{} // signals that the machine list should be requested at once
	inboxPages         chan inboxPage
	commitResults      chan commitResult
	targets            map[string]ports.Target
	appendInFlight     bool
	machinesArriving   atomic.Bool    // see sched.Scheduler.HasMachinesArriving
	pendingReplies     []pendingReply // sent once the scheduler's current records are stored
	heldOrders         []sched.Order  // held back until this gate may send orders again
	inboxReadAt        []time.Time    // by partition: all inbox records from before this time were applied
	lastSnapshotAt     time.Time
	bytesSinceSnapshot int // journal bytes that a new owner would replay in addition to the last snapshot
	lastSnapshotBytes  int
	configChanges      <-chan struct{} // signals a new declaration
	appendStartedAt    time.Time
	loadsLoggedAt      time.Time
	loggedWaits        sched.LocalityWaits
	loop               loopMeter
	evacuations        evacuationMeter
}

func newTerm(s *Service, epoch int64) *term {
	return &term{
		Service: s, epoch: epoch, scheduler: sched.New(s.deps.Options),
		journal:         newJournal(s.deps.Log, s.deps.Elector, epoch, s.deps.JournalParts),
		results:         make(chan sched.OrderResult, resultQueueSize),
		workerLists:     make(chan map[string]sched.WorkerEntry, 1),
		machineLists:    make(chan machineList, 1),
		listMachinesNow: make(chan struct{}, 1),
		inboxPages:      make(chan inboxPage, 1),
		commitResults:   make(chan commitResult, 1),
		targets:         map[string]ports.Target{},
		configChanges:   s.deps.Configs.Subscribe(),
		lastSnapshotAt:  time.Now(),
	}
}

// takeOver fences earlier owners, replays the journal and makes the scheduler poll all workers.
func (t *term) takeOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	go t.cancelWhenLost(ctx, cancel)
	started := time.Now()
	fenced, replayedBytes, err := t.journal.takeOver(ctx, t.scheduler)
	if err != nil {
		return err
	}
	t.bytesSinceSnapshot = replayedBytes
	recordTakeover(fenced.Sub(started), time.Since(fenced))
	klog.InfoS("takeover", "epoch", t.epoch, "fence-ms", fenced.Sub(started).Milliseconds(),
		"replay-ms", time.Since(fenced).Milliseconds())
	now := time.Now()
	t.scheduler.TakeOwnership(now, t.deps.Elector.PredecessorRenewalTime())
	t.applyDeclarations(now)
	return nil
}

// cancelWhenLost cancels a takeover as soon as this gate no longer has the term's epoch.
func (t *term) cancelWhenLost(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		if t.deps.Elector.OwnEpoch() != t.epoch {
			cancel()
			return
		}
		timer.Sleep(ctx, ownershipCheckPeriod)
	}
}

// applyDeclarations passes the operators' current configuration, waves and evacuations to the scheduler.
func (t *term) applyDeclarations(now time.Time) {
	t.applyEvacuations(now)
	if cfg := t.deps.Configs.Config(); cfg != nil {
		t.scheduler.Configure(now, cfg)
	}
	for _, w := range t.deps.Configs.Waves() {
		t.scheduler.AddWave(now, w)
	}
}

// run handles events until the ownership ends, and returns the reason.
func (t *term) run(ctx context.Context) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go t.watchDirectory(ctx)
	t.inboxReadAt = make([]time.Time, max(1, t.deps.InboxParts, t.scheduler.InboxPartitions()))
	for partition := range t.inboxReadAt {
		go t.watchInbox(ctx, partition, t.scheduler.InboxOffset(partition))
	}
	go t.watchMachines(ctx)
	ticks := t.deps.Timers.Subscribe(tickPeriod)
	defer ticks.Close()
	defer t.evacuations.publish(nil)
	for {
		now := time.Now()
		t.keepEndedJobs(now)
		t.scheduler.Decide(now)
		t.machinesArriving.Store(t.scheduler.HasMachinesArriving())
		if t.scheduler.TakeMachineListRequest() {
			notify(t.listMachinesNow)
		}
		t.dispatchAndStore(ctx)
		t.logDecisions()
		t.logPoolLoads(now)
		t.loop.endIteration(time.Now())
		switch {
		case t.scheduler.IsFenced():
			return "a worker or machine has seen a higher fencing token"
		case t.deps.Elector.OwnEpoch() != t.epoch:
			return "another gate is owner"
		}
		select {
		case <-ctx.Done():
			return "the gate stops"
		case <-ticks.C():
			t.loop.beginIteration(time.Now())
		case c := <-t.calls:
			t.handleCall(t.loop.beginIteration(time.Now()), c)
		case r := <-t.results:
			t.scheduler.ApplyResult(t.loop.beginIteration(time.Now()), r)
		case s := <-t.commitResults:
			t.loop.beginIteration(time.Now())
			if why := t.finishCommit(ctx, s); why != "" {
				return why
			}
		case entries := <-t.workerLists:
			t.loop.beginIteration(time.Now())
			t.updateWorkers(entries)
		case l := <-t.machineLists:
			t.scheduler.UpdateMachines(t.loop.beginIteration(time.Now()), l.requestedAt, l.entries)
		case page := <-t.inboxPages:
			t.applyInboxPage(t.loop.beginIteration(time.Now()), page)
		case <-t.configChanges:
			t.applyDeclarations(t.loop.beginIteration(time.Now()))
		}
		t.handleQueued()
	}
}

// notify signals on a channel of capacity one. It does nothing if a signal is pending.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// handleQueued handles further events that are already queued, so that one scheduling decision covers them all.
func (t *term) handleQueued() {
	for range maxEventsPerDecision {
		select {
		case c := <-t.calls:
			t.handleCall(time.Now(), c)
		case r := <-t.results:
			t.scheduler.ApplyResult(time.Now(), r)
		default:
			return
		}
	}
}

func (t *term) updateWorkers(entries map[string]sched.WorkerEntry) {
	now := time.Now()
	for id, e := range entries {
		t.targets[id] = ports.Target{ID: id, Address: e.Address, Incarnation: e.Incarnation}
	}
	t.scheduler.UpdateWorkers(now, entries)
	for id := range t.targets {
		if _, listed := entries[id]; !listed && !t.scheduler.HasWorker(id) {
			delete(t.targets, id)
			t.deps.Workers.Disconnect(id)
		}
	}
}

// dispatchAndStore dispatches the immediate orders, and the held ones if this gate may send orders again, and stores the
// scheduler's records unless an append is in flight.
func (t *term) dispatchAndStore(ctx context.Context) {
	for _, o := range t.scheduler.TakeImmediateOrders() {
		t.dispatch(ctx, o)
	}
	if len(t.heldOrders) > 0 && t.deps.Elector.CanOrder() {
		held := t.heldOrders
		t.heldOrders = nil
		for _, o := range held {
			t.dispatch(ctx, o)
		}
	}
	if !t.appendInFlight {
		t.storeNextGroup(ctx)
	}
}

// logPoolLoads logs and publishes each pool's load, once per loadLogPeriod.
func (t *term) logPoolLoads(now time.Time) {
	if now.Sub(t.loadsLoggedAt) < loadLogPeriod {
		return
	}
	t.loadsLoggedAt = now
	t.logOwnerLoad(now)
	loads := t.scheduler.PoolLoads(now)
	publishMetrics(t.scheduler, loads, len(t.heldOrders))
	t.evacuations.publish(t.scheduler.EvacuationLoads())
	t.logLocalityWaits()
	for _, l := range loads {
		if l.Running() > 0 || l.Waiting() > 0 {
			klog.InfoS("pool-load", "pool", l.Pool(), "machines", l.Machines(), "needed", l.Needed(), "usable", l.Schedulable(),
				"waiting", l.Waiting(), "running", l.Running(), "idle-cores", int(l.IdleCores()), "arriving-cores", int(l.Rate()),
				"batch-cores", int(l.BatchCores()), "surplus", l.Surplus(), "urgent-work", int(l.UrgentWork()), "late-work", int(l.LateWork()),
				"suspects", l.Suspects())
		}
	}
	t.logPoolPromises(loads)
	t.publishAllowances()
}

// publishAllowances sets what each gate may store in the inbox while it can't reach this one.
func (t *term) publishAllowances() {
	allowances := map[string]admit.Allowance{}
	for pool, cores := range t.scheduler.BatchCores() {
		allowances[pool] = admit.AllowanceOf(cores, t.deps.CountGates())
	}
	t.allowances.Store(&allowances)
}

// logPoolPromises logs and publishes what is promised of the capacity of each pool in use.
func (t *term) logPoolPromises(loads []sched.PoolLoad) {
	inUse := map[string]bool{}
	for _, l := range loads {
		inUse[l.Pool()] = l.Running() > 0 || l.Waiting() > 0
	}
	for _, p := range t.scheduler.PoolPromises() {
		publishPromise(p)
		if inUse[p.Pool()] {
			klog.InfoS("pool-promise", "pool", p.Pool(), "usable-cores", int(p.UsableCoresIn(0)), "in-1s", int(p.UsableCoresIn(time.Second)),
				"in-3s", int(p.UsableCoresIn(3*time.Second)), "promised-in-time", int(p.InTime()), "promised-late", int(p.Late()))
		}
	}
}

// logOwnerLoad logs the owner's own load. It shows whether CPU time, the log or a missing right to send orders is the
// bottleneck.
func (t *term) logOwnerLoad(now time.Time) {
	busy, longest := t.loop.takeTotals()
	storing := time.Duration(0)
	if t.appendInFlight {
		storing = now.Sub(t.appendStartedAt)
	}
	startsInFlight, maxStarts := t.scheduler.StartsInFlight()
	klog.InfoS("owner-load", "epoch", t.epoch, "busy-ms", busy.Milliseconds(), "longest-turn-ms", longest.Milliseconds(),
		"strain-ms", t.scheduler.CallLatency().Milliseconds(), "starts-under-way", startsInFlight, "starts-at-most", maxStarts,
		"may-order", t.deps.Elector.CanOrder(), "orders-held", len(t.heldOrders), "storing-ms", storing.Milliseconds(),
		"reports-waiting", len(t.results), "calls-waiting", len(t.calls), "open-jobs", t.scheduler.OpenJobs(),
		"jobs-bytes", t.scheduler.JobMemory())
}

func (t *term) logDecisions() {
	t.logEvacuations()
	for _, d := range t.scheduler.Decisions() {
		klog.InfoS(d.Event, "task", d.Task, "worker", d.Worker, "why", d.Detail)
	}
}
