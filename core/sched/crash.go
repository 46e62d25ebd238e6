package sched

import (
	"strconv"
	"time"
)

const (
	// A run that had been confirmed for this long when its worker fell silent is not taken for the cause.
	crashSuspectAge = 100 * time.Millisecond
	// A task is given up after this many workers have crashed under it, if it was the only possible cause at least once.
	maxCrashes = 2
	// The same for a task that mostly ran beside others that were the cause more likely.
	maxLostWorkers = 3
	// A task is given up after it was a possible cause this often, even if there were others each time.
	maxSuspicions = 4
)

// crashHistory counts the workers that crashed while they ran a task.
type crashHistory struct {
	proven    int // no other attempt can be the cause
	suspected int // other attempts may be the cause as well
	orphaned  int // another attempt, or none, was the cause more likely
	doubtful  int // it is not known whether the attempt had started
}

// add counts the end of an attempt, and reports whether its worker had crashed.
func (c *crashHistory) add(outcome AttemptOutcome) bool {
	switch outcome {
	case AttemptCrashed:
		c.proven++
	case AttemptSuspected:
		c.suspected++
	case AttemptOrphaned:
		c.orphaned++
	case AttemptDoubtful:
		c.doubtful++
	default:
		return false
	}
	return true
}

// isSuspect reports whether the task may crash the next worker too.
func (c crashHistory) isSuspect() bool {
	return c.proven+c.suspected+c.doubtful > 0 || c.orphaned >= maxLostWorkers-1
}

// isExhausted reports whether a task with this history must not be started again. A long-running job serves its users with its other
// tasks, so that more proof is needed to end it.
func (c crashHistory) isExhausted(longRunning bool) bool {
	if longRunning {
		return c.proven >= maxCrashes
	}
	blamed := c.proven + c.suspected
	if blamed+c.doubtful >= maxSuspicions {
		return true
	}
	return c.proven > 0 && (blamed >= maxCrashes || blamed+c.orphaned >= maxLostWorkers)
}

// setCrashes sets the task's history, and counts the suspects of its step.
func (t *task) setCrashes(c crashHistory) {
	if !t.crashes.isSuspect() && c.isSuspect() {
		t.step.suspects++
	}
	t.crashes = c
}

// crashWorker ends all attempts on a worker that is known to be gone, and may have crashed.
func (sc *Scheduler) crashWorker(now time.Time, w *worker, reason string) {
	sc.recordCrash(now, w)
	sc.removeWorker(now, w, reason)
}

// recordCrash marks the runs of a worker that has ended with how they end, unless it was to leave or its machine was ordered away.
func (sc *Scheduler) recordCrash(now time.Time, w *worker) {
	if w.entry.Draining || w.cordoned {
		return
	}
	recent, suspects := w.crashSuspects()
	for _, r := range w.runList {
		r.crashOutcome = AttemptOrphaned
	}
	for _, r := range suspects {
		switch {
		case r.phase != runConfirmed:
			r.crashOutcome = AttemptDoubtful
		case len(recent) > 1:
			r.crashOutcome = AttemptSuspected
		default:
			r.crashOutcome = AttemptCrashed
		}
	}
	if len(suspects) > 0 {
		sc.ensurePool(w.entry.Pool).recordCrash(now)
		sc.logDecision(now, "worker-crashed", suspects[0].task.id().String(), w.id, strconv.Itoa(len(suspects))+" of "+strconv.Itoa(len(w.runList))+" attempts may be the cause")
	}
}

// markPossibleCrash marks the runs that may have crashed a worker whose leases have expired, if it broke off its calls. What became of
// it isn't known, so that this proves little.
func (w *worker) markPossibleCrash() {
	if !w.brokeOff {
		return
	}
	for _, r := range w.runList {
		if r.wasRecentAtSilence() {
			r.crashOutcome = AttemptDoubtful
		}
	}
}

// crashSuspects returns the runs that started just before the worker fell silent, and those among them that are the cause most likely:
// suspects of an earlier crash if there are any.
func (w *worker) crashSuspects() (recent, suspects []*run) {
	for _, r := range w.runList {
		if !r.wasRecentAtSilence() {
			continue
		}
		recent = append(recent, r)
		if r.task.crashes.isSuspect() {
			suspects = append(suspects, r)
		}
	}
	if len(suspects) == 0 {
		return recent, recent
	}
	return recent, suspects
}

// wasRecentAtSilence reports whether the run started just before its worker fell silent, as far as this owner knows. A suspect counts
// as recent while it is isolated.
func (r *run) wasRecentAtSilence() bool {
	age := crashSuspectAge
	if r.worker.suspect == r {
		age = isolationTime
	}
	switch {
	case r.phase != runConfirmed:
		return true
	case r.inherited:
		// It has outlived the change of owner.
		return false
	default:
		return r.worker.silentSince.Sub(r.startedAt) < age
	}
}

// isDoubtful reports whether the run may have crashed its worker, which answers no more.
func (r *run) isDoubtful() bool {
	return (r.worker.unanswered > 0 || !r.worker.verified) && r.wasRecentAtSilence()
}

// outcomeOfLost returns the outcome of an attempt whose worker is gone.
func (r *run) outcomeOfLost(outcome AttemptOutcome) AttemptOutcome {
	if r.crashOutcome != AttemptDone {
		return r.crashOutcome
	}
	return outcome
}
