package worker

import "time"

// faults is the faults of one worker that are switched on.
type faults struct {
	failsEverything bool
	late            time.Duration
	short           bool
	crossed         bool
}

// SetFault switches a fault on by a value above 0 and off by 0: paused, fails-everything, late (milliseconds), short or
// crossed; it tells whether there is such a fault.
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
		w.faults.late = time.Duration(value) * time.Millisecond
	case "short":
		w.faults.short = on
	case "crossed":
		w.faults.crossed = on
	default:
		return false
	}
	return true
}

func (w *Worker) setPaused(on bool) {
	if on == w.isPaused() {
		return
	}
	if on {
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

// awaitResume blocks while the worker is paused; it tells whether this life goes on.
func (w *Worker) awaitResume(l *life) bool {
	w.mu.Lock()
	resumed := w.resumed
	w.mu.Unlock()
	select {
	case <-resumed:
	case <-l.dead:
	}
	select {
	case <-l.dead:
		return false
	default:
		return true
	}
}
