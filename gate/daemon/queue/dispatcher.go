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
	pumpPeriod    = 50 * time.Millisecond
)

// Rights is the data centre's part of each team's upper limit; a right is held from the grant until the work has surely ended.
type Rights interface {
	TryAcquire(team string) bool
	Release(team string)
	Request(team string)
}

// TeamLoad is one team's part of a pool's load.
type TeamLoad = share.TeamSnapshot

// command is what a pool's dispatcher is asked to do.
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

type outstandingCommand struct {
	vm    string
	reply chan int
}

type unsureCommand struct{ reply chan []outstanding }

type holderGoneCommand struct{ alive map[string]bool }

type statusCommand struct{ reply chan PoolLoad }

type waitingCommand struct {
	teams []string
	reply chan levelAnswerWire
}

type moveCommand struct{ moves []move }

func (askCommand) isCommand()         {}
func (cancelCommand) isCommand()      {}
func (releaseCommand) isCommand()     {}
func (configureCommand) isCommand()   {}
func (reclaimCommand) isCommand()     {}
func (outstandingCommand) isCommand() {}
func (unsureCommand) isCommand()      {}
func (holderGoneCommand) isCommand()  {}
func (statusCommand) isCommand()      {}
func (waitingCommand) isCommand()     {}
func (moveCommand) isCommand()        {}

// dispatcher grants the starts of one pool in one data centre; its own goroutine owns all fields but configured.
type dispatcher struct {
	service    *Service
	pool       string
	commands   chan command
	scheduler  *share.Scheduler
	balancer   *route.Balancer
	waiters    map[string]waiter
	grants     map[string]*outstanding
	slots      int
	active     bool
	weighed    *fold.State       // whose shares the scheduler has
	levelling  bool              // the other dispatchers of the pool are being asked
	levelled   time.Time         // when they were last asked
	configured *configureCommand // what the service sent last, under its refreshing lock
}

func newDispatcher(s *Service, pool string) *dispatcher {
	return &dispatcher{
		service:   s,
		pool:      pool,
		commands:  make(chan command, commandBuffer),
		scheduler: share.New(),
		balancer:  route.New(route.Options{}),
		waiters:   map[string]waiter{},
		grants:    map[string]*outstanding{},
	}
}

func (d *dispatcher) run(ctx context.Context) {
	tick := d.service.process.Timers().Subscribe(pumpPeriod)
	defer tick.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case cmd := <-d.commands:
			d.handle(cmd)
		case <-tick.C():
			d.weigh()
			d.expire()
			d.level(ctx, time.Now())
		}
		d.pump()
	}
}

func (d *dispatcher) handle(cmd command) {
	switch cmd := cmd.(type) {
	case askCommand:
		d.ask(cmd)
	case cancelCommand:
		d.cancel(cmd.request)
	case releaseCommand:
		cmd.known <- d.release(cmd.release)
	case configureCommand:
		d.configure(cmd)
	case reclaimCommand:
		d.reclaim(cmd.request)
	case outstandingCommand:
		cmd.reply <- d.outstandingOn(cmd.vm)
	case unsureCommand:
		cmd.reply <- d.unsure()
	case holderGoneCommand:
		d.holdersGone(cmd.alive)
	case statusCommand:
		cmd.reply <- d.load()
	case waitingCommand:
		cmd.reply <- d.waitingOf(cmd.teams)
	case moveCommand:
		d.move(cmd.moves)
	}
}

func (d *dispatcher) load() PoolLoad {
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

func (d *dispatcher) ask(cmd askCommand) {
	if !d.active {
		cmd.reply <- refusal(codes.DispatcherLost, "another gate dispatches the pool")
		return
	}
	if _, twice := d.waiters[cmd.ask.Request]; twice {
		cmd.reply <- refusal(codes.DispatcherLost, "asked twice")
		return
	}
	now := time.Now()
	d.scheduler.SetTeam(cmd.ask.Team, d.service.shareOf(cmd.ask.Team), cmd.ask.QueueLength)
	if code := d.scheduler.Add(d.item(cmd.ask, now), now); code != codes.OK {
		answer := refusal(code, "")
		answer.BacklogMs = d.backlogMs(cmd.ask)
		cmd.reply <- answer
		return
	}
	d.waiters[cmd.ask.Request] = waiter{cmd.ask, cmd.reply, now}
	if cmd.ask.Immediate {
		d.pump()
		d.refuseIfWaiting(cmd.ask)
	}
}

// weigh takes changed shares over for the teams that wait or run; each ask does so for its own team.
func (d *dispatcher) weigh() {
	state := d.service.states.State()
	if state == d.weighed {
		return
	}
	d.weighed = state
	for _, t := range d.scheduler.Snapshot() {
		team, _ := state.Config().Team(t.Name())
		d.scheduler.SetWeight(t.Name(), team.Share())
	}
}

func (d *dispatcher) item(a askWire, now time.Time) share.Item {
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

func (d *dispatcher) refuseIfWaiting(a askWire) {
	w, waits := d.waiters[a.Request]
	if !waits {
		return
	}
	d.scheduler.Remove(a.Request)
	delete(d.waiters, a.Request)
	answer := refusal(codes.QueueFull, "no slot is free at once")
	answer.BacklogMs = d.backlogMs(a)
	w.reply <- answer
}

// backlogMs estimates the wait from the requests of the team that wait for each slot.
func (d *dispatcher) backlogMs(a askWire) int64 {
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

// pump grants starts while a VM has a free slot, a request waits and its team has a right.
func (d *dispatcher) pump() {
	for d.active && d.scheduler.Waiting() > 0 {
		if !d.grantNext(time.Now()) {
			return
		}
	}
}

func (d *dispatcher) grantNext(now time.Time) bool {
	if _, free := d.balancer.Pick(now, nil); !free {
		return false
	}
	spent := ""
	item, ok := d.scheduler.Next(now, func(team string) bool {
		if d.service.rights.TryAcquire(team) {
			spent = team
			return true
		}
		d.service.rights.Request(team)
		return false
	})
	if !ok {
		if spent != "" {
			d.service.rights.Release(spent)
		}
		return false
	}
	w := d.waiters[item.ID()]
	delete(d.waiters, item.ID())
	target, free := d.balancer.Pick(now, excluded(w.ask.ExceptVM))
	if !free {
		d.giveBack(item, now)
		w.reply <- refusal(codes.NoUpstream, "no other VM is free")
		return true
	}
	d.grant(w, item, target, now)
	return true
}

func excluded(names []string) func(string) bool {
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

func (d *dispatcher) giveBack(item share.Item, now time.Time) {
	d.scheduler.Finish(item.ID(), 0, now)
	d.service.rights.Release(item.Team())
}

func (d *dispatcher) grant(w waiter, item share.Item, target route.Target, now time.Time) {
	d.balancer.RecordStart(target.Name())
	d.grants[item.ID()] = &outstanding{
		request: item.ID(), team: item.Team(), vm: target.Name(), address: target.Address(),
		holder: w.ask.Holder, granted: now,
	}
	d.service.process.Events().Add("grant", event.Fields{Request: item.ID(), Team: item.Team(), VM: target.Name()})
	w.reply <- answerWire{
		Granted: true, VM: target.Name(), Address: target.Address(), Dispatcher: d.service.process.Incarnation(),
		WaitedMs: now.Sub(w.asked).Milliseconds(),
	}
}

// release ends a grant; one whose work may still run stays outstanding until a worker's report shows that it ended.
func (d *dispatcher) release(r releaseWire) bool {
	g, known := d.grants[r.Request]
	if !known {
		d.cancel(r.Request)
		return false
	}
	took := time.Duration(r.TookMs) * time.Millisecond
	if r.Result == ResultUnknown {
		g.unsure = true
		g.failed = true
		return true
	}
	d.end(g, r.Result, took)
	return true
}

func (d *dispatcher) end(g *outstanding, result Result, took time.Duration) {
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
		d.end(g, g.reclaimedAs(), time.Since(g.granted))
	}
}

// reclaimedAs says nothing against a VM whose work's only fault is that the gate which waited for it is gone.
func (g *outstanding) reclaimedAs() Result {
	if g.failed {
		return ResultUnknown
	}
	return resultAbandoned
}

func (d *dispatcher) outstandingOn(vm string) int {
	n := 0
	for _, g := range d.grants {
		if g.vm == vm {
			n++
		}
	}
	return n
}

func (d *dispatcher) unsure() []outstanding {
	var out []outstanding
	for _, g := range d.grants {
		if g.unsure {
			out = append(out, *g)
		}
	}
	return out
}

// holdersGone marks the grants of gates that do not answer: their work may still run, but perhaps nobody will release it.
func (d *dispatcher) holdersGone(alive map[string]bool) {
	for _, g := range d.grants {
		if !alive[g.holder] {
			g.unsure = true
		}
	}
	for request, w := range d.waiters {
		if !alive[w.ask.Holder] { // or it was not heard of yet; then it asks again
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
	d.balancer.SetOptions(route.Options{MaxEjectedPercent: d.service.states.State().Config().Fleet().EjectedPercent()})
	d.active = c.active
	if !d.active {
		d.flush()
	}
}

// flush sends those that wait to the gate that dispatches the pool now.
func (d *dispatcher) flush() {
	for request := range d.waiters {
		d.scheduler.Remove(request)
		d.refuse(request, codes.DispatcherLost, "another gate dispatches the pool")
	}
}
