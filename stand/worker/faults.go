package worker

import "time"

// faults holds the injected faults of one worker.
type faults struct {
	failsEverything  bool
	answerDelay      time.Duration
	truncatesAnswers bool
	swapsAnswers     bool
}

// SetFault switches a fault on (value above 0) or off (0): paused, fails-everything, late (value is the delay in ms), short
// (truncated body) or crossed (another request's answer). It reports whether such a fault exists.
func (w *Worker) SetFault(name string, value int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	on := value > 0
	switch name {
	case "paused":
		w.setPaused(on)
	case "fails-everything":
		w.faults.failsEverything = on
	case "late":
		w.faults.answerDelay = time.Duration(value) * time.Millisecond
	case "short":
		w.faults.truncatesAnswers = on
	case "crossed":
		w.faults.swapsAnswers = on
	default:
		return false
	}
	return true
}

func (w *Worker) setPaused(paused bool) {
	if paused == w.isPaused() {
		return
	}
	if paused {
		w.resumed = make(chan struct{})
		return
	}
	close(w.resumed)
}

func (w *Worker) isPaused() bool {
	select {
	case <-w.resumed:
		return false
	default:
		return true
	}
}

func (w *Worker) currentFaults() faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// awaitResume blocks while the worker is paused, and reports whether the session is still open.
func (w *Worker) awaitResume(s *session) bool {
	w.mu.Lock()
	resumed := w.resumed
	w.mu.Unlock()
	select {
	case <-resumed:
	case <-s.closed:
	}
	select {
	case <-s.closed:
		return false
	default:
		return true
	}
}
