package replay

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mangowing/core/decl"
)

// Shape of the trace: each queue in turn asks five times its mean, then a twentieth of it.
const (
	queues         = 5
	turnFactor     = 5.0
	restFactor     = 0.05
	turnLoad       = 1.5 // offered load in a turn, in pools
	runSpread      = 0.7 // sigma of the logarithm of run times
	poisonPart     = 0.02
	cancelledPart  = 0.6
	finishTenths   = 6                // of the time until a latest finish, in which its work is handed in
	waveReach      = 15 * time.Second // requests younger than this are cancelled by a wave
	longFloodPart  = 1.3              // requests of a flood of long work for each slot
	longFloodTimes = 8
	stragglerPart  = 0.01
	stragglerTimes = 6.0
)

// size is how much of the trace is replayed.
type size struct {
	cycles  int           // in each of which every queue has its turn
	queues  int           // of the five
	turn    time.Duration // length of one queue's turn
	workers int           // of each pool
}

// fullSize is what `make policy` replays: every queue of a user at the sizes of today.
func fullSize() size { return size{cycles: 2, queues: queues, turn: 2 * time.Minute, workers: 10} }

// demand is one request of the trace.
type demand struct {
	stream    int
	team      int
	arrive    time.Duration
	run       time.Duration
	straggles time.Duration // run time of the first attempt, which may straggle
	finish    time.Duration // latest finish, 0 for none
	cancel    time.Duration // when its caller leaves, 0 for never
	gate      int
	poison    bool
}

// trace is the demand on one queue over one cycle, in order of arrival.
type trace struct {
	demands   []demand
	turnStart time.Duration
	turnEnd   time.Duration
	end       time.Duration
}

// newTrace returns the demand on one of the user's queues in one cycle, always the same.
func newTrace(d deployment, f faults, cycle, queue int, sz size) trace {
	rng := rand.New(rand.NewPCG(uint64(cycle), uint64(queue*len(d.name))))
	start := sz.turn/2 + time.Duration(queue%queues)*sz.turn
	t := trace{turnStart: start, turnEnd: start + sz.turn, end: (queues + 1) * sz.turn}
	slots := sz.workers * slotsPerWorker
	mean := turnLoad * float64(slots) / turnFactor
	for i, s := range d.streams {
		peak := turnFactor * mean * s.load / meanRun(s).Seconds() // a second
		for at := gap(rng, peak); at < t.end; at += gap(rng, peak) {
			if rng.Float64() < t.factor(at)/turnFactor {
				t.demands = append(t.demands, d.draw(i, at, t, rng))
			}
		}
	}
	if f.longFlood {
		t.addLongFlood(d, slots, rng)
	}
	slices.SortStableFunc(t.demands, func(a, b demand) int { return cmp.Compare(a.arrive, b.arrive) })
	return t
}

// addLongFlood fills the pool with patient work that runs very long, just before the turn.
func (t *trace) addLongFlood(d deployment, slots int, rng *rand.Rand) {
	i := slices.IndexFunc(d.streams, func(s stream) bool { return s.class == decl.Patient })
	before := t.turnEnd - t.turnStart
	perSecond := longFloodPart * float64(slots) / (before / 2).Seconds()
	for at := t.turnStart - before/2 + gap(rng, perSecond); at < t.turnStart; at += gap(rng, perSecond) {
		next := d.draw(i, at, *t, rng)
		next.run *= longFloodTimes
		next.straggles = next.run
		t.demands = append(t.demands, next)
	}
}

func gap(rng *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
}

func (t trace) factor(at time.Duration) float64 {
	if at >= t.turnStart && at < t.turnEnd {
		return turnFactor
	}
	return restFactor
}

func meanRun(s stream) time.Duration {
	return time.Duration(float64(s.run) * math.Exp(runSpread*runSpread/2))
}

// draw returns one request of the stream.
func (d deployment) draw(i int, at time.Duration, t trace, rng *rand.Rand) demand {
	s := d.streams[i]
	run := time.Duration(float64(s.run) * math.Exp(runSpread*rng.NormFloat64()))
	out := demand{stream: i, team: d.teamIndex(s.team), arrive: at, run: run, straggles: run, gate: rng.IntN(d.gates)}
	if rng.Float64() < stragglerPart {
		out.straggles = time.Duration(stragglerTimes * float64(run))
	}
	out.poison = rng.Float64() < poisonPart && s.job()
	if s.finish > 0 && at >= t.turnStart && at < t.turnStart+s.finish*finishTenths/10 {
		out.finish = t.turnStart + s.finish
	}
	if s.team == d.cancelWave && rng.Float64() < cancelledPart {
		out.cancel = t.cancelWave(at)
	}
	return out
}

func (d deployment) teamIndex(name string) int {
	return slices.IndexFunc(d.teams, func(t teamWeight) bool { return t.name == name })
}

// cancelWave returns when the callers of requests that arrived at the given time leave together, 0 if they stay.
func (t trace) cancelWave(arrived time.Duration) time.Duration {
	turn := t.turnEnd - t.turnStart
	for _, part := range []time.Duration{2, 4} {
		wave := t.turnStart + part*turn/6
		if arrived < wave && arrived > wave-waveReach {
			return wave
		}
	}
	return 0
}
