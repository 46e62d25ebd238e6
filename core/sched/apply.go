package sched

import "time"

const (
	// Pause before a worker that had no room is asked again.
	fullPause = 150 * time.Millisecond
	// Pause before a worker that refused a task for its own health is asked again.
	refusedPause = time.Second
	// Orders without an answer are repeated this often before the run is stopped.
	startRetries = 2
	// Time between two looks at a worker that does not answer.
	silentLook = 300 * time.Millisecond
	stopRepeat = 400 * time.Millisecond
	// Time between the end of a stopped run and its entry in the worker's list.
	stopMargin = 200 * time.Millisecond
)

// Apply notes the outcome of an order.
func (m *Machine) Apply(now time.Time, r Report) {
	switch r := r.(type) {
	case StartReport:
		m.applyStart(now, r)
	case StopReport:
		m.applyStop(now, r)
	case HoldReport:
		m.applyHold(now, r)
	case PaceReport:
		m.applyPace(r)
	case AdviceReport:
		m.applyAdvice(now, r)
	case MoveReport:
		m.applyMove(now, r)
	case ServiceReport:
		m.applyService(now, r)
	}
}

func (m *Machine) runOf(workerID string, id TaskID, attempt int) *run {
	w, found := m.workers[workerID]
	if !found {
		return nil
	}
	return w.runs[runKey{id, attempt}]
}

func (m *Machine) applyStop(now time.Time, rep StopReport) {
	if rep.Answer == Fenced {
		m.fenced = true
		return
	}
	r := m.runOf(rep.Order.Worker, rep.Order.Task, rep.Order.Attempt)
	if r == nil {
		return
	}
	if rep.Answer == OK && !r.stopped {
		// While it stops, the worker lists it neither as active nor as ended.
		r.stopped = true
		r.settled = now.Add(m.options.StopLimit + stopMargin)
		m.lookSoon(now, r.worker)
	}
}

// stopRun tells the worker to end an attempt.
func (m *Machine) stopRun(now time.Time, r *run) {
	r.stopping, r.stopSent = true, now
	m.orderNow(StopTask{Worker: r.worker.id, Task: r.task.id(), Attempt: r.attempt})
}

// stopJob ends all attempts of a job that is cancelled or has failed.
func (m *Machine) stopJob(now time.Time, j *job) {
	if j.running == 0 {
		return
	}
	for _, round := range j.rounds {
		for _, s := range round.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					if !r.stopping {
						m.stopRun(now, r)
					}
				}
			}
		}
	}
}

// endsOfOneCall is how many ends a worker lists at most; more may wait.
const endsOfOneCall = 500
