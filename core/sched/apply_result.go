package sched

import "time"

const (
	// Pause before a worker that had no room is asked again.
	noRoomBackoff = 150 * time.Millisecond
	// Pause before a worker that refused a task for its own health is asked again.
	refusalBackoff = time.Second
	// Orders without an answer are repeated this often before the run is stopped.
	maxStartRetries = 2
	// Time between two looks at a worker that does not answer.
	silentPollInterval = 300 * time.Millisecond
	stopRetryInterval  = 400 * time.Millisecond
	// Time between the end of a stopped run and its entry in the worker's list.
	stopListingDelay = 200 * time.Millisecond
)

// Apply notes the outcome of an order.
func (sc *Scheduler) ApplyResult(now time.Time, r OrderResult) {
	switch r := r.(type) {
	case StartResult:
		sc.applyStart(now, r)
	case StopResult:
		sc.applyStopResult(now, r)
	case PollResult:
		sc.applyPoll(now, r)
	case ThrottleResult:
		sc.applyThrottle(r)
	case AdviceResult:
		sc.applyAdvice(now, r)
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
		sc.fenced = true
		return
	}
	r := sc.findRun(res.Order.Worker, res.Order.Task, res.Order.Attempt)
	if r == nil {
		return
	}
	if res.Answer == AnswerOK && !r.stopAcked {
		// While it stops, the worker lists it neither as active nor as ended.
		r.stopAcked = true
		r.absenceValidAfter = now.Add(sc.options.StopTimeout + stopListingDelay)
		sc.pollSoon(now, r.worker)
	}
}

// stopRun tells the worker to end an attempt.
func (sc *Scheduler) stopRun(now time.Time, r *run) {
	r.stopping, r.lastStopSent = true, now
	sc.orderImmediately(StopTask{Worker: r.worker.id, Task: r.task.id(), Attempt: r.number})
}

// stopJob ends all attempts of a job that is cancelled or has failed.
func (sc *Scheduler) stopJob(now time.Time, j *job) {
	if j.runCount == 0 {
		return
	}
	for _, round := range j.rounds {
		for _, s := range round.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					if !r.stopping {
						sc.stopRun(now, r)
					}
				}
			}
		}
	}
}

// endsOfOneCall is how many ends a worker lists at most; more may wait.
const maxEndsPerPoll = 500
