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

// simulation is a small platform: workers with leases and fencing, orders that get lost or delayed, a journal, and changing
// owners. It checks the scheduler's invariants from what workers and clients observe.
type simulation struct {
	rng          *rand.Rand
	snapshotRNG  *rand.Rand // used for snapshots only, so that they don't change the other random choices
	now          time.Time
	scheduler    *Scheduler
	token        int64
	journal      []Record
	workers      map[string]*simWorker
	delayedCalls []delayedCall
	jobs         []string
	shownStates  map[string]JobState  // states that clients were last shown
	ackedDone    map[TaskID]time.Time // when the success of a task was first acknowledged to its worker
	lastStart    map[TaskID]time.Time // when a worker last started the task
	cancelled    map[string]bool
	specs        map[string]JobSpec
	violations   []string
	nextID       int
	faultsOn     bool // orders may be lost or delayed, and owners may fail
	options      Options
	requests     *simRequests // nil if there are no evacuations
}

type simWorker struct {
	id              string
	incarnation     int64
	token           int64
	silentUntil     time.Time // it answers no calls until then
	runs            map[runKey]*simRun
	ended           []EndedRun
	lastEndNumber   int64
	endedAt         map[int64]time.Time // by number of the end
	leaseExpiredAt  time.Time           // last time at which its lease had expired
	leaseEnd        time.Time
	blockedAttempts map[TaskID]int // attempts up to this number are never started
}

type simRun struct {
	stopping bool // a stopping run is listed neither as active nor as ended
	endsAt   time.Time
	outcome  AttemptOutcome
	needs    setup.Resources
}

// delayedCall is an order that arrives after its sender stopped waiting. It names the worker incarnation that it is for; any
// other incarnation refuses it. docs/QUESTIONS.md asks whether that also holds if a restarted worker keeps its id.
type delayedCall struct {
	incarnation int64
	arrivesAt   time.Time
	order       Order
	token       int64
	sentAt      time.Time
}

const (
	simMilliCores = 4000
	simWorkers    = 5
	// Ends that a worker lists in one answer; more are often pending.
	simMaxListedEnds = 1
	stepTime         = 50 * time.Millisecond
)

func newSimulation(seed uint64, options Options, requests *simRequests) *simulation {
	w := &simulation{
		rng: rand.New(rand.NewPCG(seed, seed)), snapshotRNG: rand.New(rand.NewPCG(seed, 0)), now: testStart, workers: map[string]*simWorker{}, shownStates: map[string]JobState{},
		ackedDone: map[TaskID]time.Time{}, lastStart: map[TaskID]time.Time{}, cancelled: map[string]bool{}, specs: map[string]JobSpec{}, faultsOn: true,
		options: options, requests: requests,
	}
	for i := range simWorkers {
		id := fmt.Sprintf("w%d", i)
		w.workers[id] = newSimWorker(id, 1)
	}
	w.takeOver()
	return w
}

func newSimWorker(id string, incarnation int64) *simWorker {
	return &simWorker{id: id, incarnation: incarnation, runs: map[runKey]*simRun{}, endedAt: map[int64]time.Time{}, blockedAttempts: map[TaskID]int{}}
}

func (w *simulation) reportViolation(format string, args ...any) {
	w.violations = append(w.violations, w.now.Sub(testStart).String()+": "+fmt.Sprintf(format, args...))
}

// takeOver replaces the owner by a new one that replays the journal. The previous owner's unstored records are lost. In some
// cases it had just stored a snapshot, or part of one.
func (w *simulation) takeOver() {
	w.token++
	w.maybeSaveSnapshot()
	w.scheduler = New(w.options)
	for _, r := range w.journal {
		if err := w.scheduler.Replay(r); err != nil {
			w.reportViolation("replay: %v", err)
		}
	}
	w.scheduler.TakeOwnership(w.now, 0)
	w.scheduler.Configure(w.now, testConfig())
	w.listWorkers()
}

// maybeSaveSnapshot appends nothing, a whole snapshot or the beginning of one to the journal.
func (w *simulation) maybeSaveSnapshot() {
	const (
		none = iota
		whole
		partial
		kinds
	)
	kind := w.snapshotRNG.IntN(kinds)
	if kind == none {
		return
	}
	stored := New(w.options)
	for _, r := range w.journal {
		if err := stored.Replay(r); err != nil {
			w.reportViolation("replay: %v", err)
		}
	}
	snapshot := stored.Snapshot()
	if kind == partial {
		snapshot = snapshot[:w.snapshotRNG.IntN(len(snapshot))]
	}
	w.journal = append(w.journal, snapshot...)
}

func (w *simulation) listWorkers() {
	entries := map[string]WorkerEntry{}
	for id, s := range w.workers {
		entries[id] = WorkerEntry{
			ID: id, Machine: "m-" + id, Pool: "pots", DataCentre: simDataCentre(id), Labels: []string{"k", "r1"},
			Capacity: setup.Resources{CPU: simMilliCores, MemMB: 1 << 20}, Incarnation: s.incarnation,
		}
	}
	w.scheduler.UpdateWorkers(w.now, entries)
}

// step advances the simulation by stepTime.
func (w *simulation) step() {
	w.now = w.now.Add(stepTime)
	for _, id := range w.workerIDs() {
		w.advanceWorker(w.workers[id])
	}
	w.deliverDelayed()
	w.requests.step(w)
	w.scheduler.Decide(w.now)
	w.storeBatch()
	w.checkStates()
}

func (w *simulation) workerIDs() []string {
	ids := make([]string, 0, len(w.workers))
	for id := range w.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// storeBatch appends the scheduler's batch to the journal and delivers the orders. With faults on, the owner occasionally
// fails before the append, or after it but before its confirmation.
func (w *simulation) storeBatch() {
	batch := w.scheduler.TakeBatch()
	immediate := w.scheduler.TakeImmediateOrders()
	w.requests.checkRecords(w, batch.Records)
	if w.faultsOn && w.rng.IntN(400) == 0 {
		if w.rng.IntN(2) == 0 {
			w.journal = append(w.journal, batch.Records...)
		}
		w.takeOver()
		return
	}
	w.journal = append(w.journal, batch.Records...)
	w.scheduler.ConfirmStored(batch)
	for _, o := range append(immediate, batch.DeferredOrders...) {
		w.deliver(o)
	}
}

// deliver sends an order to its worker. With faults on, the order may be delayed or lost, or only its answer may be lost.
func (w *simulation) deliver(o Order) {
	if start, ok := o.(StartTask); ok && w.requests != nil && !w.scheduler.IsStartWanted(start) {
		w.scheduler.ApplyResult(w.now, StartResult{Order: start, Answer: AnswerWithdrawn})
		return
	}
	roll := 100
	if w.faultsOn {
		roll = w.rng.IntN(100)
	}
	switch {
	case roll < 2:
		delay := time.Duration(500+w.rng.IntN(6000)) * time.Millisecond
		w.delayedCalls = append(w.delayedCalls, delayedCall{w.incarnationFor(o), w.now.Add(delay), o, w.token, w.now})
		w.applyAnswer(o, nil)
	case roll < 4:
		w.applyAnswer(o, nil)
	case roll < 7:
		w.execute(o, w.token, w.now)
		w.applyAnswer(o, nil)
	default:
		w.applyAnswer(o, w.execute(o, w.token, w.now))
	}
}

func (w *simulation) deliverDelayed() {
	var rest []delayedCall
	for _, c := range w.delayedCalls {
		if w.now.Before(c.arrivesAt) {
			rest = append(rest, c)
			continue
		}
		if w.incarnationFor(c.order) == c.incarnation {
			w.execute(c.order, c.token, c.sentAt)
		}
	}
	w.delayedCalls = rest
}

// incarnationFor returns the current incarnation of the worker that an order is for.
func (w *simulation) incarnationFor(o Order) int64 {
	switch o := o.(type) {
	case StartTask:
		return w.workers[o.Worker].incarnation
	case StopTask:
		return w.workers[o.Worker].incarnation
	case PollWorker:
		return w.workers[o.Worker].incarnation
	default:
		return 0
	}
}

// applyAnswer applies the worker's answer; nil stands for no answer.
func (w *simulation) applyAnswer(o Order, answer OrderResult) {
	if answer != nil {
		w.scheduler.ApplyResult(w.now, answer)
		return
	}
	switch o := o.(type) {
	case StartTask:
		w.scheduler.ApplyResult(w.now, StartResult{Order: o, Answer: AnswerUnknown, GrantedAt: w.now})
	case StopTask:
		w.scheduler.ApplyResult(w.now, StopResult{Order: o, Answer: AnswerUnknown})
	case PollWorker:
		w.scheduler.ApplyResult(w.now, PollResult{Order: o, Answer: AnswerUnknown, SentAt: w.now, GrantedAt: w.now})
	}
}

// execute lets the worker carry out the order; it returns nil if the worker doesn't answer.
func (w *simulation) execute(o Order, token int64, sentAt time.Time) OrderResult {
	switch o := o.(type) {
	case StartTask:
		s := w.workers[o.Worker]
		if s == nil || w.now.Before(s.silentUntil) {
			return nil
		}
		return StartResult{Order: o, Answer: w.startTask(s, o, token, sentAt), GrantedAt: sentAt}
	case StopTask:
		s := w.workers[o.Worker]
		if s == nil || w.now.Before(s.silentUntil) {
			return nil
		}
		return StopResult{Order: o, Answer: w.stopTask(s, o, token)}
	case PollWorker:
		s := w.workers[o.Worker]
		if s == nil || w.now.Before(s.silentUntil) {
			return nil
		}
		return w.answerPoll(s, o, token, sentAt)
	default:
		return nil
	}
}

// isFenced reports whether the call carries an outdated fencing token; otherwise it records the token as the worker's.
func (w *simulation) isFenced(s *simWorker, token int64) bool {
	if token < s.token {
		return true
	}
	s.token = token
	return false
}

func (s *simWorker) extendLease(until time.Time) {
	if until.After(s.leaseEnd) {
		s.leaseEnd = until
	}
}

func (w *simulation) startTask(s *simWorker, o StartTask, token int64, sentAt time.Time) OrderAnswer {
	if w.isFenced(s, token) {
		return AnswerFenced
	}
	key := runKey{o.Task, o.Attempt}
	if s.runs[key] != nil {
		return AnswerOK
	}
	if w.now.After(sentAt.Add(o.Lease)) {
		return AnswerLeaseExpired
	}
	s.extendLease(sentAt.Add(o.Lease))
	if o.Attempt <= s.blockedAttempts[o.Task] {
		return AnswerSuperseded
	}
	spec := w.specs[o.Task.Job]
	needs := spec.Steps[o.Task.Step].Reservation()
	if s.usedCPU()+needs.CPU > simMilliCores {
		return AnswerNoRoom
	}
	w.checkStart(s, o, sentAt, spec)
	run := &simRun{endsAt: w.now.Add(time.Duration(300+w.rng.IntN(1500)) * time.Millisecond), needs: needs}
	if w.rng.IntN(30) == 0 {
		run.outcome = AttemptFailed
	}
	s.runs[key] = run
	w.lastStart[o.Task] = w.now
	return AnswerOK
}

// sortedRuns returns the keys of the worker's runs in a fixed order.
func (s *simWorker) sortedRuns() []runKey {
	return slices.SortedFunc(maps.Keys(s.runs), func(a, b runKey) int {
		return cmp.Or(cmp.Compare(a.task.String(), b.task.String()), cmp.Compare(a.attempt, b.attempt))
	})
}

func (s *simWorker) usedCPU() int {
	sum := 0
	for _, r := range s.runs {
		sum += r.needs.CPU
	}
	return sum
}

func (w *simulation) stopTask(s *simWorker, o StopTask, token int64) OrderAnswer {
	if w.isFenced(s, token) {
		return AnswerFenced
	}
	s.blockedAttempts[o.Task] = max(s.blockedAttempts[o.Task], o.Attempt)
	if r := s.runs[runKey{o.Task, o.Attempt}]; r != nil && !r.stopping {
		r.stopping, r.outcome = true, AttemptStopped
		r.endsAt = w.now.Add(time.Duration(w.rng.Int64N(int64(defaultStopTimeout))))
	}
	return AnswerOK
}

func (s *simWorker) finish(now time.Time, key runKey, outcome AttemptOutcome) {
	delete(s.runs, key)
	s.lastEndNumber++
	s.blockedAttempts[key.task] = max(s.blockedAttempts[key.task], key.attempt)
	s.endedAt[s.lastEndNumber] = now
	s.ended = append(s.ended, EndedRun{Number: s.lastEndNumber, Task: key.task, Attempt: key.attempt, Outcome: outcome})
}

func (w *simulation) answerPoll(s *simWorker, o PollWorker, token int64, sentAt time.Time) OrderResult {
	res := PollResult{Order: o, SentAt: sentAt, GrantedAt: sentAt, Incarnation: s.incarnation}
	if w.isFenced(s, token) {
		res.Answer = AnswerFenced
		return res
	}
	if o.Lease > 0 {
		s.extendLease(sentAt.Add(o.Lease))
	}
	var kept []EndedRun
	for _, e := range s.ended {
		if e.Number > o.AckedThrough {
			kept = append(kept, e)
			continue
		}
		if _, acked := w.ackedDone[e.Task]; e.Outcome == AttemptDone && !acked {
			w.ackedDone[e.Task] = w.now
			w.checkRestart(s, e)
		}
	}
	s.ended = kept
	res.Ended = slices.Clone(kept[:min(len(kept), simMaxListedEnds)])
	res.MoreEnds = len(res.Ended) == simMaxListedEnds
	res.Partial = res.MoreEnds
	for _, key := range s.sortedRuns() {
		if s.runs[key].stopping {
			continue
		}
		res.Active = append(res.Active, ActiveRun{Task: key.task, Attempt: key.attempt, SpeedPercent: fullSpeed, Load: -1})
	}
	return res
}

// advanceWorker ends the worker's runs that are finished or whose lease has expired.
func (w *simulation) advanceWorker(s *simWorker) {
	if w.now.After(s.leaseEnd) {
		s.leaseExpiredAt = w.now
	}
	for _, key := range s.sortedRuns() {
		r := s.runs[key]
		switch {
		case w.now.After(s.leaseEnd):
			s.finish(w.now, key, AttemptLeaseExpired)
		case w.now.After(r.endsAt):
			s.finish(w.now, key, r.outcome)
		}
	}
}
