package sched

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/setup"
)

// simPolls are the polls that workers hold back: a worker answers when it has an end to list, or when the poll has waited for long enough.
type simPolls struct {
	held  []simHeldPoll
	stale int // answers that list a run neither as active nor as ended, whose poll was sent before its stop began
}

type simHeldPoll struct {
	life  *simWorker
	order PollWorker
	call  simCall
	owner *Scheduler
	until time.Time
}

// hold holds a poll back that the worker has received, and reports whether it does.
func (p *simPolls) hold(w *simulation, s *simWorker, a simAnswer, call simCall) bool {
	res, isPoll := a.result.(PollResult)
	if p == nil || !isPoll || res.Answer != AnswerOK || res.Order.MaxWait <= 0 || len(res.Ended) > 0 {
		return false
	}
	p.held = append(p.held, simHeldPoll{s, res.Order, call, w.scheduler, w.now.Add(res.Order.MaxWait)})
	return true
}

// step answers the polls that have waited for long enough. Those of workers that have restarted, or are cut off, get no answer.
func (p *simPolls) step(w *simulation) {
	if p == nil {
		return
	}
	var rest []simHeldPoll
	for _, h := range p.held {
		switch isDue := len(h.life.ended) > 0 || !w.now.Before(h.until); {
		case h.owner != w.scheduler:
		case w.workers[h.life.id] != h.life, isDue && h.life.isSilent(w.now):
			w.failCall(h.order, h.call)
		case isDue:
			p.answer(w, h)
		default:
			rest = append(rest, h)
		}
	}
	p.held = rest
}

func (p *simPolls) answer(w *simulation, h simHeldPoll) {
	res := PollResult{
		Order: h.order, SentAt: h.call.sentAt, GrantedAt: h.call.sentAt, ClockIncarnation: h.call.link.incarnation, Incarnation: h.life.incarnation(),
	}
	h.life.listRuns(&res)
	for _, r := range h.life.runs {
		if r.stopping {
			p.stale++
		}
	}
	w.applyAnswer(simAnswer{worker: h.life.id, clock: h.life.clock(w.now), result: res})
}

// simLists takes workers off the list for a while, at random, and shows the machines of those that are down as running none.
type simLists struct {
	rng      *rand.Rand
	absent   map[string]time.Time // until when a worker isn't listed
	removals int                  // of workers that the scheduler no longer knew when they were listed again
}

const (
	// One worker in so many steps leaves the list.
	simUnlistingSteps = 120
	simMaxUnlisted    = 6 * time.Second
)

func (l *simLists) step(w *simulation) {
	if l == nil {
		return
	}
	l.unlist(w)
	l.listAgain(w)
	l.listMachines(w)
}

func (l *simLists) unlist(w *simulation) {
	if !w.faultsOn || l.rng.IntN(simUnlistingSteps) != 0 {
		return
	}
	ids := w.workerIDs()
	id := ids[l.rng.IntN(len(ids))]
	if _, isListed := w.listed[id]; !isListed {
		return
	}
	delete(w.listed, id)
	l.absent[id] = w.now.Add(time.Duration(l.rng.Int64N(int64(simMaxUnlisted))))
	w.listWorkers()
}

// listAgain lists the workers again whose time has come and that are up.
func (l *simLists) listAgain(w *simulation) {
	for _, id := range w.workerIDs() {
		until, isAbsent := l.absent[id]
		if _, isListed := w.listed[id]; isListed || !isAbsent || w.now.Before(until) || w.workers[id].isDown(w.now) {
			continue
		}
		if !w.scheduler.HasWorker(id) {
			l.removals++
		}
		delete(l.absent, id)
		w.listed[id] = w.workers[id].incarnation()
		w.listWorkers()
	}
}

func (l *simLists) listMachines(w *simulation) {
	var machines []MachineEntry
	for _, id := range w.workerIDs() {
		m := MachineEntry{
			ID: "m-" + id, Pool: "pots", State: MachineUp, DataCentre: simDataCentre(id), Worker: id,
			Capacity: setup.Resources{CPU: simMilliCores, MemMB: 1 << 20},
		}
		if w.workers[id].isDown(w.now) {
			m.Worker = ""
		}
		machines = append(machines, m)
	}
	w.scheduler.UpdateMachines(w.now, w.now, machines)
}

// Guards against tasks that run twice, or are lost, when workers hold polls back, leave the list for a while, or are shown as ended by the list
// of machines and come back under their IDs.
func TestWalkWithHeldPollsAndChangingLists(t *testing.T) {
	first, end := walkSeeds()
	stale, removals := 0, 0
	for seed := first; seed < end; seed++ {
		w := newSimulation(seed, Options{}, nil)
		w.polls = &simPolls{}
		w.lists = &simLists{rng: rand.New(rand.NewPCG(seed, 2)), absent: map[string]time.Time{}}
		w.play()
		assert.Check(t, len(w.violations) == 0, "seed %d, %d jobs: %v", seed, len(w.jobs), w.violations)
		stale += w.polls.stale
		removals += w.lists.removals
	}
	t.Logf("%d answers lacked a run that was being stopped, %d workers came back after their removal", stale, removals)
	assert.Check(t, stale > 0 && removals > 0)
}
