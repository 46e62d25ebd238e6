package queue

import (
	"context"
	"time"

	"mangowing/core/codes"
	"mangowing/core/event"
	"mangowing/core/fold"
	"mangowing/core/route"
	"mangowing/core/share"
)

const (
	commandBuffer = 1024
	tickPeriod    = 50 * time.Millisecond
)

// Rights is the data centre's part of each team's limit. A right is held from the grant until the work has certainly ended.
type Rights interface {
	TryAcquire(team string) bool
	Release(team string)
	Request(team string)
}

// TeamLoad is the load of one team in a pool.
type TeamLoad = share.TeamSnapshot

// command is a message to a dispatcher's goroutine.
type command interface{ isCommand() }

type askCommand struct {
	ask   askWire
	reply chan answerWire
}

type cancelCommand struct{ request string }

type releaseCommand struct {
	release releaseWire
	known   chan bool
}

type configureCommand struct {
	targets []route.Target
	active  bool
}

type reclaimCommand struct{ request string }

type countGrantsCommand struct {
	vm    string
	reply chan int
}

type reclaimableCommand struct{ reply chan []outstandingGrant }

type holdersCommand struct{ reachable map[string]bool }

type loadCommand struct{ reply chan PoolLoad }

type waitingCountsCommand struct {
	teams []string
	reply chan waitingCountsAnswerWire
}

type moveCommand struct{ moves []move }

func (askCommand) isCommand()           {}
func (cancelCommand) isCommand()        {}
func (releaseCommand) isCommand()       {}
func (configureCommand) isCommand()     {}
func (reclaimCommand) isCommand()       {}
func (countGrantsCommand) isCommand()   {}
func (reclaimableCommand) isCommand()   {}
func (holdersCommand) isCommand()       {}
func (loadCommand) isCommand()          {}
func (waitingCountsCommand) isCommand() {}
func (moveCommand) isCommand()          {}

// dispatcher grants the starts of one pool in one data centre. Its goroutine owns all fields except lastConfigured.
type dispatcher struct {
	service        *Service
	pool           string
	commands       chan command
	scheduler      *share.Scheduler
	balancer       *route.Balancer
	waiters        map[string]waiter
	grants         map[string]*outstandingGrant
	slots          int
	active         bool
	sharesState    *fold.State       // the state that the scheduler's shares come from
	rebalancing    bool              // a request for the other dispatchers' waiting counts is in flight
	rebalancedAt   time.Time         // when that request was last sent
	lastConfigured *configureCommand // the last command of Service.configure, guarded by refreshMu
}

func newDispatcher(s *Service, pool string) *dispatcher {
	return &dispatcher{
		service:   s,
		pool:      pool,
		commands:  make(chan command, commandBuffer),
		scheduler: share.New(),
		balancer:  route.New(route.Options{}),
		waiters:   map[string]waiter{},
		grants:    map[string]*outstandingGrant{},
	}
}

func (d *dispatcher) run(ctx context.Context) {
	tick := d.service.process.Timers().Subscribe(tickPeriod)
	defer tick.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case cmd := <-d.commands:
			d.handle(cmd)
		case <-tick.C():
			d.updateShares()
			d.expire()
			d.rebalance(ctx, time.Now())
		}
		d.grantWaiting()
	}
}

func (d *dispatcher) handle(cmd command) {
	switch cmd := cmd.(type) {
	case askCommand:
		d.enqueue(cmd)
	case cancelCommand:
		d.cancel(cmd.request)
	case releaseCommand:
		cmd.known <- d.release(cmd.release)
	case configureCommand:
		d.configure(cmd)
	case reclaimCommand:
		d.reclaim(cmd.request)
	case countGrantsCommand:
		cmd.reply <- d.grantsOn(cmd.vm)
	case reclaimableCommand:
		cmd.reply <- d.reclaimable()
	case holdersCommand:
		d.updateHolders(cmd.reachable)
	case loadCommand:
		cmd.reply <- d.currentLoad()
	case waitingCountsCommand:
		cmd.reply <- d.waitingCounts(cmd.teams)
	case moveCommand:
		d.move(cmd.moves)
	}
}

func (d *dispatcher) currentLoad() PoolLoad {
	counts := map[string]int{}
	for _, g := range d.grants {
		counts[g.vm]++
	}
	l := PoolLoad{d.scheduler.Waiting(), len(d.grants), d.slots, d.scheduler.Snapshot(), nil, nil}
	for _, t := range d.balancer.Snapshot(time.Now()) {
		if t.IsEjected() {
			l.ejected = append(l.ejected, t.Name())
		}
	}
	for vm, n := range counts {
		l.vms = append(l.vms, VMLoad{vm, n})
	}
	return l
}

func (d *dispatcher) enqueue(cmd askCommand) {
	if !d.active {
		cmd.reply <- refusal(codes.DispatcherLost, "another gate dispatches the pool")
		return
	}
	if _, isDuplicate := d.waiters[cmd.ask.Request]; isDuplicate {
		cmd.reply <- refusal(codes.DispatcherLost, "asked twice")
		return
	}
	now := time.Now()
	d.scheduler.SetTeam(cmd.ask.Team, d.service.shareOf(cmd.ask.Team), cmd.ask.QueueLength)
	if code := d.scheduler.Add(d.newItem(cmd.ask, now), now); code != codes.OK {
		answer := refusal(code, "")
		answer.BacklogMs = d.estimateBacklogMs(cmd.ask)
		cmd.reply <- answer
		return
	}
	d.waiters[cmd.ask.Request] = waiter{cmd.ask, cmd.reply, now}
	if cmd.ask.Immediate {
		d.grantWaiting()
		d.refuseUngranted(cmd.ask)
	}
}

// updateShares applies changed shares to all teams with waiting or running requests. Without it a team's share would
// change only at its next ask.
func (d *dispatcher) updateShares() {
	state := d.service.states.State()
	if state == d.sharesState {
		return
	}
	d.sharesState = state
	for _, t := range d.scheduler.Snapshot() {
		team, _ := state.Config().Team(t.Name())
		d.scheduler.SetWeight(t.Name(), team.Share())
	}
}

func (d *dispatcher) newItem(a askWire, now time.Time) share.Item {
	spec := share.ItemSpec{
		ID: a.Request, Team: a.Team, Class: a.Class, Arrived: now.Add(-time.Duration(a.AgeMs) * time.Millisecond),
		Deadline: now.Add(time.Duration(a.WaitMs) * time.Millisecond),
		Expected: time.Duration(a.RunTimeMs) * time.Millisecond,
	}
	if a.LatestFinish > 0 {
		spec.LatestFinish = time.UnixMilli(a.LatestFinish)
	}
	return share.NewItem(spec)
}

func (d *dispatcher) refuseUngranted(a askWire) {
	w, waits := d.waiters[a.Request]
	if !waits {
		return
	}
	d.scheduler.Remove(a.Request)
	delete(d.waiters, a.Request)
	answer := refusal(codes.QueueFull, "no slot is free at once")
	answer.BacklogMs = d.estimateBacklogMs(a)
	w.reply <- answer
}

// estimateBacklogMs estimates the wait in milliseconds from the team's waiting requests per slot.
func (d *dispatcher) estimateBacklogMs(a askWire) int64 {
	slots := max(d.slots, 1)
	return int64(1+d.scheduler.TeamWaiting(a.Team)) * max(a.RunTimeMs, 1) / int64(slots)
}

func (d *dispatcher) cancel(request string) {
	if _, waits := d.waiters[request]; waits {
		d.scheduler.Remove(request)
		delete(d.waiters, request)
	}
}

func (d *dispatcher) expire() {
	for _, item := range d.scheduler.Expire(time.Now()) {
		d.refuse(item.ID(), codes.DeadlineUnmeetable, "no slot in time")
	}
}

func (d *dispatcher) refuse(request string, code codes.Code, detail string) {
	if w, waits := d.waiters[request]; waits {
		delete(d.waiters, request)
		w.reply <- refusal(code, detail)
	}
}

// grantWaiting grants starts as long as a VM has a free slot and a request waits whose team has a right available.
func (d *dispatcher) grantWaiting() {
	for d.active && d.scheduler.Waiting() > 0 {
		if !d.tryGrantNext(time.Now()) {
			return
		}
	}
}

func (d *dispatcher) tryGrantNext(now time.Time) bool {
	if _, free := d.balancer.Pick(now, nil); !free {
		return false
	}
	acquiredFor := ""
	item, ok := d.scheduler.Next(now, func(team string) bool {
		if d.service.rights.TryAcquire(team) {
			acquiredFor = team
			return true
		}
		d.service.rights.Request(team)
		return false
	})
	if !ok {
		if acquiredFor != "" {
			d.service.rights.Release(acquiredFor)
		}
		return false
	}
	w := d.waiters[item.ID()]
	delete(d.waiters, item.ID())
	target, free := d.balancer.Pick(now, excludeVMs(w.ask.ExceptVM))
	if !free {
		d.undoStart(item, now)
		w.reply <- refusal(codes.NoUpstream, "no other VM is free")
		return true
	}
	d.grant(w, item, target, now)
	return true
}

func excludeVMs(names []string) func(string) bool {
	if len(names) == 0 {
		return nil
	}
	return func(name string) bool {
		for _, n := range names {
			if n == name {
				return true
			}
		}
		return false
	}
}

func (d *dispatcher) undoStart(item share.Item, now time.Time) {
	d.scheduler.Finish(item.ID(), 0, now)
	d.service.rights.Release(item.Team())
}

func (d *dispatcher) grant(w waiter, item share.Item, target route.Target, now time.Time) {
	d.balancer.RecordStart(target.Name())
	d.grants[item.ID()] = &outstandingGrant{
		request: item.ID(), team: item.Team(), vm: target.Name(), address: target.Address(),
		holder: w.ask.Holder, grantedAt: now,
	}
	d.service.process.Events().Add("grant", event.Fields{Request: item.ID(), Team: item.Team(), VM: target.Name()})
	w.reply <- answerWire{
		Granted: true, VM: target.Name(), Address: target.Address(), Dispatcher: d.service.process.Incarnation(),
		WaitedMs: now.Sub(w.askedAt).Milliseconds(),
	}
}

// release ends a grant and reports whether it was known. If the work may still run, the grant stays outstanding until a
// worker's report shows that it has ended.
func (d *dispatcher) release(r releaseWire) bool {
	g, known := d.grants[r.Request]
	if !known {
		d.cancel(r.Request)
		return false
	}
	took := time.Duration(r.TookMs) * time.Millisecond
	if r.Result == ResultUnknown {
		g.needsReclaim = true
		g.failed = true
		return true
	}
	d.endGrant(g, r.Result, took)
	return true
}

func (d *dispatcher) endGrant(g *outstandingGrant, result Result, took time.Duration) {
	now := time.Now()
	delete(d.grants, g.request)
	d.balancer.RecordResult(g.vm, routeResult(result), took, now)
	charged := took
	if result != ResultRan && result != ResultFailed && result != ResultUnknown && result != resultAbandoned {
		charged = 0
	}
	d.scheduler.Finish(g.request, charged, now)
	d.service.rights.Release(g.team)
	d.scheduler.Unblock(g.team)
}

func routeResult(r Result) route.Result {
	switch r {
	case ResultFailed, ResultUnknown:
		return route.Failed
	case ResultRefused:
		return route.Refused
	case ResultUnreachable:
		return route.Unreachable
	case ResultNotStarted, resultAbandoned:
		return route.Inconclusive
	default:
		return route.Succeeded
	}
}

func (d *dispatcher) reclaim(request string) {
	if g, known := d.grants[request]; known {
		d.service.process.Events().Add("grant-reclaimed", event.Fields{Request: request, Team: g.team, VM: g.vm})
		d.endGrant(g, g.reclaimResult(), time.Since(g.grantedAt))
	}
}

// reclaimResult returns the result to record for a reclaimed grant. It counts against the VM only if the holder reported
// a failure, not if the holder itself is gone.
func (g *outstandingGrant) reclaimResult() Result {
	if g.failed {
		return ResultUnknown
	}
	return resultAbandoned
}

func (d *dispatcher) grantsOn(vm string) int {
	n := 0
	for _, g := range d.grants {
		if g.vm == vm {
			n++
		}
	}
	return n
}

func (d *dispatcher) reclaimable() []outstandingGrant {
	var out []outstandingGrant
	for _, g := range d.grants {
		if g.needsReclaim {
			out = append(out, *g)
		}
	}
	return out
}

// updateHolders marks the grants of unreachable gates for reclaiming: the work may still run, but may never be released.
func (d *dispatcher) updateHolders(reachable map[string]bool) {
	for _, g := range d.grants {
		if !reachable[g.holder] {
			g.needsReclaim = true
		}
	}
	for request, w := range d.waiters {
		if !reachable[w.ask.Holder] { // or the view does not have it yet; then it asks again
			d.scheduler.Remove(request)
			d.refuse(request, codes.DispatcherLost, "the asking gate is not known")
		}
	}
}

func (d *dispatcher) configure(c configureCommand) {
	d.balancer.SetTargets(c.targets)
	d.slots = 0
	for _, t := range c.targets {
		d.slots += t.Slots()
	}
	d.scheduler.SetSlots(d.slots)
	d.balancer.SetOptions(route.Options{MaxEjectedPercent: d.service.states.State().Config().Fleet().MaxEjectedPercent()})
	d.active = c.active
	if !d.active {
		d.refuseAll()
	}
}

// refuseAll refuses the waiting requests, so that they ask the gate that dispatches the pool now.
func (d *dispatcher) refuseAll() {
	for request := range d.waiters {
		d.scheduler.Remove(request)
		d.refuse(request, codes.DispatcherLost, "another gate dispatches the pool")
	}
}
