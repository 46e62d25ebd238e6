package sched

import "time"

// job is a job with the state of its tasks.
type job struct {
	spec      *JobSpec
	cancelled bool
	outcome   State // final state, Queued while the job is open
	ended     time.Time
	begun     bool // a worker has started a task
	shown     State
	stored    bool // the acceptance is on the journal
	rounds    []*round
	open      int // rounds that are not done
	running   int
}

func newJob(spec *JobSpec) *job {
	return &job{spec: spec, open: spec.Rounds()}
}

// live tells whether tasks of the job may still be started.
func (j *job) live() bool { return !j.cancelled && j.outcome == Queued }

// state returns what callers may be told once all records so far are stored.
func (j *job) state() State {
	switch {
	case j.cancelled:
		return Cancelled
	case j.outcome.Final():
		return j.outcome
	case j.begun:
		return InProgress
	default:
		return Queued
	}
}

// addRound begins the next round; its first steps are ready at once.
func (j *job) addRound() *round {
	r := &round{job: j, number: len(j.rounds)}
	for n := range j.spec.Steps {
		r.steps = append(r.steps, newStep(r, n))
	}
	r.open = len(r.steps)
	j.rounds = append(j.rounds, r)
	return r
}

// task returns the task of that name, beginning rounds up to its own.
func (j *job) task(id TaskID) *task {
	if id.Round >= j.spec.Rounds() || id.Step >= len(j.spec.Steps) || id.Index >= j.spec.Steps[id.Step].Count {
		return nil
	}
	for len(j.rounds) <= id.Round {
		j.addRound()
	}
	return j.rounds[id.Round].steps[id.Step].tasks[id.Index]
}

// objective returns when the job should be done, and the time that its longest chain of work takes.
func (j *job) objective() (by time.Time, chain time.Duration) {
	chain = j.chain(everyStep)
	sent := j.spec.FirstSentMs
	if sent == 0 {
		sent = j.spec.AcceptedMs
	}
	slack := time.Duration(j.spec.Slack * float64(chain))
	return time.UnixMilli(sent).Add(slack).Add(time.Duration(j.spec.TargetMs) * time.Millisecond), chain
}

func everyStep(int) bool { return true }

// chain returns the longest chain of estimates over the steps that count.
func (j *job) chain(counts func(n int) bool) time.Duration {
	ends := make([]time.Duration, len(j.spec.Steps))
	longest := time.Duration(0)
	for n := range j.spec.Steps {
		spec := &j.spec.Steps[n]
		for _, before := range spec.After {
			if before < n {
				ends[n] = max(ends[n], ends[before])
			}
		}
		if counts(n) {
			ends[n] += spec.Estimate()
		}
		longest = max(longest, ends[n])
	}
	return longest
}

// round is one repetition of a job's steps.
type round struct {
	job    *job
	number int
	steps  []*step
	open   int // steps that are not done
}

// step is one step of a round.
type step struct {
	round    *round
	number   int
	spec     *StepSpec
	tasks    []*task
	undone   int
	waiting  int // tasks that neither run nor are done
	running  int
	ready    bool
	readyAt  time.Time
	tickets  map[string]ticket
	asking   bool
	askAgain time.Time
	perVM    map[string]int // runs by worker
	timing   timing
}

// ticket lets a worker run a step.
type ticket struct {
	text  string
	born  int64
	until time.Time
}

func newStep(r *round, n int) *step {
	s := &step{round: r, number: n, spec: &r.job.spec.Steps[n]}
	s.undone, s.waiting = s.spec.Count, s.spec.Count
	for i := range s.spec.Count {
		s.tasks = append(s.tasks, &task{step: s, index: i})
	}
	return s
}

func (s *step) job() *job { return s.round.job }

func (s *step) done() bool { return s.undone == 0 }

// dependenciesDone tells whether the step may begin.
func (s *step) dependenciesDone() bool {
	for _, before := range s.spec.After {
		if before < 0 || before >= len(s.round.steps) || !s.round.steps[before].done() {
			return false
		}
	}
	return true
}

// away returns how many tasks of the step are not at work.
func (s *step) away() int {
	n := 0
	for _, t := range s.tasks {
		if !t.atWork() {
			n++
		}
	}
	return n
}

// task is one task of a step.
type task struct {
	step       *step
	index      int
	done       bool
	attempts   int
	failures   int
	checkpoint string
	runs       []*run
	lastRun    time.Time
	avoid      string // worker on which the last attempt failed
	rescued    int    // how often an attempt was stopped for being overdue
}

func (t *task) id() TaskID {
	r := t.step.round
	return TaskID{Job: r.job.spec.ID, Round: r.number, Step: t.step.number, Index: t.index}
}

func (t *task) job() *job { return t.step.round.job }

func (t *task) waits() bool { return !t.done && len(t.runs) == 0 }

func (t *task) atWork() bool {
	for _, r := range t.runs {
		heard := r.worker.verified && r.worker.silent == 0
		if heard && r.phase == runConfirmed && r.percent >= fullSpeed && !r.leaving && !r.stopping {
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

func (t *task) runOf(attempt int) *run {
	for _, r := range t.runs {
		if r.attempt == attempt {
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
	task      *task
	attempt   int
	worker    *worker
	phase     runPhase
	retries   int
	underway  bool      // the order to start it was not answered yet
	began     time.Time // when the worker was known to run it
	settled   time.Time // a worker that does not list the run in an answer to a later call does not have it
	missing   time.Time // when the first look was sent whose answer did not list it, though it may be being stopped
	stopping  bool
	stopped   bool // the worker has acknowledged the stop
	leaving   bool // its machine is about to be taken away
	preempted bool // it was stopped for more urgent work
	stopSent  time.Time
	percent   int
	load      int
	paced     int // percent that was asked for
	pacing    bool
	overSince time.Time // since when a serving task is over its target
}

func (r *run) needs() (spec *StepSpec) { return r.task.step.spec }
