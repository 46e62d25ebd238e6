package sched

import "time"

const (
	// When even the fastest call takes this long, the owner process is short of CPU time: it accepts no more jobs
	// beyond a team's share.
	starvedLatency = 30 * time.Millisecond
	// From this latency on, no new job could be done in useful time: only long-running and timed jobs are still accepted.
	exhaustedLatency = 250 * time.Millisecond
	// While the owner is short of CPU time, polls of a worker are further apart by this many times the call latency,
	// up to maxStarvedPollInterval.
	starvedPollFactor      = 2
	maxStarvedPollInterval = 400 * time.Millisecond

	// The latency is measured anew in each period of this length.
	latencyPeriod = 100 * time.Millisecond
	// A measured latency is dropped after this time without a new one: the owner is then idle.
	latencyMaxAge = 500 * time.Millisecond

	// Limit of the starts in flight: initially, at least, and what is added when it was reached while the owner had CPU
	// time left.
	initialStartLimit   = 256
	minStartLimit       = 32
	startLimitIncrement = 32
	// Percentage of the limit that is kept each time the owner is found to be short of CPU time.
	startLimitKeepPercent = 70

	// The throughput is updated at most this often.
	throughputPeriod = 500 * time.Millisecond
)

// latencyMeter measures the latency of the fastest call in a period, as a sign of whether the owner process has CPU
// time left. A lack of CPU time delays every call, while a slow worker delays only its own, which leaves the fastest
// call unaffected.
type latencyMeter struct {
	fastest       time.Duration // in the last complete period
	periodFastest time.Duration // in the current period, 0 if there was no answer
	periodStart   time.Time
}

// observe records the latency of an answered call, and reports whether it completed a period.
func (m *latencyMeter) observe(now time.Time, latency time.Duration) bool {
	if m.periodFastest == 0 || latency < m.periodFastest {
		m.periodFastest = latency
	}
	if now.Sub(m.periodStart) < latencyPeriod {
		return false
	}
	m.fastest, m.periodFastest, m.periodStart = m.periodFastest, 0, now
	return true
}

// expire drops a latency that is out of date.
func (m *latencyMeter) expire(now time.Time) {
	if now.Sub(m.periodStart) >= latencyMaxAge {
		m.fastest, m.periodFastest, m.periodStart = 0, 0, now
	}
}

// startWindow limits the number of starts in flight. It adapts like a congestion window, so that an owner short of CPU
// time keeps work in its queue, where it is ordered by priority and deadline, rather than in goroutines that wait.
type startWindow struct {
	limit    int // 0 means initialStartLimit
	inFlight int
	wasFull  bool // the limit was reached since the last adaptation
}

// hasSpace reports whether another start may be sent.
func (w *startWindow) hasSpace() bool {
	if w.limit == 0 {
		w.limit = initialStartLimit
	}
	if w.inFlight < w.limit {
		return true
	}
	w.wasFull = true
	return false
}

// adapt lowers the limit if the latency shows a lack of CPU time, and otherwise raises it if it was reached.
func (w *startWindow) adapt(latency time.Duration) {
	switch {
	case latency >= starvedLatency:
		w.limit = max(minStartLimit, w.limit*startLimitKeepPercent/100)
	case w.wasFull:
		w.limit += startLimitIncrement
	}
	w.wasFull = false
}

// throughputMeter measures the work that is completed.
type throughputMeter struct {
	rate        float64 // core-seconds per second, a moving average
	periodWork  float64 // core-seconds completed in the current period
	periodStart time.Time
}

// add records completed work.
func (t *throughputMeter) add(now time.Time, coreSeconds float64) {
	t.periodWork += coreSeconds
	if elapsed := now.Sub(t.periodStart); elapsed >= throughputPeriod {
		t.rate = (t.rate + t.periodWork/elapsed.Seconds()) / 2
		t.periodWork, t.periodStart = 0, now
	}
}

// CallLatency returns the latency of the fastest start order in the last measuring period. It is 0 while the owner is idle
// and high when the owner process is short of CPU time.
func (sc *Scheduler) CallLatency() time.Duration { return sc.callLatency.fastest }

// StartsInFlight returns the number of starts without an answer, and the current limit of that number.
func (sc *Scheduler) StartsInFlight() (n, limit int) {
	return sc.startWindow.inFlight, sc.startWindow.limit
}

// minPollInterval returns the least time between two polls of a worker.
func (sc *Scheduler) minPollInterval() time.Duration {
	if sc.CallLatency() < starvedLatency {
		return sc.options.MinPollInterval
	}
	return min(sc.options.MinPollInterval+starvedPollFactor*sc.CallLatency(), maxStarvedPollInterval)
}

// recordStartAnswer updates the start window and the call latency after an answer to a start. Only the first answer lowers
// the number of starts in flight.
func (sc *Scheduler) recordStartAnswer(now time.Time, r *run, res StartResult) {
	if r.starts.firstPending {
		r.starts.firstPending = false
		sc.startWindow.inFlight--
	}
	if res.Answer == AnswerOK && sc.callLatency.observe(now, res.Latency) {
		sc.startWindow.adapt(sc.CallLatency())
	}
}
