package sched

import "time"

const (
	// The owner is strained when even its quickest orders take this long: it has no processor time left for jobs beyond
	// a team's share.
	starvedLatency = 30 * time.Millisecond
	// From here on it could not serve any new job in useful time.
	exhaustedLatency = 250 * time.Millisecond
	// Looks at workers are further apart by this many times the strain, up to the most.
	starvedPollFactor = 2
	maxPollInterval   = 400 * time.Millisecond

	latencyPeriod = 100 * time.Millisecond
	// The owner is at rest when no order was answered for this long.
	latencyMaxAge = 500 * time.Millisecond

	// Starts that may be on their way at once: at first, at least, and by how many more while the owner is not strained.
	initialStartLimit   = 256
	minStartLimit       = 32
	startLimitIncrement = 32
	// Percent of them that are left when the owner is strained.
	startLimitKeepPercent = 70

	throughputPeriod = 500 * time.Millisecond
)

// strainMeter tells from the orders that were answered whether the owner has processor time left. What slows the owner
// down slows every order down, while a slow worker slows its own, so that the quickest order of a while tells.
type latencyMeter struct {
	fastest       time.Duration
	periodFastest time.Duration // since the period began, 0 if none was answered
	periodStart   time.Time
}

// answered notes that an order was answered after that time, and tells whether the strain is known anew.
func (s *latencyMeter) observe(now time.Time, took time.Duration) bool {
	if s.periodFastest == 0 || took < s.periodFastest {
		s.periodFastest = took
	}
	if now.Sub(s.periodStart) < latencyPeriod {
		return false
	}
	s.fastest, s.periodFastest, s.periodStart = s.periodFastest, 0, now
	return true
}

// rest forgets the strain of orders that were answered long ago.
func (s *latencyMeter) expire(now time.Time) {
	if now.Sub(s.periodStart) >= latencyMaxAge {
		s.fastest, s.periodFastest, s.periodStart = 0, 0, now
	}
}

// startWindow bounds how many starts are on their way at once, so that a strained owner leaves work in its queue, where it
// is ordered by what matters, rather than among its goroutines.
type startWindow struct {
	limit    int // 0 for as many as at first
	inFlight int
	wasFull  bool // it was full since it was last adapted
}

// open tells whether another start may be given.
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

// adapt narrows the window while the owner is strained, and widens it if it was full otherwise.
func (w *startWindow) adapt(latency time.Duration) {
	switch {
	case latency >= starvedLatency:
		w.limit = max(minStartLimit, w.limit*startLimitKeepPercent/100)
	case w.wasFull:
		w.limit += startLimitIncrement
	}
	w.wasFull = false
}

// flowMeter measures the work that ends well.
type throughputMeter struct {
	rate        float64 // core-seconds in a second
	periodWork  float64 // core-seconds since the period began
	periodStart time.Time
}

// add notes work that ended.
func (f *throughputMeter) add(now time.Time, coreSeconds float64) {
	f.periodWork += coreSeconds
	if lasted := now.Sub(f.periodStart); lasted >= throughputPeriod {
		f.rate = (f.rate + f.periodWork/lasted.Seconds()) / 2
		f.periodWork, f.periodStart = 0, now
	}
}

// CallLatency returns how long the quickest of the last orders took.
func (sc *Scheduler) CallLatency() time.Duration { return sc.strain.fastest }

// StartsInFlight returns how many starts have no answer yet, and how many may be under way at once.
func (sc *Scheduler) StartsInFlight() (n, limit int) { return sc.window.inFlight, sc.window.limit }

// endsGather returns the least time between two looks at a worker.
func (sc *Scheduler) pollInterval() time.Duration {
	if sc.CallLatency() < starvedLatency {
		return sc.options.MinPollInterval
	}
	return min(sc.options.MinPollInterval+starvedPollFactor*sc.CallLatency(), maxPollInterval)
}

// noteAnswer notes that the order to start an attempt was answered for the first time.
func (sc *Scheduler) noteStartAnswer(now time.Time, r *run, res StartResult) {
	if r.startPending {
		r.startPending = false
		sc.window.inFlight--
	}
	if res.Answer == AnswerOK && sc.strain.observe(now, res.Latency) {
		sc.window.adapt(sc.CallLatency())
	}
}
