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
	keptBuckets = 22
	rampBuckets = 8 // at least
	// Machines that are told to move now are of use after this time.
	rampLead = 2200 * time.Millisecond
	// Work grows no higher than this many times the mean of a turn.
	topShare = 1.6
	// Buckets that tell whether a turn begins.
	onsetBuckets = 5
	// A turn begins with so many jobs in these buckets, and more work than this share of what the pool's first machines
	// can do.
	onsetJobs  = 3
	onsetShare = 0.3
	// A turn is over when work comes slower than this share of its peak.
	overShare = 0.15
	// Mean of a pool's first turn, as a share of what its first machines can do.
	firstPeakShare = 1.25
	// Turns begin as machines are moved this long before.
	moveLead = 1800 * time.Millisecond
	// A turn that was forecast and did not come is given up after this time.
	missedTurn = time.Second
	// Turns are no shorter than this; a break in a turn does not end it.
	shortestTurn = 2 * time.Second
	// Work that comes this soon after a turn's beginning belongs to it, though its owner changed meanwhile.
	sameTurn = 6 * time.Second
	// Weight of a new turn's peak against those before.
	peakWeight = 0.6
	// Without any call of a caller for this long no turn is expected.
	quietAfter = 1500 * time.Millisecond
	// The time between two turns of a pool belongs to the cycle if it differs from it, or from a multiple, by less than
	// this share.
	cycleDoubt = 0.2
)

// turnPlan forecasts each pool's demand: pools have turns of high demand, one after the other, again and again.
type turnPlan struct {
	pools map[string]*poolTrend
	cycle time.Duration // time between two turns of a pool, 0 until one had two
	other time.Duration // the last time between two turns that did not belong to the cycle
	heard time.Time     // when a caller last handed a job in
}

// poolTrend is how much work came to a pool lately, and what is known of its turns.
type poolTrend struct {
	buckets [keptBuckets]float64 // core-seconds
	jobs    [keptBuckets]int
	bucket  int64
	home    float64   // cores of the machines that the pool had at first
	peak    float64   // core-seconds in a second of its turns, 0 if none was seen
	work    float64   // core-seconds that came in the present turn
	began   time.Time // start of the present or last turn
	turning bool
	partial bool      // the present turn was not seen from its beginning
	surplus time.Time // since when the pool has more machines than it needs
	changed bool      // something that a later owner should know
	known   bool      // a job has come
}

func (p *turnPlan) trend(pool string) *poolTrend {
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

const bucketMs = int64(rateWindow / time.Millisecond / rateBuckets)

// advance empties the buckets whose time is over.
func (t *poolTrend) advance(now time.Time) {
	bucket := now.UnixMilli() / bucketMs
	if bucket-t.bucket > keptBuckets {
		t.buckets, t.jobs, t.bucket = [keptBuckets]float64{}, [keptBuckets]int{}, bucket
	}
	for t.bucket < bucket {
		t.bucket++
		t.buckets[t.bucket%keptBuckets], t.jobs[t.bucket%keptBuckets] = 0, 0
	}
}

// rateOf returns the core-seconds that arrive in a second, from that many of the last buckets.
func (t *poolTrend) rateOf(now time.Time, buckets int64) float64 {
	t.advance(now)
	sum := 0.0
	for i := range buckets {
		sum += t.buckets[(t.bucket-i)%keptBuckets]
	}
	return sum / (float64(buckets*bucketMs) / float64(time.Second/time.Millisecond))
}

// rate returns the core-seconds that arrive in a second.
func (t *poolTrend) rate(now time.Time) float64 { return t.rateOf(now, rateBuckets) }

// arrived notes that a job came.
func (p *turnPlan) arrived(now time.Time, pool string, coreSeconds float64) {
	t := p.trend(pool)
	p.heard, t.known = now, true
	t.advance(now)
	t.buckets[t.bucket%keptBuckets] += coreSeconds
	t.jobs[t.bucket%keptBuckets]++
	t.work += coreSeconds
}

// expect returns the cores that the pool's work will need when machines that are moved now have arrived; the pool has
// the given cores.
func (p *turnPlan) expect(now time.Time, pool string, cores float64) float64 {
	t := p.trend(pool)
	if t.began.IsZero() && t.work == 0 && cores > t.home {
		// A large fleet is listed over some seconds.
		t.home, t.changed = cores, true
	}
	p.watch(now, t)
	rate := t.rate(now)
	switch {
	case t.turning:
		return max(rate, p.height(t), min(t.ramp(now), topShare*p.height(t)))
	case p.due(now, t):
		return max(rate, p.height(t))
	default:
		return rate
	}
}

// ramp returns the core-seconds that will arrive in a second when machines that are moved now are of use, if work goes on
// growing as it did: by the line of least squares through the buckets of the present turn.
func (t *poolTrend) ramp(now time.Time) float64 {
	t.advance(now)
	n := min(int64(keptBuckets-1), now.Sub(t.began).Milliseconds()/bucketMs)
	if n < rampBuckets {
		return 0
	}
	middle, mean, slope, spread := float64(n+1)/2, 0.0, 0.0, 0.0
	for i := int64(1); i <= n; i++ {
		work, age := t.buckets[(t.bucket-i)%keptBuckets], float64(i)
		mean += work / float64(n)
		slope += (middle - age) * work
		spread += (middle - age) * (middle - age)
	}
	ahead := middle + float64(rampLead.Milliseconds()/bucketMs)
	return (mean + slope/spread*ahead) / time.Duration(bucketMs*int64(time.Millisecond)).Seconds()
}

// height returns how high the pool's turns are expected to be: a first one as high as those of other pools of its size.
func (p *turnPlan) height(t *poolTrend) float64 {
	if t.peak > 0 {
		return t.peak
	}
	share := firstPeakShare
	for _, other := range p.pools {
		if other.home > 0 {
			share = max(share, other.peak/other.home)
		}
	}
	return t.home * share
}

// watch notes the beginning and the end of turns.
func (p *turnPlan) watch(now time.Time, t *poolTrend) {
	rate := t.rate(now)
	lasted := now.Sub(t.began)
	switch {
	case !t.turning && !t.began.IsZero() && lasted < sameTurn && t.begins(now):
		t.turning, t.partial = true, true
	case !t.turning && t.begins(now):
		if !t.began.IsZero() {
			p.learnCycle(lasted)
		}
		t.turning, t.partial, t.began, t.work, t.changed = true, false, now, 0, true
	case t.turning && lasted >= shortestTurn && rate < overShare*max(t.mean(now), p.height(t)):
		t.turning = false
		t.learnPeak(now)
	}
}

// learnCycle takes over the time between two turns of a pool. Turns may have been missed in an outage, and a burst may look
// like a turn: what does not belong to the cycle counts only when it is seen twice.
func (p *turnPlan) learnCycle(between time.Duration) {
	turns := time.Duration(1)
	if p.cycle > 0 {
		turns = max(1, (between+p.cycle/2)/p.cycle)
	}
	switch each := between / turns; {
	case p.cycle == 0 || alike(each, p.cycle):
		p.cycle = each
	case alike(between, p.other):
		p.cycle, p.other = between, 0
	default:
		p.other = between
	}
}

func alike(a, b time.Duration) bool {
	return (a - b).Abs() <= time.Duration(cycleDoubt*float64(b))
}

// learnPeak takes over the height of a turn that was seen whole.
func (t *poolTrend) learnPeak(now time.Time) {
	if t.partial {
		return
	}
	if t.peak == 0 {
		t.peak = t.mean(now)
	}
	t.peak += peakWeight * (t.mean(now) - t.peak)
	t.changed = true
}

// fold takes over what an owner before knew of a pool's turns.
func (p *turnPlan) fold(r TurnSeen) {
	t := p.trend(r.Pool)
	t.peak, t.home, t.known = r.Peak, r.Home, true
	if r.BeganMs > 0 {
		t.began = time.UnixMilli(r.BeganMs)
	}
	p.cycle = time.Duration(r.CycleMs) * time.Millisecond
}

// saved returns what a later owner should know of a pool's turns.
func (p *turnPlan) saved(pool string, t *poolTrend) TurnSeen {
	r := TurnSeen{Pool: pool, Peak: t.peak, Home: t.home, CycleMs: p.cycle.Milliseconds()}
	if !t.began.IsZero() {
		r.BeganMs = t.began.UnixMilli()
	}
	return r
}

// saveTurns records what was learned since the last call.
func (sc *Scheduler) saveTurns() {
	for _, name := range slices.Sorted(maps.Keys(sc.turns.pools)) {
		if t := sc.turns.pools[name]; t.changed {
			t.changed = false
			sc.appendRecord(sc.turns.saved(name, t))
		}
	}
}

// begins tells whether so much work came lately that a turn must have begun.
func (t *poolTrend) begins(now time.Time) bool {
	rate := t.rateOf(now, onsetBuckets)
	jobs := 0
	for i := range int64(onsetBuckets) {
		jobs += t.jobs[(t.bucket-i)%keptBuckets]
	}
	return jobs >= onsetJobs && rate > onsetShare*max(t.home, t.peak)
}

// mean returns the core-seconds in a second of the present turn, which ended when work last came.
func (t *poolTrend) mean(now time.Time) float64 {
	return t.work / max(shortestTurn, now.Sub(t.began)-rateWindow/2).Seconds()
}

// due tells whether the pool's next turn is about to begin.
func (p *turnPlan) due(now time.Time, t *poolTrend) bool {
	if p.cycle == 0 || t.began.IsZero() || t.turning || now.Sub(p.heard) > quietAfter {
		return false
	}
	next := t.began.Add(p.cycle)
	return now.After(next.Add(-moveLead)) && now.Before(next.Add(missedTurn))
}

// Called notes that a caller handed a job in, whatever becomes of it.
func (sc *Scheduler) Called(now time.Time) { sc.turns.heard = now }
