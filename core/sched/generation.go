package sched

const (
	// Low bits of a fencing token, which number the generations of an owner's calls.
	generationBits = 24
	maxGeneration  = 1<<generationBits - 1
)

// FencingToken returns the token of a call to a worker. A worker that restarts under its id can't tell calls that were meant for its
// former incarnation, so an owner numbers the generations of its calls: a worker refuses the calls of a generation once it has received
// a call of a later one.
func FencingToken(epoch, generation int64) int64 { return epoch<<generationBits | generation }

// raiseGeneration makes the worker refuse all calls sent so far, once it has received one that is sent from now on. If the
// generations are used up, the owner must stop; the next one begins anew under its own epoch.
func (sc *Scheduler) raiseGeneration(w *worker) {
	if sc.generation == maxGeneration {
		sc.fenced = true
		return
	}
	sc.generation++
	w.generation = sc.generation
}

// barLateCalls raises the worker's generation after a call of its present one got no answer, since it may still be carried out.
func (sc *Scheduler) barLateCalls(w *worker, generation int64) {
	if generation == w.generation {
		sc.raiseGeneration(w)
	}
}

// applyFence handles that a worker has refused a call for its fencing token. If a later generation has been ordered since, the worker may
// have received that one; otherwise another owner has called it.
func (sc *Scheduler) applyFence(workerID string, generation int64) {
	latest := sc.generation
	if w, found := sc.workers[workerID]; found {
		latest = w.generation
	}
	if generation >= latest {
		sc.fenced = true
	}
}

// isPolled reports whether a poll of the present generation is in flight.
func (w *worker) isPolled() bool { return w.pollInFlight && w.polledGeneration == w.generation }

// clearUnanswered forgets the start orders without an answer that the worker refuses from now on, having received a call of the
// generation.
func (w *worker) clearUnanswered(generation int64) {
	for _, r := range w.runList {
		r.starts.clearUnanswered(generation)
	}
}
