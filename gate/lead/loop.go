package lead

import "time"

// loopMeter measures the time that the owner's event loop spends processing events, not waiting for them.
type loopMeter struct {
	startedAt time.Time // start of the current iteration, zero while the loop waits
	total     time.Duration
	longest   time.Duration
}

// beginIteration starts an iteration of the loop and returns the given time.
func (l *loopMeter) beginIteration(now time.Time) time.Time {
	l.startedAt = now
	return now
}

// endIteration ends the current iteration, if there is one.
func (l *loopMeter) endIteration(now time.Time) {
	if l.startedAt.IsZero() {
		return
	}
	took := now.Sub(l.startedAt)
	l.startedAt = time.Time{}
	l.total += took
	l.longest = max(l.longest, took)
}

// takeTotals returns the busy time since the last call and the longest iteration, and resets both.
func (l *loopMeter) takeTotals() (busy, longest time.Duration) {
	busy, longest = l.total, l.longest
	l.total, l.longest = 0, 0
	return busy, longest
}
