package segs

import "time"

const (
	// An append that is confirmed within this time never counts as stalled.
	minStall = 400 * time.Millisecond
	// An append counts as stalled only when it is older than this many times the latency of heartbeats. A log that is slow as a
	// whole takes 0.25 s to 1 s for each call, so that 4 would just do.
	stallFactor = 5
	// Bytes per second of a link of 20 Mbit/s that carries an append twice, since appends without an answer are repeated in parallel.
	slowLinkRate = 20_000_000 / 8 / 2
	// Time over which latencies of heartbeats count.
	latencyWindow = 3 * time.Second
	// A partition that has failed is set aside for this long.
	setAsideTime = 10 * time.Second
)

// IsStalled reports whether an append of the given age and size counts as stalled, so that the journal should go on elsewhere.
// isLogAlive reports whether a heartbeat that was sent after the append has been confirmed; latency is the greatest one of recent heartbeats.
func IsStalled(age time.Duration, bytes int, isLogAlive bool, latency time.Duration) bool {
	transfer := time.Duration(float64(bytes) / slowLinkRate * float64(time.Second))
	return isLogAlive && age >= max(minStall, stallFactor*latency)+transfer
}

// Latencies tracks how long the owner's heartbeats take. Times are durations since a common start. The zero value is ready.
type Latencies struct {
	inFlight map[int64]time.Duration // when they were sent, by number
	recent   []latency
	lastSent time.Duration // when the latest heartbeat that is confirmed was sent
}

// latency is how long a heartbeat took that ended at a time.
type latency struct {
	endedAt time.Duration
	took    time.Duration
}

// Sent records that a heartbeat was sent.
func (l *Latencies) Sent(number int64, at time.Duration) {
	if l.inFlight == nil {
		l.inFlight = map[int64]time.Duration{}
	}
	l.inFlight[number] = at
}

// Ended records that the call of a heartbeat has ended, and whether the heartbeat was confirmed by it.
func (l *Latencies) Ended(number int64, at time.Duration, isConfirmed bool) {
	sentAt, found := l.inFlight[number]
	if !found {
		return
	}
	delete(l.inFlight, number)
	l.recent = append(l.recent, latency{at, at - sentAt})
	for at-l.recent[0].endedAt > latencyWindow {
		l.recent = l.recent[1:]
	}
	if isConfirmed {
		l.lastSent = max(l.lastSent, sentAt)
	}
}

// IsAliveSince reports whether a heartbeat that was sent after the given time is confirmed.
func (l *Latencies) IsAliveSince(at time.Duration) bool { return l.lastSent > at }

// Greatest returns the greatest latency of the heartbeats that ended recently or are in flight.
func (l *Latencies) Greatest(now time.Duration) time.Duration {
	greatest := time.Duration(0)
	for _, sentAt := range l.inFlight {
		greatest = max(greatest, now-sentAt)
	}
	for _, r := range l.recent {
		if now-r.endedAt <= latencyWindow {
			greatest = max(greatest, r.took)
		}
	}
	return greatest
}

// Rotation chooses the partitions on which the journal goes on, in a fixed order. Times are durations since a common start.
type Rotation struct {
	parts    int
	failedAt map[int]time.Duration
}

// NewRotation returns a Rotation over the partitions from 0 to parts-1.
func NewRotation(parts int) *Rotation {
	return &Rotation{parts: parts, failedAt: map[int]time.Duration{}}
}

// Failed records that the journal could not be written on a partition.
func (r *Rotation) Failed(partition int, at time.Duration) { r.failedAt[partition] = at }

// Candidates returns all partitions in the order in which they should be tried after the current one: first those that have not failed
// lately, the current one last among them.
func (r *Rotation) Candidates(current int, now time.Duration) []int {
	var healthy, failed []int
	for i := 1; i <= r.parts; i++ {
		p := (current + i) % r.parts
		if at, found := r.failedAt[p]; found && now-at < setAsideTime {
			failed = append(failed, p)
		} else {
			healthy = append(healthy, p)
		}
	}
	return append(healthy, failed...)
}
