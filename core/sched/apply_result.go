package sched

import "time"

const (
	// Pause before new tasks are ordered on a worker that had no room.
	noRoomBackoff = 150 * time.Millisecond
	// Pause before the next order to a worker that refused a start because of its own state, or to a machine that refused one.
	refusalBackoff = time.Second
	// A call that fails after less than this has not timed out.
	callTimeout = 400 * time.Millisecond
	// Start orders without an answer are repeated this often before the attempt is stopped.
	maxStartRetries = 2
	// Time between two polls of a worker that does not answer.
	silentPollInterval = 300 * time.Millisecond
	// Time after which a stop without an answer is sent again.
	stopRetryInterval = 400 * time.Millisecond
	// Upper bound for the time between the end of a stopped run and its entry in the worker's list of ends.
	stopListingDelay = 200 * time.Millisecond
)

// ApplyResult updates the state by the outcome of an order. Results of unknown workers or attempts are ignored.
func (sc *Scheduler) ApplyResult(now time.Time, r OrderResult) {
	switch r := r.(type) {
	case StartResult:
		sc.applyStartResult(now, r)
	case StopResult:
		sc.applyStopResult(now, r)
	case PollResult:
		sc.applyPollResult(now, r)
	case ThrottleResult:
		sc.applyThrottleResult(r)
	case AdviceResult:
		sc.applyAdviceResult(now, r)
	case MoveResult:
		sc.applyMoveResult(now, r)
	case MaintenanceResult:
		sc.applyMaintenanceResult(now, r)
	}
}

func (sc *Scheduler) findRun(workerID string, id TaskID, attempt int) *run {
	w, found := sc.workers[workerID]
	if !found {
		return nil
	}
	return w.runs[runKey{id, attempt}]
}

func (sc *Scheduler) applyStopResult(now time.Time, res StopResult) {
	if res.Answer == AnswerFenced {
		sc.applyFence(res.Order.Worker, res.Order.Generation)
		return
	}
	r := sc.findRun(res.Order.Worker, res.Order.Task, res.Order.Attempt)
	if r == nil {
		return
	}
	if res.Answer == AnswerOK && !r.stopAcked && res.Order.Generation == r.worker.generation {
		// While the worker stops the run, it lists it neither as active nor as ended.
		r.stopAcked = true
		r.absenceValidAfter = now.Add(sc.options.stopBound())
		sc.pollSoon(now, r.worker)
	}
}

// stopRun orders the worker to end an attempt.
func (sc *Scheduler) stopRun(now time.Time, r *run) {
	r.stopping, r.lastStopSent = true, now
	sc.orderStop(r.worker, r.task.id(), r.number)
}

func (sc *Scheduler) orderStop(w *worker, id TaskID, attempt int) {
	sc.orderImmediately(StopTask{Worker: w.id, Task: id, Attempt: attempt, Generation: w.generation})
}

// stopRuns stops the remaining runs of a task.
func (sc *Scheduler) stopRuns(now time.Time, t *task) {
	for _, r := range t.runs {
		if !r.stopping {
			sc.stopRun(now, r)
		}
	}
}

// stopJob orders a stop for all attempts of a job that is cancelled or has failed.
func (sc *Scheduler) stopJob(now time.Time, j *job) {
	if j.runCount == 0 {
		return
	}
	for t := range j.tasks() {
		sc.stopRuns(now, t)
	}
}
