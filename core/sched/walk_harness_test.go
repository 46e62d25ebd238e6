package sched

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"mangowing/core/setup"
)

// world is a small platform: workers with leases, fences and lost or late orders, a journal, and owners that come and go.
// It checks what must always hold from what the workers and callers see.
type world struct {
	rng     *rand.Rand
	saves   *rand.Rand // decides on snapshots, apart from the rest
	now     time.Time
	m       *Scheduler
	token   int64
	journal []Record
	workers map[string]*simWorker
	late    []lateCall
	jobs    []string
	told    map[string]JobState  // what callers were shown
	noted   map[TaskID]time.Time // when the good end of a task was first acknowledged to its worker
	cancels map[string]bool
	specs   map[string]JobSpec
	faults  []string
	nextID  int
	unquiet bool // orders may be lost or late
}

type simWorker struct {
	id      string
	born    int64
	token   int64
	away    time.Time // silent until then
	runs    map[runKey]*simRun
	ended   []EndedRun
	number  int64
	lease   time.Time
	blocked map[TaskID]int // attempts up to this are never begun
}

type simRun struct {
	stopping bool // it is in no list until it has ended
	until    time.Time
	how      AttemptOutcome
	needs    setup.Resources
}

// lateCall is an order that arrives after its caller gave up. It names the incarnation that it is meant for, and another
// one refuses it; docs/QUESTIONS.md asks whether that holds under a kept id.
type lateCall struct {
	born  int64
	at    time.Time
	order Order
	token int64
	sent  time.Time
}

const (
	simCores   = 4000
	simWorkers = 5
	simStep    = 50 * time.Millisecond
)

func newWorld(seed uint64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, seed)), saves: rand.New(rand.NewPCG(seed, 0)), now: testStart, workers: map[string]*simWorker{}, told: map[string]JobState{},
		noted: map[TaskID]time.Time{}, cancels: map[string]bool{}, specs: map[string]JobSpec{}, unquiet: true,
	}
	for i := range simWorkers {
		id := fmt.Sprintf("w%d", i)
		w.workers[id] = newSimWorker(id, 1)
	}
	w.takeOver()
	return w
}

func newSimWorker(id string, born int64) *simWorker {
	return &simWorker{id: id, born: born, runs: map[runKey]*simRun{}, blocked: map[TaskID]int{}}
}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, w.now.Sub(testStart).String()+": "+fmt.Sprintf(format, args...))
}

// takeOver begins a new ownership from what is stored; what the owner before had not stored is lost. Sometimes it was
// lost after, or in the middle of, a snapshot.
func (w *world) takeOver() {
	w.token++
	w.saveSome()
	w.m = New(Options{})
	for _, r := range w.journal {
		if err := w.m.Replay(r); err != nil {
			w.fault("replay: %v", err)
		}
	}
	w.m.TakeOwnership(w.now, 0)
	w.m.Configure(w.now, testConfig())
	w.list()
}

// saveSome puts a snapshot of the stored state on the journal, or the beginning of one.
func (w *world) saveSome() {
	const (
		none = iota
		whole
		begun
		kinds
	)
	kind := w.saves.IntN(kinds)
	if kind == none {
		return
	}
	stored := New(Options{})
	for _, r := range w.journal {
		if err := stored.Replay(r); err != nil {
			w.fault("replay: %v", err)
		}
	}
	snapshot := stored.Snapshot()
	if kind == begun {
		snapshot = snapshot[:w.saves.IntN(len(snapshot))]
	}
	w.journal = append(w.journal, snapshot...)
}

func (w *world) list() {
	entries := map[string]WorkerEntry{}
	for id, s := range w.workers {
		entries[id] = WorkerEntry{
			ID: id, Machine: "m-" + id, Pool: "pots", Labels: []string{"k", "r1"},
			Capacity: setup.Resources{CPU: simCores, MemMB: 1 << 20}, Incarnation: s.born,
		}
	}
	w.m.UpdateWorkers(w.now, entries)
}

// step lets a little time pass.
func (w *world) step() {
	w.now = w.now.Add(simStep)
	for _, id := range w.ids() {
		w.live(w.workers[id])
	}
	w.arriveLate()
	w.m.Decide(w.now)
	w.store()
	w.checkStates()
}

func (w *world) ids() []string {
	ids := make([]string, 0, len(w.workers))
	for id := range w.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// store puts the batch on the journal; now and then the owner is lost before it learns so, or before it is stored.
func (w *world) store() {
	batch := w.m.TakeBatch()
	now := w.m.TakeImmediateOrders()
	if w.unquiet && w.rng.IntN(400) == 0 {
		if w.rng.IntN(2) == 0 {
			w.journal = append(w.journal, batch.Records...)
		}
		w.takeOver()
		return
	}
	w.journal = append(w.journal, batch.Records...)
	w.m.ConfirmStored(batch)
	for _, o := range append(now, batch.DeferredOrders...) {
		w.carry(o)
	}
}

// carry takes an order to its worker by a channel that loses and delays.
func (w *world) carry(o Order) {
	luck := 100
	if w.unquiet {
		luck = w.rng.IntN(100)
	}
	switch {
	case luck < 2:
		delay := time.Duration(500+w.rng.IntN(6000)) * time.Millisecond
		w.late = append(w.late, lateCall{w.bornOf(o), w.now.Add(delay), o, w.token, w.now})
		w.report(o, nil)
	case luck < 4:
		w.report(o, nil)
	case luck < 7:
		w.execute(o, w.token, w.now)
		w.report(o, nil)
	default:
		w.report(o, w.execute(o, w.token, w.now))
	}
}

func (w *world) arriveLate() {
	var rest []lateCall
	for _, c := range w.late {
		if w.now.Before(c.at) {
			rest = append(rest, c)
			continue
		}
		if w.bornOf(c.order) == c.born {
			w.execute(c.order, c.token, c.sent)
		}
	}
	w.late = rest
}

// bornOf returns the incarnation of the worker that an order is for.
func (w *world) bornOf(o Order) int64 {
	switch o := o.(type) {
	case StartTask:
		return w.workers[o.Worker].born
	case StopTask:
		return w.workers[o.Worker].born
	case PollWorker:
		return w.workers[o.Worker].born
	default:
		return 0
	}
}

// report hands the worker's answer to the machine; nil is none.
func (w *world) report(o Order, answer OrderResult) {
	if answer != nil {
		w.m.ApplyResult(w.now, answer)
		return
	}
	switch o := o.(type) {
	case StartTask:
		w.m.ApplyResult(w.now, StartResult{Order: o, Answer: AnswerUnknown, GrantedAt: w.now})
	case StopTask:
		w.m.ApplyResult(w.now, StopResult{Order: o, Answer: AnswerUnknown})
	case PollWorker:
		w.m.ApplyResult(w.now, PollResult{Order: o, Answer: AnswerUnknown, SentAt: w.now, GrantedAt: w.now})
	}
}

// execute lets a worker carry an order out; nil means that it doesn't answer.
func (w *world) execute(o Order, token int64, sent time.Time) OrderResult {
	switch o := o.(type) {
	case StartTask:
		s := w.workers[o.Worker]
		if s == nil || w.now.Before(s.away) {
			return nil
		}
		return StartResult{Order: o, Answer: w.startOn(s, o, token, sent), GrantedAt: sent}
	case StopTask:
		s := w.workers[o.Worker]
		if s == nil || w.now.Before(s.away) {
			return nil
		}
		return StopResult{Order: o, Answer: w.stopOn(s, o, token)}
	case PollWorker:
		s := w.workers[o.Worker]
		if s == nil || w.now.Before(s.away) {
			return nil
		}
		return w.holdOn(s, o, token, sent)
	default:
		return nil
	}
}

func (w *world) fenced(s *simWorker, token int64) bool {
	if token < s.token {
		return true
	}
	s.token = token
	return false
}

func (s *simWorker) grant(until time.Time) {
	if until.After(s.lease) {
		s.lease = until
	}
}

func (w *world) startOn(s *simWorker, o StartTask, token int64, sent time.Time) OrderAnswer {
	if w.fenced(s, token) {
		return AnswerFenced
	}
	key := runKey{o.Task, o.Attempt}
	if s.runs[key] != nil {
		return AnswerOK
	}
	if w.now.After(sent.Add(o.Lease)) {
		return AnswerLeaseExpired
	}
	s.grant(sent.Add(o.Lease))
	if o.Attempt <= s.blocked[o.Task] {
		return AnswerSuperseded
	}
	spec := w.specs[o.Task.Job]
	needs := spec.Steps[o.Task.Step].Reservation()
	if s.used()+needs.CPU > simCores {
		return AnswerNoRoom
	}
	w.checkStart(s, o, sent, spec)
	run := &simRun{until: w.now.Add(time.Duration(300+w.rng.IntN(1500)) * time.Millisecond), needs: needs}
	if w.rng.IntN(30) == 0 {
		run.how = AttemptFailed
	}
	s.runs[key] = run
	return AnswerOK
}

// keys returns the worker's runs in order.
func (s *simWorker) keys() []runKey {
	return slices.SortedFunc(maps.Keys(s.runs), func(a, b runKey) int {
		return cmp.Or(cmp.Compare(a.task.String(), b.task.String()), cmp.Compare(a.attempt, b.attempt))
	})
}

func (s *simWorker) used() int {
	sum := 0
	for _, r := range s.runs {
		sum += r.needs.CPU
	}
	return sum
}

func (w *world) stopOn(s *simWorker, o StopTask, token int64) OrderAnswer {
	if w.fenced(s, token) {
		return AnswerFenced
	}
	s.blocked[o.Task] = max(s.blocked[o.Task], o.Attempt)
	if r := s.runs[runKey{o.Task, o.Attempt}]; r != nil && !r.stopping {
		r.stopping, r.how = true, AttemptStopped
		r.until = w.now.Add(time.Duration(w.rng.Int64N(int64(defaultStopTimeout))))
	}
	return AnswerOK
}

func (s *simWorker) finish(key runKey, how AttemptOutcome) {
	delete(s.runs, key)
	s.number++
	s.blocked[key.task] = max(s.blocked[key.task], key.attempt)
	s.ended = append(s.ended, EndedRun{Number: s.number, Task: key.task, Attempt: key.attempt, Outcome: how})
}

func (w *world) holdOn(s *simWorker, o PollWorker, token int64, sent time.Time) OrderResult {
	rep := PollResult{Order: o, SentAt: sent, GrantedAt: sent, Incarnation: s.born}
	if w.fenced(s, token) {
		rep.Answer = AnswerFenced
		return rep
	}
	if o.Lease > 0 {
		s.grant(sent.Add(o.Lease))
	}
	var kept []EndedRun
	for _, e := range s.ended {
		if e.Number > o.AckedThrough {
			kept = append(kept, e)
			continue
		}
		if _, before := w.noted[e.Task]; e.Outcome == AttemptDone && !before {
			w.noted[e.Task] = w.now
		}
	}
	s.ended = kept
	rep.Ended = slices.Clone(kept)
	for _, key := range s.keys() {
		if s.runs[key].stopping {
			continue
		}
		rep.Active = append(rep.Active, ActiveRun{Task: key.task, Attempt: key.attempt, SpeedPercent: fullSpeed, Load: -1})
	}
	return rep
}

// live lets a worker's runs end and its leases lapse.
func (w *world) live(s *simWorker) {
	for _, key := range s.keys() {
		r := s.runs[key]
		switch {
		case w.now.After(s.lease):
			s.finish(key, AttemptLeaseExpired)
		case w.now.After(r.until):
			s.finish(key, r.how)
		}
	}
}
