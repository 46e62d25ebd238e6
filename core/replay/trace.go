package replay

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mangowing/core/decl"
)

// Shape of the trace. The queues have their peak one after the other: in its turn a queue has five times its mean load, and
// a twentieth of it otherwise.
const (
	queueCount           = 5
	peakFactor           = 5.0
	offPeakFactor        = 0.05
	peakLoad             = 1.5 // offered load in a turn, as a multiple of the pool's slots
	runTimeSigma         = 0.7 // standard deviation of the logarithm of run times
	alwaysFailsFraction  = 0.02
	cancelledFraction    = 0.6
	submitTenths         = 6                // work with a latest finish is submitted in this part of the time until then, in tenths
	maxCancelledAge      = 15 * time.Second // older requests are not cancelled when their team's callers cancel together
	floodRequestsPerSlot = 1.3              // requests per slot in a flood of long work
	floodRunTimeFactor   = 8
	stragglerFraction    = 0.01
	stragglerFactor      = 6.0
)

// traceSize sets how much is replayed.
type traceSize struct {
	cycles  int           // rounds in which every queue has its turn once
	queues  int           // how many of the queueCount queues are replayed
	turn    time.Duration // length of one queue's turn
	workers int           // workers of each pool
}

// fullSize returns the size that `make policy` replays: all queues of a deployment with pools of their present size.
func fullSize() traceSize {
	return traceSize{cycles: 2, queues: queueCount, turn: 2 * time.Minute, workers: 10}
}

// demand is one request of the trace. Times are relative to the start of the trace.
type demand struct {
	streamIndex  int
	teamIndex    int
	arrivesAt    time.Duration
	runTime      time.Duration
	firstRunTime time.Duration // run time of the first attempt, which may be a straggler
	latestFinish time.Duration // 0 for none
	cancelAt     time.Duration // when its caller cancels, 0 for never
	gate         int
	alwaysFails  bool
}

// trace is the demand on one queue in one cycle, in order of arrival.
type trace struct {
	demands   []demand
	turnStart time.Duration
	turnEnd   time.Duration
	end       time.Duration
}

// newTrace returns the demand on one of the deployment's queues in one cycle. It is deterministic.
func newTrace(d deployment, f faults, cycle, queue int, sz traceSize) trace {
	rng := rand.New(rand.NewPCG(uint64(cycle), uint64(queue*len(d.name))))
	start := sz.turn/2 + time.Duration(queue%queueCount)*sz.turn
	t := trace{turnStart: start, turnEnd: start + sz.turn, end: (queueCount + 1) * sz.turn}
	slots := sz.workers * slotsPerWorker
	meanLoad := peakLoad * float64(slots) / peakFactor
	for i, s := range d.streams {
		peakRate := peakFactor * meanLoad * s.loadFraction / meanRunTime(s).Seconds() // requests per second
		for at := arrivalGap(rng, peakRate); at < t.end; at += arrivalGap(rng, peakRate) {
			if rng.Float64() < t.loadFactor(at)/peakFactor {
				t.demands = append(t.demands, d.newDemand(i, at, t, rng))
			}
		}
	}
	if f.longFlood {
		t.addLongFlood(d, slots, rng)
	}
	slices.SortStableFunc(t.demands, func(a, b demand) int { return cmp.Compare(a.arrivesAt, b.arrivesAt) })
	return t
}

// addLongFlood adds very long patient work that fills the pool just before the turn.
func (t *trace) addLongFlood(d deployment, slots int, rng *rand.Rand) {
	i := slices.IndexFunc(d.streams, func(s stream) bool { return s.class == decl.Patient })
	turn := t.turnEnd - t.turnStart
	perSecond := floodRequestsPerSlot * float64(slots) / (turn / 2).Seconds()
	for at := t.turnStart - turn/2 + arrivalGap(rng, perSecond); at < t.turnStart; at += arrivalGap(rng, perSecond) {
		next := d.newDemand(i, at, *t, rng)
		next.runTime *= floodRunTimeFactor
		next.firstRunTime = next.runTime
		t.demands = append(t.demands, next)
	}
}

func arrivalGap(rng *rand.Rand, perSecond float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
}

func (t trace) loadFactor(at time.Duration) float64 {
	if at >= t.turnStart && at < t.turnEnd {
		return peakFactor
	}
	return offPeakFactor
}

func meanRunTime(s stream) time.Duration {
	return time.Duration(float64(s.medianRunTime) * math.Exp(runTimeSigma*runTimeSigma/2))
}

// newDemand returns a random request of the stream with index i.
func (d deployment) newDemand(i int, at time.Duration, t trace, rng *rand.Rand) demand {
	s := d.streams[i]
	runTime := time.Duration(float64(s.medianRunTime) * math.Exp(runTimeSigma*rng.NormFloat64()))
	out := demand{streamIndex: i, teamIndex: d.teamIndex(s.team), arrivesAt: at, runTime: runTime, firstRunTime: runTime, gate: rng.IntN(d.gates)}
	if rng.Float64() < stragglerFraction {
		out.firstRunTime = time.Duration(stragglerFactor * float64(runTime))
	}
	out.alwaysFails = rng.Float64() < alwaysFailsFraction && s.isJob()
	if s.latestFinish > 0 && at >= t.turnStart && at < t.turnStart+s.latestFinish*submitTenths/10 {
		out.latestFinish = t.turnStart + s.latestFinish
	}
	if s.team == d.cancellingTeam && rng.Float64() < cancelledFraction {
		out.cancelAt = t.cancelTime(at)
	}
	return out
}

func (d deployment) teamIndex(name string) int {
	return slices.IndexFunc(d.teams, func(t teamWeight) bool { return t.name == name })
}

// cancelTime returns when the callers of requests that arrived at the given time cancel together, 0 if they don't.
func (t trace) cancelTime(arrived time.Duration) time.Duration {
	turn := t.turnEnd - t.turnStart
	for _, sixths := range []time.Duration{2, 4} {
		cancelAt := t.turnStart + sixths*turn/6
		if arrived < cancelAt && arrived > cancelAt-maxCancelledAge {
			return cancelAt
		}
	}
	return 0
}
