package sched

import (
	"time"

	"github.com/rotisserie/eris"
)

// reset forgets all state that comes from the journal.
func (m *Machine) reset() {
	clear(m.jobs)
	clear(m.open)
	clear(m.waveSeen)
	clear(m.served)
	clear(m.inService)
	clear(m.early)
	clear(m.workers)
	clear(m.teams)
	clear(m.pools)
	m.byID, m.poolOrder = nil, nil
}

func (m *Machine) foldAccepted(r JobAccepted) *job {
	if j, known := m.jobs[r.Job.ID]; known {
		return j
	}
	spec := r.Job
	j := newJob(&spec)
	m.jobs[spec.ID] = j
	if m.early[spec.ID] {
		delete(m.early, spec.ID)
		j.cancelled = true
	}
	if !j.live() {
		return j
	}
	m.open[j] = true
	if !spec.Timed() {
		m.beginRound(j)
	}
	return j
}

// beginRound adds the job's next round and makes its first steps wait for workers.
func (m *Machine) beginRound(j *job) {
	for _, s := range j.addRound().steps {
		m.prepare(s, time.Time{})
	}
}

// prepare makes a step wait for workers if its dependencies are done.
func (m *Machine) prepare(s *step, now time.Time) {
	if !s.ready && s.dependenciesDone() {
		s.ready, s.readyAt = true, now
	}
	m.queue(s)
}

// queue keeps the step among those that wait for workers, or takes it out.
func (m *Machine) queue(s *step) {
	p := m.poolOf(m.poolNameOf(s.job()))
	if s.ready && s.waiting > 0 && s.job().live() {
		p.waiting[s] = true
		p.dirty = true
		return
	}
	delete(p.waiting, s)
}

func (m *Machine) foldCancelled(r JobCancelled) {
	j, known := m.jobs[r.ID]
	if !known {
		m.early[r.ID] = true
		return
	}
	if j.outcome.Final() {
		return
	}
	j.cancelled = true
	delete(m.open, j)
	for _, round := range j.rounds {
		for _, s := range round.steps {
			m.queue(s)
		}
	}
}

func (m *Machine) foldStarted(r TaskStarted) error {
	j, known := m.jobs[r.Task.Job]
	if !known {
		return eris.Errorf("task %s of an unknown job", r.Task)
	}
	t := j.task(r.Task)
	if t == nil {
		return eris.Errorf("task %s is not in its job", r.Task)
	}
	w := m.workerOf(r.Worker)
	w.born = r.Born
	m.start(t, w, r.Attempt).phase = runInherited
	j.begun = true
	return nil
}

// start notes an attempt on the worker.
func (m *Machine) start(t *task, w *worker, attempt int) *run {
	s := t.step
	if t.waits() {
		s.waiting--
	}
	r := &run{task: t, attempt: attempt, worker: w, paced: fullSpeed, load: -1}
	t.attempts = max(t.attempts, attempt)
	t.runs = append(t.runs, r)
	s.running++
	t.job().running++
	if s.perVM == nil {
		s.perVM = map[string]int{}
	}
	s.perVM[w.id]++
	w.add(r)
	team := m.teamOf(t.job().spec.Team)
	team.used = team.used.Plus(s.spec.Uses())
	m.poolOf(m.poolNameOf(t.job())).running[team.name] += s.spec.Uses().Cores()
	m.queue(s)
	return r
}

func (m *Machine) foldEnded(r TaskEnded) {
	j, known := m.jobs[r.Task.Job]
	if !known {
		return
	}
	if t := j.task(r.Task); t != nil {
		m.end(t, r, time.Time{})
	}
}

// end notes how an attempt ended, and what follows for its step and job.
func (m *Machine) end(t *task, e TaskEnded, now time.Time) {
	if r := t.runOf(e.Attempt); r != nil {
		m.drop(r)
	}
	t.lastRun = now
	if e.Checkpoint != "" && !t.done {
		t.checkpoint = e.Checkpoint
		m.shareCheckpoint(t)
	}
	j := t.job()
	switch {
	case t.done:
	case e.Ending == Done && !t.step.spec.Lasting:
		m.finish(t, now)
	case e.Ending == Faulted && !t.step.spec.Lasting:
		t.failures++
		if t.failures >= max(1, j.spec.MaxAttempts) && !j.outcome.Final() && !j.cancelled {
			m.conclude(j, Failed, now)
		}
	}
	m.queue(t.step)
	m.wake(m.poolNameOf(j))
}

// shareCheckpoint gives the progress of a gang's member to all members.
func (m *Machine) shareCheckpoint(t *task) {
	if !t.step.spec.Gang {
		return
	}
	for _, other := range t.step.tasks {
		other.checkpoint = t.checkpoint
	}
}

// drop takes an attempt that has ended off its worker.
func (m *Machine) drop(r *run) {
	if r.underway {
		m.window.given--
	}
	t := r.task
	s := t.step
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	s.running--
	t.job().running--
	if s.perVM[r.worker.id]--; s.perVM[r.worker.id] <= 0 {
		delete(s.perVM, r.worker.id)
	}
	r.worker.remove(r)
	team := m.teamOf(t.job().spec.Team)
	team.used = team.used.Minus(s.spec.Uses())
	m.poolOf(m.poolNameOf(t.job())).running[team.name] -= s.spec.Uses().Cores()
	if t.waits() {
		s.waiting++
	}
}

// finish notes that a task is done; the end of one member of a gang stands for all.
func (m *Machine) finish(t *task, now time.Time) {
	tasks := []*task{t}
	if t.step.spec.Gang {
		tasks = t.step.tasks
	}
	for _, t := range tasks {
		if t.done {
			continue
		}
		if t.waits() {
			t.step.waiting--
		}
		t.done = true
		t.step.undone--
	}
	if !t.step.done() {
		return
	}
	r := t.step.round
	r.open--
	for _, s := range r.steps {
		m.prepare(s, now)
	}
	if r.open > 0 {
		return
	}
	j := r.job
	if j.open--; j.open == 0 && j.live() {
		m.conclude(j, Completed, now)
	}
}

// conclude gives the job its final state.
func (m *Machine) conclude(j *job, outcome State, now time.Time) {
	j.outcome, j.ended = outcome, now
	delete(m.open, j)
	for _, r := range j.rounds {
		for _, s := range r.steps {
			m.queue(s)
		}
	}
	if !m.begun.IsZero() {
		m.finished = append(m.finished, j)
	}
	m.touch(j)
}
