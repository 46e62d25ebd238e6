package sched

import (
	"maps"
	"slices"
	"time"
)

const (
	// The arrival rate is measured over this window, which is divided into rateBuckets buckets.
	rateWindow  = 800 * time.Millisecond
	rateBuckets = 8
	// Number of buckets that are kept: the current one, and the full ones over which the growth of a surge is measured.
	historyBuckets = 22
	// A surge's growth is not extrapolated from fewer full buckets than this.
	minTrendBuckets = 8
	// A machine that is ordered to move runs tasks in its new pool after this time.
	provisioningDelay = 2200 * time.Millisecond
	// A surge's arrival rate is expected to exceed its mean by no more than this factor.
	maxGrowthFactor = 1.6
	// The start of a surge is detected over this many of the latest buckets.
	onsetBuckets = 5
	// A surge starts when these buckets have at least this many jobs, and an arrival rate above this share of the pool's base
	// cores or of its surge rate, whichever is higher.
	onsetMinJobs = 3
	onsetMinLoad = 0.3
	// A surge is over when the arrival rate falls below this share of its mean or of the expected rate.
	surgeEndShare = 0.15
	// Expected mean rate of a pool's first surge, as a multiple of what its base machines can do.
	defaultSurgeFactor = 1.25
	// Machines are moved this long before a forecast surge.
	forecastLead = 1800 * time.Millisecond
	// A forecast surge that has not started by this long after its time is no longer expected.
	missedSurgeTimeout = time.Second
	// A surge lasts at least this long, so that a gap in its arrivals does not end it.
	minSurgeDuration = 2 * time.Second
	// Arrivals within this time of a surge's start belong to that surge, also under a new owner.
	sameSurgeWindow = 6 * time.Second
	// Weight of the latest surge's rate in the moving average over surges.
	surgeRateWeight = 0.6
	// No surge is expected when no client has submitted a job for this long.
	clientIdleTimeout = 1500 * time.Millisecond
	// The time between two surges of a pool matches the cycle, or a multiple of it, if it is off by no more than this share.
	cycleTolerance = 0.2
)

// surgeForecast forecasts each pool's demand. Demand comes in surges: each pool in turn has some seconds of high demand, and
// this repeats in a cycle.
type surgeForecast struct {
	pools          map[string]*poolTrend
	cycle          time.Duration // time between two surges of a pool, 0 until a pool has had two
	candidateCycle time.Duration // last time between two surges that did not match the cycle
	lastSubmission time.Time     // when a client last submitted a job
}

// poolTrend holds a pool's recent arrivals and what is known of its surges. Work is in core-seconds, so a rate of arriving
// work is in cores.
type poolTrend struct {
	workBuckets   [historyBuckets]float64 // core-seconds that arrived, a ring over time
	jobBuckets    [historyBuckets]int     // jobs that arrived
	currentBucket int64                   // number of the current bucket, counted from the Unix epoch
	baseCores     float64                 // cores of the machines that the pool had before its first job or surge
	surgeRate     float64                 // mean arrival rate of its surges in cores, 0 if none was observed
	surgeWork     float64                 // core-seconds that arrived in the current surge
	surgeStart    time.Time               // start of the current or last surge
	inSurge       bool
	startMissed   bool      // the current surge was not observed from its start, or resumed after a gap
	surplusSince  time.Time // since when the pool has more machines than it needs
	unsaved       bool      // something changed that a later owner needs
	hasHadJobs    bool
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

// advanceTo moves the ring of buckets on to the given time.
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

// rateOver returns the arrival rate in cores over the given number of latest buckets.
func (t *poolTrend) rateOver(now time.Time, buckets int64) float64 {
	t.advanceTo(now)
	sum := 0.0
	for i := range buckets {
		sum += t.workBuckets[(t.currentBucket-i)%historyBuckets]
	}
	return sum / (float64(buckets*bucketMillis) / float64(time.Second/time.Millisecond))
}

// arrivalRate returns the arrival rate in cores over rateWindow.
func (t *poolTrend) arrivalRate(now time.Time) float64 { return t.rateOver(now, rateBuckets) }

func (p *surgeForecast) recordArrival(now time.Time, pool string, coreSeconds float64) {
	t := p.trend(pool)
	p.lastSubmission, t.hasHadJobs = now, true
	t.advanceTo(now)
	t.workBuckets[t.currentBucket%historyBuckets] += coreSeconds
	t.jobBuckets[t.currentBucket%historyBuckets]++
	t.surgeWork += coreSeconds
}

// forecastCores returns how many cores the pool will need by the time that machines moved now can run tasks. The pool has
// the given cores at present.
func (p *surgeForecast) forecastCores(now time.Time, pool string, cores float64) float64 {
	t := p.trend(pool)
	if t.surgeStart.IsZero() && t.surgeWork == 0 && cores > t.baseCores {
		// A large fleet takes some seconds to be listed completely.
		t.baseCores, t.unsaved = cores, true
	}
	p.detectSurge(now, t)
	rate := t.arrivalRate(now)
	switch {
	case t.inSurge:
		return max(rate, p.expectedSurgeRate(t), min(t.extrapolatedRate(now), maxGrowthFactor*p.expectedSurgeRate(t)))
	case p.isSurgeDue(now, t):
		return max(rate, p.expectedSurgeRate(t))
	default:
		return rate
	}
}

// extrapolatedRate returns the arrival rate in cores to expect when machines moved now can run tasks: a least-squares line
// through the full buckets of the current surge, extended by provisioningDelay. It is 0 if there are too few buckets.
func (t *poolTrend) extrapolatedRate(now time.Time) float64 {
	t.advanceTo(now)
	n := min(int64(historyBuckets-1), now.Sub(t.surgeStart).Milliseconds()/bucketMillis)
	if n < minTrendBuckets {
		return 0
	}
	meanAge, mean, slope, ageSpread := float64(n+1)/2, 0.0, 0.0, 0.0
	for i := int64(1); i <= n; i++ {
		work, age := t.workBuckets[(t.currentBucket-i)%historyBuckets], float64(i)
		mean += work / float64(n)
		slope += (meanAge - age) * work
		ageSpread += (meanAge - age) * (meanAge - age)
	}
	ahead := meanAge + float64(provisioningDelay.Milliseconds()/bucketMillis)
	return (mean + slope/ageSpread*ahead) / time.Duration(bucketMillis*int64(time.Millisecond)).Seconds()
}

// expectedSurgeRate returns the expected mean rate of the pool's surges in cores. For a pool that has had none yet, it is the
// pool's base cores times the highest such factor of the other pools, but no less than defaultSurgeFactor.
func (p *surgeForecast) expectedSurgeRate(t *poolTrend) float64 {
	if t.surgeRate > 0 {
		return t.surgeRate
	}
	factor := defaultSurgeFactor
	for _, other := range p.pools {
		if other.baseCores > 0 {
			factor = max(factor, other.surgeRate/other.baseCores)
		}
	}
	return t.baseCores * factor
}

// detectSurge detects the start and the end of the pool's surges, and learns the cycle and the rate from them.
func (p *surgeForecast) detectSurge(now time.Time, t *poolTrend) {
	rate := t.arrivalRate(now)
	sinceStart := now.Sub(t.surgeStart)
	switch {
	case !t.inSurge && !t.surgeStart.IsZero() && sinceStart < sameSurgeWindow && t.isSurgeStarting(now):
		t.inSurge, t.startMissed = true, true
	case !t.inSurge && t.isSurgeStarting(now):
		if !t.surgeStart.IsZero() {
			p.learnCycle(sinceStart)
		}
		t.inSurge, t.startMissed, t.surgeStart, t.surgeWork, t.unsaved = true, false, now, 0, true
	case t.inSurge && sinceStart >= minSurgeDuration && rate < surgeEndShare*max(t.meanRate(now), p.expectedSurgeRate(t)):
		t.inSurge = false
		t.learnSurgeRate(now)
	}
}

// learnCycle updates the cycle from the time between two surges of a pool. An outage may have hidden surges in between, and a
// mere burst may resemble a surge, so a time that does not match the cycle replaces it only when it occurs twice.
func (p *surgeForecast) learnCycle(sinceLastSurge time.Duration) {
	surges := time.Duration(1)
	if p.cycle > 0 {
		surges = max(1, (sinceLastSurge+p.cycle/2)/p.cycle)
	}
	switch interval := sinceLastSurge / surges; {
	case p.cycle == 0 || isSimilar(interval, p.cycle):
		p.cycle = interval
	case isSimilar(sinceLastSurge, p.candidateCycle):
		p.cycle, p.candidateCycle = sinceLastSurge, 0
	default:
		p.candidateCycle = sinceLastSurge
	}
}

func isSimilar(a, b time.Duration) bool {
	return (a - b).Abs() <= time.Duration(cycleTolerance*float64(b))
}

// learnSurgeRate updates the rate of the pool's surges from a surge that was observed as a whole.
func (t *poolTrend) learnSurgeRate(now time.Time) {
	if t.startMissed {
		return
	}
	if t.surgeRate == 0 {
		t.surgeRate = t.meanRate(now)
	}
	t.surgeRate += surgeRateWeight * (t.meanRate(now) - t.surgeRate)
	t.unsaved = true
}

// restore applies a record of what an earlier owner knew of a pool's surges.
func (p *surgeForecast) restore(r SurgeSeen) {
	t := p.trend(r.Pool)
	t.surgeRate, t.baseCores, t.hasHadJobs = r.SurgeRate, r.BaseCores, true
	if r.StartMs > 0 {
		t.surgeStart = time.UnixMilli(r.StartMs)
	}
	p.cycle = time.Duration(r.CycleMs) * time.Millisecond
}

// toRecord returns the record from which a later owner restores the pool's surges.
func (p *surgeForecast) toRecord(pool string, t *poolTrend) SurgeSeen {
	r := SurgeSeen{Pool: pool, SurgeRate: t.surgeRate, BaseCores: t.baseCores, CycleMs: p.cycle.Milliseconds()}
	if !t.surgeStart.IsZero() {
		r.StartMs = t.surgeStart.UnixMilli()
	}
	return r
}

// recordSurges records the pools whose surge data has changed since the last call.
func (sc *Scheduler) recordSurges() {
	for _, name := range slices.Sorted(maps.Keys(sc.surges.pools)) {
		if t := sc.surges.pools[name]; t.unsaved {
			t.unsaved = false
			sc.appendRecord(sc.surges.toRecord(name, t))
		}
	}
}

// isSurgeStarting reports whether the latest arrivals are high enough for a surge.
func (t *poolTrend) isSurgeStarting(now time.Time) bool {
	rate := t.rateOver(now, onsetBuckets)
	jobs := 0
	for i := range int64(onsetBuckets) {
		jobs += t.jobBuckets[(t.currentBucket-i)%historyBuckets]
	}
	return jobs >= onsetMinJobs && rate > onsetMinLoad*max(t.baseCores, t.surgeRate)
}

// meanRate returns the mean arrival rate in cores of the current surge. When its end is detected, arrivals have been low for
// part of rateWindow already; half of the window is left out for that.
func (t *poolTrend) meanRate(now time.Time) float64 {
	return t.surgeWork / max(minSurgeDuration, now.Sub(t.surgeStart)-rateWindow/2).Seconds()
}

// isSurgeDue reports whether the pool's next surge is forecast to start about now.
func (p *surgeForecast) isSurgeDue(now time.Time, t *poolTrend) bool {
	if p.cycle == 0 || t.surgeStart.IsZero() || t.inSurge || now.Sub(p.lastSubmission) > clientIdleTimeout {
		return false
	}
	next := t.surgeStart.Add(p.cycle)
	return now.After(next.Add(-forecastLead)) && now.Before(next.Add(missedSurgeTimeout))
}

// RecordSubmission records that a client submitted a job, whether or not it is accepted. Surges are expected only while
// clients submit jobs.
func (sc *Scheduler) RecordSubmission(now time.Time) { sc.surges.lastSubmission = now }
