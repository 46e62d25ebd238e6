package sched

import (
	"iter"
	"time"
)

// job is an accepted job with the state of its tasks.
type job struct {
	spec        *JobSpec
	cancelled   bool
	finalState  JobState // StateQueued while the job is open
	endedAt     time.Time
	settledAt   time.Time // when it was released, see releaseEndedJobs
	started     bool      // a worker has started a task
	storedState JobState  // what clients see
	stored      bool      // the acceptance is on the journal
	rounds      []*round  // open rounds: those that have begun and are not over, in order of their numbers
	begunRounds int       // rounds begin in order of their numbers
	openRounds  int       // rounds of the spec that are not done
	runCount    int       // attempts on workers
	memory      memoryMeter
}

// newJob returns a job whose memory counts as a part of the given meter's.
func newJob(spec *JobSpec, total *memoryMeter) *job {
	j := &job{spec: spec, openRounds: spec.RoundCount(), memory: memoryMeter{total: total}}
	j.memory.add(spec.memory())
	return j
}

// isOpen reports whether tasks of the job may still be started.
func (j *job) isOpen() bool { return !j.cancelled && j.finalState == StateQueued }

// isSettled reports whether the job has ended and no attempt of it is left.
func (j *job) isSettled() bool { return !j.isOpen() && j.runCount == 0 }

// state returns the state that clients may see once all records so far are stored.
func (j *job) state() JobState {
	switch {
	case j.cancelled:
		return StateCancelled
	case j.finalState.IsFinal():
		return j.finalState
	case j.started:
		return StateInProgress
	default:
		return StateQueued
	}
}

// taskByID returns the task and creates missing rounds up to its own, or returns nil if the job has no such task or the task is over.
func (j *job) taskByID(id TaskID) *task {
	s := j.ensureStep(id)
	if s == nil {
		return nil
	}
	return s.task(id.Index)
}

// ensureStep returns the task's step and creates missing rounds up to its own, or returns nil if the job has no such task or its round is over.
func (j *job) ensureStep(id TaskID) *step {
	if !j.spec.hasTask(id) {
		return nil
	}
	for j.begunRounds <= id.Round {
		j.addRound()
	}
	return j.step(id)
}

// knownTask returns the task, or nil if the job has no such task or the task has not been needed yet or is over.
func (j *job) knownTask(id TaskID) *task {
	s := j.step(id)
	if s == nil || id.Index >= s.window.end() {
		return nil
	}
	return s.task(id.Index)
}

// step returns the step of the task, nil if the job has no such task or its round is not open.
func (j *job) step(id TaskID) *step {
	index, found := j.findRound(id.Round)
	if !found || !j.spec.hasTask(id) {
		return nil
	}
	return j.rounds[index].steps[id.Step]
}

// deadline returns when the job should be done, and the estimated time of its critical path.
func (j *job) deadline() (deadline time.Time, criticalPath time.Duration) {
	criticalPath = j.criticalPath(allSteps)
	received := j.spec.FirstReceivedMs
	if received == 0 {
		received = j.spec.AcceptedMs
	}
	slack := time.Duration(j.spec.Slack * float64(criticalPath))
	return time.UnixMilli(received).Add(slack).Add(time.Duration(j.spec.TargetMs) * time.Millisecond), criticalPath
}

// tasks yields the tasks of all open rounds, but for those that are over and those that have not been needed yet.
func (j *job) tasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, r := range j.rounds {
			for _, s := range r.steps {
				for t := range s.tasks() {
					if !yield(t) {
						return
					}
				}
			}
		}
	}
}

func allSteps(int) bool { return true }

// criticalPath returns the estimated time of the longest dependency chain over the included steps.
func (j *job) criticalPath(include func(n int) bool) time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	longest := time.Duration(0)
	for n := range j.spec.Steps {
		spec := &j.spec.Steps[n]
		ends[n] = spec.waitFor(ends, n)
		if include(n) {
			ends[n] += spec.Estimate()
		}
		longest = max(longest, ends[n])
	}
	return longest
}

// step is a group of like tasks within a round.
type step struct {
	round          *round
	number         int
	spec           *StepSpec
	window         taskWindow
	remainingTasks int  // tasks that are not done
	waitingTasks   int  // tasks that are neither running nor done
	runCount       int  // attempts on workers
	ready          bool // all dependencies are done
	readyAt        time.Time
	tickets        map[string]ticket // by worker id
	unapproved     map[string]int64  // incarnations of the workers that the policy service does not let run the step, by worker id
	advicePending  bool              // a RequestAdvice has not been answered yet
	nextAdviceAt   time.Time         // no RequestAdvice before this time
	runsByWorker   map[string]int    // attempts by worker id
	durations      durationStats
	suspects       int // tasks that have been suspected of a crash
}

// ticket is the policy service's permission for one incarnation of a worker to run a step.
type ticket struct {
	text        string
	incarnation int64
	expiresAt   time.Time
}

func newStep(r *round, n int) *step {
	s := &step{round: r, number: n, spec: &r.job.spec.Steps[n]}
	s.remainingTasks, s.waitingTasks = s.spec.Count, s.spec.Count
	return s
}

func (s *step) id() TaskID {
	return TaskID{Job: s.job().spec.ID, Round: s.round.number, Step: s.number}
}

func (s *step) job() *job { return s.round.job }

func (s *step) isDone() bool { return s.remainingTasks == 0 }

func (s *step) areDependenciesDone() bool {
	for _, dependency := range s.spec.DependsOn {
		if dependency < 0 || dependency >= len(s.round.steps) || !s.round.steps[dependency].isDone() {
			return false
		}
	}
	return true
}

// countUnavailable returns the number of tasks that are not running at full speed.
func (s *step) countUnavailable() int {
	n := s.spec.Count
	for t := range s.tasks() {
		if t.isAvailable() {
			n--
		}
	}
	return n
}

// hasWaitedSince reports whether a task waits that has not run since the given time.
func (s *step) hasWaitedSince(since time.Time) bool {
	if s.window.end() < s.spec.Count {
		return true
	}
	for t := range s.tasks() {
		if t.isWaiting() && !t.lastEndedAt.After(since) {
			return true
		}
	}
	return false
}

type task struct {
	step        *step
	index       int
	done        bool
	attempts    int // number of the last attempt
	failures    int
	crashes     crashHistory
	checkpoint  string // last saved progress
	runs        []*run
	lastEndedAt time.Time // when the last attempt ended
	avoidWorker string    // worker on which the last attempt failed
	restarts    int       // number of attempts that were stopped as overdue
	waitsSince  time.Time // since when it waits for its rack although it could start elsewhere, zero if it doesn't
}

func (t *task) id() TaskID {
	r := t.step.round
	return TaskID{Job: r.job.spec.ID, Round: r.number, Step: t.step.number, Index: t.index}
}

func (t *task) job() *job { return t.step.round.job }

func (t *task) isWaiting() bool { return !t.done && len(t.runs) == 0 }

// isAvailable reports whether an attempt of the task runs at full speed on a worker that answers and stays.
func (t *task) isAvailable() bool {
	for _, r := range t.runs {
		workerAnswers := r.worker.verified && r.worker.unanswered == 0
		if workerAnswers && r.phase == runConfirmed && r.speedPercent >= fullSpeed && !r.machineLeaving && !r.stopping {
			return true
		}
	}
	return false
}

// runsOn reports whether an attempt of the task is on the worker.
func (t *task) runsOn(w *worker) bool {
	for _, r := range t.runs {
		if r.worker == w {
			return true
		}
	}
	return false
}

func (t *task) runByAttempt(attempt int) *run {
	for _, r := range t.runs {
		if r.number == attempt {
			return r
		}
	}
	return nil
}

// fullSpeed is the speed in percent of a task that is neither throttled nor starting up.
const fullSpeed = 100

// runPhase is how much is known about the start of an attempt.
type runPhase uint8

const (
	runOrdered   runPhase = iota // its record is not stored yet, or its order not answered
	runUnknown                   // the order timed out, the attempt may or may not run
	runInherited                 // replayed from the journal, its worker has not been polled yet
	runConfirmed                 // the worker has started it
)

// run is one attempt of a task on a worker.
type run struct {
	task              *task
	number            int // attempt number, from 1
	worker            *worker
	phase             runPhase
	inherited         bool // an earlier owner started it, and this one has found it running
	starts            startOrders
	startedAt         time.Time // when the start was confirmed
	absenceValidAfter time.Time // a poll sent after this that doesn't list the run proves that the worker doesn't have it
	missingSince      time.Time // when the first answer arrived that didn't list the run while it may have been stopping
	stopping          bool      // a stop was ordered
	stopAcked         bool      // the worker has acknowledged the stop
	machineLeaving    bool      // its machine is about to be taken down or moved
	preempted         bool      // it was stopped for more urgent work
	lastStopSent      time.Time
	speedPercent      int // as last reported
	reportedLoad      int // ActiveRun.Load, -1 if unknown
	requestedSpeed    int // in percent
	throttlePending   bool
	overTargetSince   time.Time      // since when a serving task's latency exceeds its target, zero if it doesn't
	crashOutcome      AttemptOutcome // how it ends if its worker has crashed, AttemptDone if the worker has not
}

func (r *run) spec() (spec *StepSpec) { return r.task.step.spec }

// expectedEnd returns when the run should end by its estimate; a run that has not been confirmed counts as starting now.
func (r *run) expectedEnd(now time.Time) time.Time {
	if r.phase == runConfirmed {
		now = r.startedAt
	}
	return now.Add(r.spec().Estimate())
}
