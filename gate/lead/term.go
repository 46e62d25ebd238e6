package lead

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"mangowing/core/sched"
	"mangowing/core/timer"
	"mangowing/gate/ports"
)

const (
	tick          = 50 * time.Millisecond
	reportsQueue  = 1024
	eventsAtOnce  = 128
	loadsPeriod   = time.Second
	takeOverLimit = 20 * time.Second
)

// term is one ownership of the scheduler; one goroutine runs it.
type term struct {
	*Service
	epoch        int64
	machine      *sched.Scheduler
	journal      *journal
	reports      chan sched.OrderResult
	lists        chan map[string]sched.WorkerEntry
	machines     chan machineList
	machinesNews chan struct{} // ticks when the machines should be listed at once
	inbox        chan inboxPage
	stored       chan storedGroup
	targets      map[string]ports.Target
	storing      bool
	expecting    atomic.Bool     // machines are on their way to a pool
	replies      []reply         // to be given once what the machine records next is stored
	held         []sched.Order   // wait until this gate may order again
	inboxRead    time.Time       // all that gates put into the inbox before was taken over
	snapshot     time.Time       // when the last snapshot was taken
	unsaved      int             // bytes that a successor would replay beside the last snapshot
	saved        int             // bytes of the last snapshot
	configs      <-chan struct{} // ticks on each declaration
	storingSince time.Time
	loadsLogged  time.Time
	loop         loopMeter
}

func newTerm(s *Service, epoch int64) *term {
	return &term{
		Service: s, epoch: epoch, machine: sched.New(s.deps.Options),
		journal:      &journal{log: s.deps.Log, epoch: epoch},
		reports:      make(chan sched.OrderResult, reportsQueue),
		lists:        make(chan map[string]sched.WorkerEntry, 1),
		machines:     make(chan machineList, 1),
		machinesNews: make(chan struct{}, 1),
		inbox:        make(chan inboxPage, 1),
		stored:       make(chan storedGroup, 1),
		targets:      map[string]ports.Target{},
		configs:      s.deps.Configs.Subscribe(),
		snapshot:     time.Now(),
	}
}

// takeOver fences the owner before, replays the journal and the inbox, and asks the workers what they run.
func (t *term) takeOver(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, takeOverLimit)
	defer cancel()
	go t.cancelWhenLost(ctx, cancel)
	started := time.Now()
	if err := t.journal.fence(ctx); err != nil {
		return err
	}
	fenced := time.Now()
	replayed, err := t.journal.replay(ctx, t.machine)
	if err != nil {
		return err
	}
	t.unsaved = replayed
	countTakeover(fenced.Sub(started), time.Since(fenced))
	klog.InfoS("takeover", "epoch", t.epoch, "fence-ms", fenced.Sub(started).Milliseconds(),
		"replay-ms", time.Since(fenced).Milliseconds())
	now := time.Now()
	t.machine.TakeOwnership(now, t.deps.Keeper.LastGrant())
	t.declare(now)
	return nil
}

// cancelWhenLost ends a takeover that another gate's has overtaken.
func (t *term) cancelWhenLost(ctx context.Context, cancel context.CancelFunc) {
	for ctx.Err() == nil {
		if t.deps.Keeper.Mine() != t.epoch {
			cancel()
			return
		}
		timer.Sleep(ctx, ownerLook)
	}
}

// declare hands the machine what operators have declared.
func (t *term) declare(now time.Time) {
	if cfg := t.deps.Configs.Config(); cfg != nil {
		t.machine.Configure(now, cfg)
	}
	for _, w := range t.deps.Configs.Waves() {
		t.machine.AddWave(now, w)
	}
}

// run serves until the ownership ends, and returns why it did.
func (t *term) run(ctx context.Context) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go t.watchDirectory(ctx)
	go t.watchInbox(ctx, t.machine.InboxOffset())
	go t.watchMachines(ctx)
	ticks := t.deps.Timers.Subscribe(tick)
	defer ticks.Close()
	for {
		now := time.Now()
		t.machine.Decide(now)
		t.expecting.Store(t.machine.HasMachinesArriving())
		if t.machine.TakeMachineListRequest() {
			notify(t.machinesNews)
		}
		t.pump(ctx)
		t.logDecisions()
		t.logLoads(now)
		t.loop.rests(time.Now())
		switch {
		case t.machine.IsFenced():
			return "a worker or machine has seen a higher fencing token"
		case t.deps.Keeper.Mine() != t.epoch:
			return "another gate is owner"
		}
		select {
		case <-ctx.Done():
			return "the gate stops"
		case <-ticks.C():
			t.loop.works(time.Now())
		case c := <-t.calls:
			t.handle(t.loop.works(time.Now()), c)
		case r := <-t.reports:
			t.machine.ApplyResult(t.loop.works(time.Now()), r)
		case s := <-t.stored:
			t.loop.works(time.Now())
			if why := t.finish(ctx, s); why != "" {
				return why
			}
		case entries := <-t.lists:
			t.loop.works(time.Now())
			t.listWorkers(entries)
		case l := <-t.machines:
			t.machine.UpdateMachines(t.loop.works(time.Now()), l.asked, l.entries)
		case page := <-t.inbox:
			t.takeInbox(t.loop.works(time.Now()), page)
		case <-t.configs:
			t.declare(t.loop.works(time.Now()))
		}
		t.drain()
	}
}

// notify ticks a channel that holds one tick.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// drain takes what else has arrived, so that one decision serves it all.
func (t *term) drain() {
	for range eventsAtOnce {
		select {
		case c := <-t.calls:
			t.handle(time.Now(), c)
		case r := <-t.reports:
			t.machine.ApplyResult(time.Now(), r)
		default:
			return
		}
	}
}

func (t *term) listWorkers(entries map[string]sched.WorkerEntry) {
	now := time.Now()
	for id, e := range entries {
		t.targets[id] = ports.Target{ID: id, Address: e.Address, Born: e.Incarnation}
	}
	t.machine.UpdateWorkers(now, entries)
	for id := range t.targets {
		if _, listed := entries[id]; !listed && !t.machine.HasWorker(id) {
			delete(t.targets, id)
			t.deps.Workers.Forget(id)
		}
	}
}

// pump gives the orders that wait for nothing and stores what the machine has recorded.
func (t *term) pump(ctx context.Context) {
	for _, o := range t.machine.TakeImmediateOrders() {
		t.give(ctx, o)
	}
	if len(t.held) > 0 && t.deps.Keeper.MayOrder() {
		held := t.held
		t.held = nil
		for _, o := range held {
			t.give(ctx, o)
		}
	}
	if !t.storing {
		t.store(ctx)
	}
}

// logLoads tells once in a while what each pool has to do.
func (t *term) logLoads(now time.Time) {
	if now.Sub(t.loadsLogged) < loadsPeriod {
		return
	}
	t.loadsLogged = now
	t.logOwnLoad(now)
	loads := t.machine.PoolLoads(now)
	publish(t.machine, loads, len(t.held))
	for _, l := range loads {
		if l.Running() > 0 || l.Waiting() > 0 {
			klog.InfoS("pool-load", "pool", l.Pool(), "machines", l.Machines(), "needed", l.Needed(), "usable", l.Schedulable(),
				"waiting", l.Waiting(), "running", l.Running(), "idle-cores", int(l.IdleCores()), "arriving-cores", int(l.Rate()))
		}
	}
}

// logOwnLoad tells what the owner itself has to do: whether its processor, the log or its right to order holds work up.
func (t *term) logOwnLoad(now time.Time) {
	busy, longest := t.loop.take()
	storing := time.Duration(0)
	if t.storing {
		storing = now.Sub(t.storingSince)
	}
	underWay, most := t.machine.StartsInFlight()
	klog.InfoS("owner-load", "epoch", t.epoch, "busy-ms", busy.Milliseconds(), "longest-turn-ms", longest.Milliseconds(),
		"strain-ms", t.machine.CallLatency().Milliseconds(), "starts-under-way", underWay, "starts-at-most", most,
		"may-order", t.deps.Keeper.MayOrder(), "orders-held", len(t.held), "storing-ms", storing.Milliseconds(),
		"reports-waiting", len(t.reports), "calls-waiting", len(t.calls), "open-jobs", t.machine.OpenJobs())
}

func (t *term) logDecisions() {
	for _, d := range t.machine.Decisions() {
		klog.InfoS(d.Event, "task", d.Task, "worker", d.Worker, "why", d.Detail)
	}
}
