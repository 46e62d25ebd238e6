package lead

import "time"

// loopMeter measures how long the owner's loop works between its waits.
type loopMeter struct {
	startedAt time.Time // of the present turn, zero while the loop waits
	busy      time.Duration
	longest   time.Duration
}

// works notes that a turn of the loop begins, and returns that time.
func (l *loopMeter) beginIteration(now time.Time) time.Time {
	l.startedAt = now
	return now
}

// rests notes that the turn is over.
func (l *loopMeter) endIteration(now time.Time) {
	if l.startedAt.IsZero() {
		return
	}
	took := now.Sub(l.startedAt)
	l.startedAt = time.Time{}
	l.busy += took
	l.longest = max(l.longest, took)
}

// take returns the work since the last call: all of it, and the longest turn.
func (l *loopMeter) takeTotals() (busy, longest time.Duration) {
	busy, longest = l.busy, l.longest
	l.busy, l.longest = 0, 0
	return busy, longest
}
