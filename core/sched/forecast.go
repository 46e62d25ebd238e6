package sched

import (
	"maps"
	"slices"
	"time"
)

const (
	// Arrivals of this time tell the rate at which work comes.
	rateWindow  = 800 * time.Millisecond
	rateBuckets = 8
	// Arrivals of so many buckets, the present one among them, tell how a turn's work grows.
	historyBuckets  = 22
	minTrendBuckets = 8 // at least
	// Machines that are told to move now are of use after this time.
	provisioningDelay = 2200 * time.Millisecond
	// Work grows no higher than this many times the mean of a turn.
	maxGrowthFactor = 1.6
	// Buckets that tell whether a turn begins.
	onsetBuckets = 5
	// A turn begins with so many jobs in these buckets, and more work than this share of what the pool's first machines
	// can do.
	onsetMinJobs = 3
	onsetMinLoad = 0.3
	// A turn is over when work comes slower than this share of its peak.
	surgeEndShare = 0.15
	// Mean of a pool's first turn, as a share of what its first machines can do.
	defaultPeakFactor = 1.25
	// Turns begin as machines are moved this long before.
	forecastLead = 1800 * time.Millisecond
	// A turn that was forecast and did not come is given up after this time.
	missedSurgeTimeout = time.Second
	// Turns are no shorter than this; a break in a turn does not end it.
	minSurgeDuration = 2 * time.Second
	// Work that comes this soon after a turn's beginning belongs to it, though its owner changed meanwhile.
	sameSurgeWindow = 6 * time.Second
	// Weight of a new turn's peak against those before.
	peakWeight = 0.6
	// Without any call of a caller for this long no turn is expected.
	callerIdleTimeout = 1500 * time.Millisecond
	// The time between two turns of a pool belongs to the cycle if it differs from it, or from a multiple, by less than
	// this share.
	cycleTolerance = 0.2
)

// turnPlan forecasts each pool's demand: pools have turns of high demand, one after the other, again and again.
type surgeForecast struct {
	pools          map[string]*poolTrend
	cycle          time.Duration // time between two turns of a pool, 0 until one had two
	candidateCycle time.Duration // the last time between two turns that did not belong to the cycle
	lastCall       time.Time     // when a caller last handed a job in
}

// poolTrend is how much work came to a pool lately, and what is known of its turns.
type poolTrend struct {
	workBuckets   [historyBuckets]float64 // core-seconds
	jobBuckets    [historyBuckets]int
	currentBucket int64
	baseCores     float64   // cores of the machines that the pool had at first
	peakRate      float64   // core-seconds in a second of its turns, 0 if none was seen
	surgeWork     float64   // core-seconds that came in the present turn
	surgeStart    time.Time // start of the present or last turn
	inSurge       bool
	startMissed   bool      // the present turn was not seen from its beginning
	surplusSince  time.Time // since when the pool has more machines than it needs
	unsaved       bool      // something that a later owner should know
	hasHadJobs    bool      // a job has come
}

func (p *surgeForecast) trend(pool string) *poolTrend {
	if p.pools == nil {
		p.pools = map[string]*poolTrend{}
	}
	t, found := p.pools[pool]
	if !found {
		t = &poolTrend{}
		p.pools[pool] = t
	}
	return t
}

const bucketMillis = int64(rateWindow / time.Millisecond / rateBuckets)

// advance empties the buckets whose time is over.
func (t *poolTrend) advanceTo(now time.Time) {
	bucket := now.UnixMilli() / bucketMillis
	if bucket-t.currentBucket > historyBuckets {
		t.workBuckets, t.jobBuckets, t.currentBucket = [historyBuckets]float64{}, [historyBuckets]int{}, bucket
	}
	for t.currentBucket < bucket {
		t.currentBucket++
		t.workBuckets[t.currentBucket%historyBuckets], t.jobBuckets[t.currentBucket%historyBuckets] = 0, 0
	}
}

// rateOf returns the core-seconds that arrive in a second, from that many of the last buckets.
func (t *poolTrend) rateOver(now time.Time, buckets int64) float64 {
	t.advanceTo(now)
	sum := 0.0
	for i := range buckets {
		sum += t.workBuckets[(t.currentBucket-i)%historyBuckets]
	}
	return sum / (float64(buckets*bucketMillis) / float64(time.Second/time.Millisecond))
}

// rate returns the core-seconds that arrive in a second.
func (t *poolTrend) arrivalRate(now time.Time) float64 { return t.rateOver(now, rateBuckets) }

// arrived notes that a job came.
func (p *surgeForecast) recordArrival(now time.Time, pool string, coreSeconds float64) {
	t := p.trend(pool)
	p.lastCall, t.hasHadJobs = now, true
	t.advanceTo(now)
	t.workBuckets[t.currentBucket%historyBuckets] += coreSeconds
	t.jobBuckets[t.currentBucket%historyBuckets]++
	t.surgeWork += coreSeconds
}

// expect returns the cores that the pool's work will need when machines that are moved now have arrived; the pool has
// the given cores.
func (p *surgeForecast) forecastCores(now time.Time, pool string, cores float64) float64 {
	t := p.trend(pool)
	if t.surgeStart.IsZero() && t.surgeWork == 0 && cores > t.baseCores {
		// A large fleet is listed over some seconds.
		t.baseCores, t.unsaved = cores, true
	}
	p.detectSurge(now, t)
	rate := t.arrivalRate(now)
	switch {
	case t.inSurge:
		return max(rate, p.expectedPeakRate(t), min(t.extrapolatedRate(now), maxGrowthFactor*p.expectedPeakRate(t)))
	case p.isSurgeDue(now, t):
		return max(rate, p.expectedPeakRate(t))
	default:
		return rate
	}
}

// ramp returns the core-seconds that will arrive in a second when machines that are moved now are of use, if work goes on
// growing as it did: by the line of least squares through the buckets of the present turn.
func (t *poolTrend) extrapolatedRate(now time.Time) float64 {
	t.advanceTo(now)
	n := min(int64(historyBuckets-1), now.Sub(t.surgeStart).Milliseconds()/bucketMillis)
	if n < minTrendBuckets {
		return 0
	}
	middle, mean, slope, spread := float64(n+1)/2, 0.0, 0.0, 0.0
	for i := int64(1); i <= n; i++ {
		work, age := t.workBuckets[(t.currentBucket-i)%historyBuckets], float64(i)
		mean += work / float64(n)
		slope += (middle - age) * work
		spread += (middle - age) * (middle - age)
	}
	ahead := middle + float64(provisioningDelay.Milliseconds()/bucketMillis)
	return (mean + slope/spread*ahead) / time.Duration(bucketMillis*int64(time.Millisecond)).Seconds()
}

// height returns how high the pool's turns are expected to be: a first one as high as those of other pools of its size.
func (p *surgeForecast) expectedPeakRate(t *poolTrend) float64 {
	if t.peakRate > 0 {
		return t.peakRate
	}
	share := defaultPeakFactor
	for _, other := range p.pools {
		if other.baseCores > 0 {
			share = max(share, other.peakRate/other.baseCores)
		}
	}
	return t.baseCores * share
}

// watch notes the beginning and the end of turns.
func (p *surgeForecast) detectSurge(now time.Time, t *poolTrend) {
	rate := t.arrivalRate(now)
	lasted := now.Sub(t.surgeStart)
	switch {
	case !t.inSurge && !t.surgeStart.IsZero() && lasted < sameSurgeWindow && t.isSurgeStarting(now):
		t.inSurge, t.startMissed = true, true
	case !t.inSurge && t.isSurgeStarting(now):
		if !t.surgeStart.IsZero() {
			p.learnCycle(lasted)
		}
		t.inSurge, t.startMissed, t.surgeStart, t.surgeWork, t.unsaved = true, false, now, 0, true
	case t.inSurge && lasted >= minSurgeDuration && rate < surgeEndShare*max(t.meanRate(now), p.expectedPeakRate(t)):
		t.inSurge = false
		t.learnPeak(now)
	}
}

// learnCycle takes over the time between two turns of a pool. Turns may have been missed in an outage, and a burst may look
// like a turn: what does not belong to the cycle counts only when it is seen twice.
func (p *surgeForecast) learnCycle(between time.Duration) {
	surges := time.Duration(1)
	if p.cycle > 0 {
		surges = max(1, (between+p.cycle/2)/p.cycle)
	}
	switch interval := between / surges; {
	case p.cycle == 0 || isSimilar(interval, p.cycle):
		p.cycle = interval
	case isSimilar(between, p.candidateCycle):
		p.cycle, p.candidateCycle = between, 0
	default:
		p.candidateCycle = between
	}
}

func isSimilar(a, b time.Duration) bool {
	return (a - b).Abs() <= time.Duration(cycleTolerance*float64(b))
}

// learnPeak takes over the height of a turn that was seen whole.
func (t *poolTrend) learnPeak(now time.Time) {
	if t.startMissed {
		return
	}
	if t.peakRate == 0 {
		t.peakRate = t.meanRate(now)
	}
	t.peakRate += peakWeight * (t.meanRate(now) - t.peakRate)
	t.unsaved = true
}

// fold takes over what an owner before knew of a pool's turns.
func (p *surgeForecast) fold(r SurgeSeen) {
	t := p.trend(r.Pool)
	t.peakRate, t.baseCores, t.hasHadJobs = r.PeakRate, r.BaseCores, true
	if r.BeganMs > 0 {
		t.surgeStart = time.UnixMilli(r.BeganMs)
	}
	p.cycle = time.Duration(r.CycleMs) * time.Millisecond
}

// saved returns what a later owner should know of a pool's turns.
func (p *surgeForecast) toRecord(pool string, t *poolTrend) SurgeSeen {
	r := SurgeSeen{Pool: pool, PeakRate: t.peakRate, BaseCores: t.baseCores, CycleMs: p.cycle.Milliseconds()}
	if !t.surgeStart.IsZero() {
		r.BeganMs = t.surgeStart.UnixMilli()
	}
	return r
}

// saveTurns records what was learned since the last call.
func (sc *Scheduler) recordSurges() {
	for _, name := range slices.Sorted(maps.Keys(sc.surges.pools)) {
		if t := sc.surges.pools[name]; t.unsaved {
			t.unsaved = false
			sc.appendRecord(sc.surges.toRecord(name, t))
		}
	}
}

// begins tells whether so much work came lately that a turn must have begun.
func (t *poolTrend) isSurgeStarting(now time.Time) bool {
	rate := t.rateOver(now, onsetBuckets)
	jobs := 0
	for i := range int64(onsetBuckets) {
		jobs += t.jobBuckets[(t.currentBucket-i)%historyBuckets]
	}
	return jobs >= onsetMinJobs && rate > onsetMinLoad*max(t.baseCores, t.peakRate)
}

// mean returns the core-seconds in a second of the present turn, which ended when work last came.
func (t *poolTrend) meanRate(now time.Time) float64 {
	return t.surgeWork / max(minSurgeDuration, now.Sub(t.surgeStart)-rateWindow/2).Seconds()
}

// due tells whether the pool's next turn is about to begin.
func (p *surgeForecast) isSurgeDue(now time.Time, t *poolTrend) bool {
	if p.cycle == 0 || t.surgeStart.IsZero() || t.inSurge || now.Sub(p.lastCall) > callerIdleTimeout {
		return false
	}
	next := t.surgeStart.Add(p.cycle)
	return now.After(next.Add(-forecastLead)) && now.Before(next.Add(missedSurgeTimeout))
}

// Called notes that a caller handed a job in, whatever becomes of it.
func (sc *Scheduler) RecordCall(now time.Time) { sc.surges.lastCall = now }
