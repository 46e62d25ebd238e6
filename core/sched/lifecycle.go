package sched

import (
	"time"

	"github.com/rotisserie/eris"
)

// reset clears the state that is restored from the journal, except for the surge forecast.
func (sc *Scheduler) reset() {
	clear(sc.jobs)
	clear(sc.openJobs)
	clear(sc.waveFirstSeen)
	clear(sc.maintained)
	clear(sc.maintenanceOrders)
	clear(sc.earlyCancels)
	sc.evacuations = evacuations{}
	clear(sc.workers)
	clear(sc.teams)
	sc.jobMemory, sc.runCount = memoryMeter{}, 0
	clear(sc.pools)
	sc.workersByID, sc.poolOrder = nil, nil
}

func (sc *Scheduler) addJob(r JobAccepted) *job {
	if j, known := sc.jobs[r.Job.ID]; known {
		return j
	}
	spec := r.Job
	j := newJob(&spec, &sc.ensureTeam(spec.Team).memory)
	sc.jobs[spec.ID] = j
	if _, isCancelled := sc.earlyCancels[spec.ID]; isCancelled {
		delete(sc.earlyCancels, spec.ID)
		j.cancelled = true
	}
	if !j.isOpen() {
		return j
	}
	sc.openJobs[j] = true
	sc.ensureTeam(spec.Team).openJobs++
	if !spec.IsTimed() {
		sc.beginRound(j)
	}
	return j
}

// closeJob removes a job from the open ones that is not open any more.
func (sc *Scheduler) closeJob(j *job) {
	if sc.openJobs[j] {
		delete(sc.openJobs, j)
		sc.ensureTeam(j.spec.Team).openJobs--
	}
}

// beginRound adds the job's next round and queues the steps without dependencies.
func (sc *Scheduler) beginRound(j *job) *round {
	r := j.addRound()
	for _, s := range r.steps {
		sc.updateReadiness(s, time.Time{})
	}
	return r
}

// updateReadiness marks the step as ready if its dependencies are done, and queues it if it has waiting tasks.
func (sc *Scheduler) updateReadiness(s *step, now time.Time) {
	if !s.ready && s.areDependenciesDone() {
		s.ready, s.readyAt = true, now
	}
	sc.updateWaiting(s)
}

// updateJobReadiness updates the readiness of all steps of the job.
func (sc *Scheduler) updateJobReadiness(j *job, now time.Time) {
	for _, r := range j.rounds {
		for _, s := range r.steps {
			sc.updateReadiness(s, now)
		}
	}
}

// updateWaiting adds the step to its pool's waiting steps, or removes it if none of its tasks may be started.
func (sc *Scheduler) updateWaiting(s *step) {
	p := sc.ensurePool(sc.currentPool(s.job()))
	if s.ready && s.waitingTasks > 0 && s.job().isOpen() {
		p.waitingSteps[s] = true
		p.dirty = true
		return
	}
	delete(p.waitingSteps, s)
}

func (sc *Scheduler) cancelJob(r JobCancelled) {
	j, known := sc.jobs[r.ID]
	if !known {
		sc.earlyCancels[r.ID] = time.Time{}
		return
	}
	if j.finalState.IsFinal() {
		return
	}
	j.cancelled = true
	sc.closeJob(j)
	for _, round := range j.rounds {
		for _, s := range round.steps {
			sc.updateWaiting(s)
		}
	}
}

func (sc *Scheduler) replayTaskStarted(r TaskStarted) error {
	j, known := sc.jobs[r.Task.Job]
	if !known {
		return eris.Errorf("task %s of an unknown job", r.Task)
	}
	t := j.taskByID(r.Task)
	if t == nil {
		return eris.Errorf("task %s is not in its job", r.Task)
	}
	w := sc.ensureWorker(r.Worker)
	w.incarnation = r.Incarnation
	sc.addRun(t, w, r.Attempt).phase = runInherited
	j.started = true
	return nil
}

// addRun adds an attempt of the task to the worker, and to the counts of the step, job, team and pool.
func (sc *Scheduler) addRun(t *task, w *worker, attempt int) *run {
	s := t.step
	isSuspect := t.isSuspect()
	if t.isWaiting() {
		s.waitingTasks--
	}
	r := &run{task: t, number: attempt, worker: w, requestedSpeed: fullSpeed, reportedLoad: -1}
	t.attempts = max(t.attempts, attempt)
	t.runs = append(t.runs, r)
	t.job().memory.add(runBytes)
	s.runCount++
	s.round.runCount++
	t.job().runCount++
	if s.runsByWorker == nil {
		s.runsByWorker = map[string]int{}
	}
	s.runsByWorker[w.id]++
	w.addRun(r)
	if isSuspect {
		w.suspect = r
	}
	team := sc.ensureTeam(t.job().spec.Team)
	team.used = team.used.Add(s.spec.QuotaUsage())
	team.runCount++
	sc.runCount++
	sc.ensurePool(sc.currentPool(t.job())).runningCores[team.name] += s.spec.QuotaUsage().Cores()
	sc.updateWaiting(s)
	return r
}

func (sc *Scheduler) replayTaskEnded(r TaskEnded) {
	j, known := sc.jobs[r.Task.Job]
	if !known {
		return
	}
	if t := j.knownTask(r.Task); t != nil {
		sc.applyRunEnd(t, r, time.Time{})
	}
}

// applyRunEnd removes the ended attempt, and updates the task, its step and its job by the outcome.
func (sc *Scheduler) applyRunEnd(t *task, ended TaskEnded, now time.Time) {
	if r := t.runByAttempt(ended.Attempt); r != nil {
		sc.detachRun(r)
	}
	t.lastEndedAt = now
	if ended.Checkpoint != "" && !t.done {
		t.checkpoint = ended.Checkpoint
		sc.shareCheckpoint(t)
	}
	j := t.job()
	switch {
	case t.done:
	case ended.Outcome == AttemptDone && !t.step.spec.LongRunning:
		sc.completeTask(t, now)
	case ended.Outcome == AttemptFailed && !t.step.spec.LongRunning:
		t.failures++
		if t.failures >= max(1, j.spec.MaxAttempts) && !j.finalState.IsFinal() && !j.cancelled {
			sc.endJob(j, StateFailed, now)
		}
	default:
		sc.countCrash(t, ended.Outcome, now)
	}
	t.step.dropIfOver(t)
	j.dropRoundIfOver(t.step.round)
	sc.updateWaiting(t.step)
	sc.markPoolDirty(sc.currentPool(j))
}

// countCrash counts a worker that crashed under the task, if it ended that way, and ends the job if the task must not be started again.
func (sc *Scheduler) countCrash(t *task, outcome AttemptOutcome, now time.Time) {
	crashes := t.crashes
	if !crashes.add(outcome) {
		return
	}
	t.setCrashes(crashes)
	if j := t.job(); t.crashes.isExhausted(t.step.spec.LongRunning) && j.isOpen() {
		sc.endJob(j, StateFailed, now)
	}
}

// shareCheckpoint copies the checkpoint of a gang's task to the other tasks of the gang.
func (sc *Scheduler) shareCheckpoint(t *task) {
	if !t.step.spec.Gang {
		return
	}
	for other := range t.step.tasks() {
		other.checkpoint = t.checkpoint
	}
}

// detachRun removes an ended attempt from its worker, and from the counts of the step, job, team and pool.
func (sc *Scheduler) detachRun(r *run) {
	if r.starts.firstPending {
		sc.startWindow.inFlight--
	}
	t := r.task
	s := t.step
	for i, other := range t.runs {
		if other == r {
			t.runs = append(t.runs[:i], t.runs[i+1:]...)
			break
		}
	}
	t.job().memory.add(-runBytes)
	s.runCount--
	s.round.runCount--
	t.job().runCount--
	if s.runsByWorker[r.worker.id]--; s.runsByWorker[r.worker.id] <= 0 {
		delete(s.runsByWorker, r.worker.id)
	}
	r.worker.removeRun(r)
	team := sc.ensureTeam(t.job().spec.Team)
	team.used = team.used.Sub(s.spec.QuotaUsage())
	team.runCount--
	sc.runCount--
	sc.ensurePool(sc.currentPool(t.job())).runningCores[team.name] -= s.spec.QuotaUsage().Cores()
	if t.isWaiting() {
		s.waitingTasks++
	}
}

// completeTask marks a task as done, in a gang all tasks of the step. It queues the steps that become ready, and completes the
// job after its last round.
func (sc *Scheduler) completeTask(t *task, now time.Time) {
	s := t.step
	if s.spec.Gang {
		s.markAllDone(indexRange{Count: s.spec.Count})
	} else {
		s.markDone(t)
	}
	sc.updateAfterDone(s, now)
}

// updateAfterDone queues the steps that become ready because the step is done, and completes the job after its last round.
func (sc *Scheduler) updateAfterDone(s *step, now time.Time) {
	if !s.isDone() {
		return
	}
	r := s.round
	r.openSteps--
	for _, s := range r.steps {
		sc.updateReadiness(s, now)
	}
	if r.openSteps > 0 {
		return
	}
	j := r.job
	if j.openRounds--; j.openRounds == 0 && j.isOpen() {
		sc.endJob(j, StateCompleted, now)
	}
}

// endJob sets the job's final state and removes its steps from the queue.
func (sc *Scheduler) endJob(j *job, outcome JobState, now time.Time) {
	j.finalState = outcome
	sc.closeJob(j)
	for _, r := range j.rounds {
		for _, s := range r.steps {
			sc.updateWaiting(s)
		}
	}
	if sc.ownedSince.IsZero() {
		j.endedAt = now
	} else {
		sc.markEnded(j, now)
	}
	sc.markChanged(j)
}
