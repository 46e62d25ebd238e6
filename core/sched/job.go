package sched

import "time"

// job is a job with the state of its tasks.
type job struct {
	spec        *JobSpec
	cancelled   bool
	finalState  JobState // final state, Queued while the job is open
	endedAt     time.Time
	started     bool // a worker has started a task
	storedState JobState
	stored      bool // the acceptance is on the journal
	rounds      []*round
	openRounds  int // rounds that are not done
	runCount    int
}

func newJob(spec *JobSpec) *job {
	return &job{spec: spec, openRounds: spec.RoundCount()}
}

// live tells whether tasks of the job may still be started.
func (j *job) isOpen() bool { return !j.cancelled && j.finalState == StateQueued }

// state returns what callers may be told once all records so far are stored.
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

// addRound begins the next round; its first steps are ready at once.
func (j *job) addRound() *round {
	r := &round{job: j, number: len(j.rounds)}
	for n := range j.spec.Steps {
		r.steps = append(r.steps, newStep(r, n))
	}
	r.openSteps = len(r.steps)
	j.rounds = append(j.rounds, r)
	return r
}

// task returns the task of that name, beginning rounds up to its own.
func (j *job) taskByID(id TaskID) *task {
	if id.Round >= j.spec.RoundCount() || id.Step >= len(j.spec.Steps) || id.Index >= j.spec.Steps[id.Step].Count {
		return nil
	}
	for len(j.rounds) <= id.Round {
		j.addRound()
	}
	return j.rounds[id.Round].steps[id.Step].tasks[id.Index]
}

// objective returns when the job should be done, and the time that its longest chain of work takes.
func (j *job) deadline() (deadline time.Time, criticalPath time.Duration) {
	criticalPath = j.criticalPath(allSteps)
	received := j.spec.FirstReceivedMs
	if received == 0 {
		received = j.spec.AcceptedMs
	}
	slack := time.Duration(j.spec.Slack * float64(criticalPath))
	return time.UnixMilli(received).Add(slack).Add(time.Duration(j.spec.TargetMs) * time.Millisecond), criticalPath
}

func allSteps(int) bool { return true }

// chain returns the longest chain of estimates over the steps that count.
func (j *job) criticalPath(include func(n int) bool) time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	longest := time.Duration(0)
	for n := range j.spec.Steps {
		spec := &j.spec.Steps[n]
		for _, dependency := range spec.DependsOn {
			if dependency < n {
				ends[n] = max(ends[n], ends[dependency])
			}
		}
		if include(n) {
			ends[n] += spec.Estimate()
		}
		longest = max(longest, ends[n])
	}
	return longest
}

// round is one repetition of a job's steps.
type round struct {
	job       *job
	number    int
	steps     []*step
	openSteps int // steps that are not done
}

// step is one step of a round.
type step struct {
	round         *round
	number        int
	spec          *StepSpec
	tasks         []*task
	tasksLeft     int
	waitingTasks  int // tasks that neither run nor are done
	runCount      int
	ready         bool
	readyAt       time.Time
	tickets       map[string]ticket
	advicePending bool
	nextAdviceAt  time.Time
	runsByWorker  map[string]int // runs by worker
	durations     durationStats
}

// ticket lets a worker run a step.
type ticket struct {
	text        string
	incarnation int64
	expiresAt   time.Time
}

func newStep(r *round, n int) *step {
	s := &step{round: r, number: n, spec: &r.job.spec.Steps[n]}
	s.tasksLeft, s.waitingTasks = s.spec.Count, s.spec.Count
	for i := range s.spec.Count {
		s.tasks = append(s.tasks, &task{step: s, index: i})
	}
	return s
}

func (s *step) job() *job { return s.round.job }

func (s *step) isDone() bool { return s.tasksLeft == 0 }

// dependenciesDone tells whether the step may begin.
func (s *step) areDependenciesDone() bool {
	for _, dependency := range s.spec.DependsOn {
		if dependency < 0 || dependency >= len(s.round.steps) || !s.round.steps[dependency].isDone() {
			return false
		}
	}
	return true
}

// away returns how many tasks of the step are not at work.
func (s *step) countUnavailable() int {
	n := 0
	for _, t := range s.tasks {
		if !t.isAvailable() {
			n++
		}
	}
	return n
}

// task is one task of a step.
type task struct {
	step        *step
	index       int
	done        bool
	attempts    int
	failures    int
	checkpoint  string
	runs        []*run
	lastRun     time.Time
	avoidWorker string // worker on which the last attempt failed
	restarts    int    // how often an attempt was stopped for being overdue
}

func (t *task) id() TaskID {
	r := t.step.round
	return TaskID{Job: r.job.spec.ID, Round: r.number, Step: t.step.number, Index: t.index}
}

func (t *task) job() *job { return t.step.round.job }

func (t *task) isWaiting() bool { return !t.done && len(t.runs) == 0 }

func (t *task) isAvailable() bool {
	for _, r := range t.runs {
		workerAnswers := r.worker.verified && r.worker.unanswered == 0
		if workerAnswers && r.phase == runConfirmed && r.speedPercent >= fullSpeed && !r.machineLeaving && !r.stopping {
			return true
		}
	}
	return false
}

// runsOn tells whether an attempt of the task is on the worker.
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

// fullSpeed is the percent of a task that is neither paced nor starting up.
const fullSpeed = 100

// runPhase is how much is known of an attempt.
type runPhase uint8

const (
	runOrdered   runPhase = iota // its record or its order is on the way
	runUnknown                   // the order had no answer
	runInherited                 // on the journal of the owner before, its worker not asked yet
	runConfirmed                 // the worker has started it
)

// run is one attempt of a task on a worker.
type run struct {
	task              *task
	number            int
	worker            *worker
	phase             runPhase
	retries           int
	startPending      bool      // the order to start it was not answered yet
	startedAt         time.Time // when the worker was known to run it
	absenceValidAfter time.Time // a worker that does not list the run in an answer to a later call does not have it
	firstMissing      time.Time // when the first look was sent whose answer did not list it, though it may be being stopped
	stopping          bool
	stopAcked         bool // the worker has acknowledged the stop
	machineLeaving    bool // its machine is about to be taken away
	preempted         bool // it was stopped for more urgent work
	lastStopSent      time.Time
	speedPercent      int
	reportedLoad      int
	requestedSpeed    int // percent that was asked for
	throttlePending   bool
	overTargetSince   time.Time // since when a serving task is over its target
}

func (r *run) spec() (spec *StepSpec) { return r.task.step.spec }
