package sched

import "time"

const (
	// The owner is strained when even its quickest orders take this long: it has no processor time left for jobs beyond
	// a team's share.
	strained = 30 * time.Millisecond
	// From here on it could not serve any new job in useful time.
	exhausted = 250 * time.Millisecond
	// Looks at workers are further apart by this many times the strain, up to the most.
	strainSpacing  = 2
	mostEndsGather = 400 * time.Millisecond

	strainPeriod = 100 * time.Millisecond
	// The owner is at rest when no order was answered for this long.
	strainRest = 500 * time.Millisecond

	// Starts that may be on their way at once: at first, at least, and by how many more while the owner is not strained.
	firstStarts  = 256
	leastStarts  = 32
	startsGrowth = 32
	// Percent of them that are left when the owner is strained.
	startsCut = 70

	flowPeriod = 500 * time.Millisecond
)

// strainMeter tells from the orders that were answered whether the owner has processor time left. What slows the owner
// down slows every order down, while a slow worker slows its own, so that the quickest order of a while tells.
type strainMeter struct {
	strain   time.Duration
	quickest time.Duration // since the period began, 0 if none was answered
	began    time.Time
}

// answered notes that an order was answered after that time, and tells whether the strain is known anew.
func (s *strainMeter) answered(now time.Time, took time.Duration) bool {
	if s.quickest == 0 || took < s.quickest {
		s.quickest = took
	}
	if now.Sub(s.began) < strainPeriod {
		return false
	}
	s.strain, s.quickest, s.began = s.quickest, 0, now
	return true
}

// rest forgets the strain of orders that were answered long ago.
func (s *strainMeter) rest(now time.Time) {
	if now.Sub(s.began) >= strainRest {
		s.strain, s.quickest, s.began = 0, 0, now
	}
}

// startWindow bounds how many starts are on their way at once, so that a strained owner leaves work in its queue, where it
// is ordered by what matters, rather than among its goroutines.
type startWindow struct {
	most  int // 0 for as many as at first
	given int
	bound bool // it was full since it was last adapted
}

// open tells whether another start may be given.
func (w *startWindow) open() bool {
	if w.most == 0 {
		w.most = firstStarts
	}
	if w.given < w.most {
		return true
	}
	w.bound = true
	return false
}

// adapt narrows the window while the owner is strained, and widens it if it was full otherwise.
func (w *startWindow) adapt(strain time.Duration) {
	switch {
	case strain >= strained:
		w.most = max(leastStarts, w.most*startsCut/100)
	case w.bound:
		w.most += startsGrowth
	}
	w.bound = false
}

// flowMeter measures the work that ends well.
type flowMeter struct {
	rate  float64 // core-seconds in a second
	work  float64 // core-seconds since the period began
	began time.Time
}

// add notes work that ended.
func (f *flowMeter) add(now time.Time, coreSeconds float64) {
	f.work += coreSeconds
	if lasted := now.Sub(f.began); lasted >= flowPeriod {
		f.rate = (f.rate + f.work/lasted.Seconds()) / 2
		f.work, f.began = 0, now
	}
}

// Strain returns how long the quickest of the last orders took.
func (sc *Scheduler) Strain() time.Duration { return sc.strain.strain }

// StartsUnderWay returns how many starts have no answer yet, and how many may be under way at once.
func (sc *Scheduler) StartsUnderWay() (n, most int) { return sc.window.given, sc.window.most }

// endsGather returns the least time between two looks at a worker.
func (sc *Scheduler) endsGather() time.Duration {
	if sc.Strain() < strained {
		return sc.options.MinPollInterval
	}
	return min(sc.options.MinPollInterval+strainSpacing*sc.Strain(), mostEndsGather)
}

// noteAnswer notes that the order to start an attempt was answered for the first time.
func (sc *Scheduler) noteAnswer(now time.Time, r *run, rep StartResult) {
	if r.startPending {
		r.startPending = false
		sc.window.given--
	}
	if rep.Answer == AnswerOK && sc.strain.answered(now, rep.Latency) {
		sc.window.adapt(sc.Strain())
	}
}
