package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// noDeadline is the deadline of calls whose sender has no reading of the worker's clock, or that renew no lease.
	noDeadline = time.Duration(0)
	// Calls without an answer arrive at most this long after they were sent.
	simMaxCallDelay = 12 * time.Second
	// Answers that are overtaken by others take at most this many steps.
	simMaxAnswerSteps = 2
	// An owner learns after at most this many steps that a call has no answer.
	simMaxTimeoutSteps = 8
	// Calls that are overtaken by others but answered in time arrive after at most this many steps.
	simMaxSlowSteps = 6
	// Steps with this estimate or more are long.
	simLongEstimateMs = 8000
)

// simCall is what a call carries besides its order, and what its sender knew of the worker's clock.
type simCall struct {
	token    int64
	deadline time.Duration // of the lease, on the clock of the life that the link read last
	sentAt   time.Time
	link     simLink
}

// simLink is what an owner knows of a worker's clock. Only answers to polls update it, since only they name the incarnation.
type simLink struct {
	incarnation int64
	clock       time.Duration // last reading
	readAt      time.Time     // when that reading arrived, zero if there is none
}

// deadline returns when a lease that begins now ends on the clock that the link has read.
func (l simLink) deadline(now time.Time, lease time.Duration) time.Duration {
	if lease <= 0 || l.readAt.IsZero() {
		return noDeadline
	}
	return l.clock + now.Sub(l.readAt) + lease
}

// simAnswer is a worker's answer to a call. Its result is nil if there is no answer.
type simAnswer struct {
	worker    string
	clock     time.Duration
	restarted bool // see showsRestart
	result    OrderResult
}

// delayedCall is a call that arrives late, at whatever life of the worker is up then.
type delayedCall struct {
	arrivesAt time.Time
	order     Order
	call      simCall
	waiting   *Scheduler // the owner that waits for the answer, nil if it has stopped waiting
}

// lateAnswer is an answer on its way; answers to later calls may overtake it.
type lateAnswer struct {
	arrivesAt time.Time
	owner     *Scheduler
	answer    simAnswer
}

// simCoverage counts what the walk is to meet.
type simCoverage struct {
	callsOfFormerLives  int // executed by a later life of the worker
	startsOfFormerLives int // the starts among them
	shortenedLeases     int // deadlines that were shortened to simHoldMax
	restartsByClock     int // answers to starts whose clock shows a restart
}

func (c *simCoverage) add(other simCoverage) {
	c.callsOfFormerLives += other.callsOfFormerLives
	c.startsOfFormerLives += other.startsOfFormerLives
	c.shortenedLeases += other.shortenedLeases
	c.restartsByClock += other.restartsByClock
}

func (c simCoverage) check(t *testing.T) {
	assert.Check(t, c.callsOfFormerLives > 0, "no worker has executed a call for its former life")
	assert.Check(t, c.startsOfFormerLives > 0, "no worker has started a task for its former life")
	assert.Check(t, c.shortenedLeases > 0, "no worker has shortened a lease")
	assert.Check(t, c.restartsByClock > 0, "no answer to a start has shown a restart")
}

// tokenOf returns the fencing token that an order is sent with.
func (w *simulation) tokenOf(o Order) int64 {
	switch o := o.(type) {
	case StartTask:
		return FencingToken(w.token, o.Generation)
	case StopTask:
		return FencingToken(w.token, o.Generation)
	case PollWorker:
		return FencingToken(w.token, o.Generation)
	default:
		return FencingToken(w.token, 0)
	}
}

// newCall returns a call that the owner sends now.
func (w *simulation) newCall(o Order) simCall {
	id, lease := workerOf(o)
	l := w.links[id]
	return simCall{token: w.tokenOf(o), deadline: l.deadline(w.now, lease), sentAt: w.now, link: l}
}

// workerOf returns the worker that an order is for, and the lease that it renews.
func workerOf(o Order) (id string, lease time.Duration) {
	switch o := o.(type) {
	case StartTask:
		return o.Worker, o.Lease
	case StopTask:
		return o.Worker, 0
	case PollWorker:
		return o.Worker, o.Lease
	default:
		return "", 0
	}
}

// deliver sends an order to its worker. With faults on, the order may be delayed or lost, or its answer may be lost or late.
func (w *simulation) deliver(o Order) {
	if start, ok := o.(StartTask); ok && !w.scheduler.IsStartWanted(start) {
		w.scheduler.ApplyResult(w.now, StartResult{Order: start, Answer: AnswerWithdrawn})
		return
	}
	id, _ := workerOf(o)
	s := w.workers[id]
	if s == nil {
		return
	}
	call := w.newCall(o)
	roll := 100
	if w.faultsOn {
		roll = w.rng.IntN(100)
	}
	switch {
	case roll < 2, roll < 35 && s.isSilent(w.now):
		w.delayedCalls = append(w.delayedCalls, delayedCall{w.now.Add(w.randomTime(500*time.Millisecond, simMaxCallDelay)), o, call, nil})
		w.failCall(o, call)
	case roll < 4, s.isSilent(w.now):
		w.failCall(o, call)
	case roll < 7:
		w.execute(s, o, call)
		w.failCall(o, call)
	case roll < 15:
		w.answerLater(w.execute(s, o, call), 1+w.rng.IntN(simMaxAnswerSteps))
	case roll < 20:
		slow := time.Duration(1+w.rng.IntN(simMaxSlowSteps)) * stepTime
		w.delayedCalls = append(w.delayedCalls, delayedCall{w.now.Add(slow), o, call, w.scheduler})
	default:
		if a := w.execute(s, o, call); !w.polls.hold(w, s, a, call) {
			w.applyAnswer(a)
		}
	}
}

// failCall lets the owner learn that a call has no answer, with faults on after a while.
func (w *simulation) failCall(o Order, call simCall) {
	steps := 0
	if w.faultsOn {
		steps = w.rng.IntN(simMaxTimeoutSteps + 1)
	}
	latency := time.Duration(steps) * stepTime
	var result OrderResult
	switch o := o.(type) {
	case StartTask:
		result = StartResult{Order: o, Answer: AnswerUnknown, GrantedAt: call.sentAt, ClockIncarnation: call.link.incarnation, Latency: latency}
	case StopTask:
		result = StopResult{Order: o, Answer: AnswerUnknown}
	case PollWorker:
		result = PollResult{Order: o, Answer: AnswerUnknown, SentAt: call.sentAt, GrantedAt: call.sentAt, ClockIncarnation: call.link.incarnation}
	}
	w.answerLater(simAnswer{result: result}, steps)
}

func (w *simulation) answerLater(a simAnswer, steps int) {
	if steps == 0 {
		w.applyAnswer(a)
		return
	}
	w.lateAnswers = append(w.lateAnswers, lateAnswer{w.now.Add(time.Duration(steps) * stepTime), w.scheduler, a})
}

// applyLateAnswers applies the answers that have arrived. An owner that has been replaced gets none.
func (w *simulation) applyLateAnswers() {
	var rest []lateAnswer
	for _, l := range w.lateAnswers {
		switch {
		case l.owner != w.scheduler:
		case w.now.Before(l.arrivesAt):
			rest = append(rest, l)
		default:
			w.applyAnswer(l.answer)
		}
	}
	w.lateAnswers = rest
}

func (w *simulation) applyAnswer(a simAnswer) {
	switch r := a.result.(type) {
	case StartResult:
		if a.restarted {
			w.coverage.restartsByClock++
		}
	case PollResult:
		if r.Answer == AnswerOK {
			w.links[a.worker] = simLink{incarnation: r.Incarnation, clock: a.clock, readAt: w.now}
		}
	}
	w.scheduler.ApplyResult(w.now, a.result)
}

// showsRestart reports whether the clock in the answer to a call is behind the reading that the sender of the call had. A later life
// has then given the answer.
func (c simCall) showsRestart(clock time.Duration) bool {
	elapsed := time.Duration(float64(c.sentAt.Sub(c.link.readAt)) * (1 - simClockLag))
	return !c.link.readAt.IsZero() && clock+time.Millisecond < c.link.clock+elapsed
}

// deliverDelayed executes the delayed calls that arrive. Those that meet a worker cut off or down are lost, or arrive later.
func (w *simulation) deliverDelayed() {
	var rest []delayedCall
	for _, c := range w.delayedCalls {
		if w.now.Before(c.arrivesAt) || !w.arrive(&c) {
			rest = append(rest, c)
		}
	}
	w.delayedCalls = rest
}

// arrive reports whether the call has reached its worker or is lost. If it goes on, its sender waits for it no longer.
func (w *simulation) arrive(c *delayedCall) bool {
	id, _ := workerOf(c.order)
	s := w.workers[id]
	isWaiting := c.waiting != nil && c.waiting == w.scheduler
	isLost := w.now.Sub(c.call.sentAt) > simMaxCallDelay
	isHeld := w.isHeld(s, c.call)
	if !isLost && !isHeld && !s.isSilent(w.now) {
		a := w.execute(s, c.order, c.call)
		if isWaiting {
			w.applyAnswer(a)
		}
		return true
	}
	if isWaiting {
		w.failCall(c.order, c.call)
	}
	c.waiting = nil
	if isLost || isHeld {
		return isLost
	}
	c.arrivesAt = s.answersAgain(w.now).Add(w.randomTime(0, 300*time.Millisecond))
	return w.rng.IntN(2) == 0
}

// isHeld reports whether a call sent before the worker's restart waits until the worker has executed one that was sent afterwards. Until
// then the new life knows no fencing token, so that the protocol has no means to refuse the call: that is an open matter, and not
// the scheduler's. SCHED_WALK_EARLY, and TestWalkWithEarlyCalls, have such calls executed at once.
func (w *simulation) isHeld(s *simWorker, call simCall) bool {
	return !w.earlyCalls && w.isEarly(s, call)
}

// isEarly reports whether a call for a former life of the worker is executed before any call that was sent to the present one.
func (w *simulation) isEarly(s *simWorker, call simCall) bool {
	return !s.reached && call.sentAt.Before(s.bornAt)
}

// execute lets the worker carry out the order.
func (w *simulation) execute(s *simWorker, o Order, call simCall) simAnswer {
	w.countCall(s, o, call)
	clock := s.clock(w.now)
	a := simAnswer{worker: s.id, clock: clock, restarted: call.showsRestart(clock)}
	switch o := o.(type) {
	case StartTask:
		a.result = StartResult{
			Order: o, Answer: w.startTask(s, o, call), GrantedAt: call.sentAt, ClockIncarnation: call.link.incarnation,
			Restarted: a.restarted, Latency: w.now.Sub(call.sentAt),
		}
	case StopTask:
		a.result = StopResult{Order: o, Answer: w.stopTask(s, o, call)}
	case PollWorker:
		a.result = w.answerPoll(s, o, call)
	}
	return a
}

// countCall records whether the worker executes a call for its present life or for a former one.
func (w *simulation) countCall(s *simWorker, o Order, call simCall) {
	if !call.sentAt.Before(s.bornAt) {
		s.reached = true
		return
	}
	w.coverage.callsOfFormerLives++
	if _, ok := o.(StartTask); ok {
		w.coverage.startsOfFormerLives++
	}
}
