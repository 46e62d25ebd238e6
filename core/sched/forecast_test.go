package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Pattern: turns. Each pool asks five times its mean for some seconds, the pools one after the other.
func TestTurnsAreForecastOnceAPoolHadTwo(t *testing.T) {
	var p surgeForecast
	const turn, cycle = 4 * time.Second, 16 * time.Second
	now := testStart
	expected := func(pool string) float64 { return p.forecastCores(now, pool, 100) }
	pass := func(until time.Duration) {
		for ; now.Before(testStart.Add(until)); now = now.Add(100 * time.Millisecond) {
			at := now.Sub(testStart) % cycle
			for i, pool := range []string{"pots", "desks"} {
				if begin := time.Duration(i) * turn; at >= begin && at < begin+turn {
					p.recordArrival(now, pool, 20)
				}
				expected(pool)
			}
		}
	}
	pass(time.Second)
	assert.Assert(t, expected("pots") >= 125, "a turn of unknown height asks for more than the pool has: %v", expected("pots"))
	pass(8 * time.Second)
	assert.Assert(t, expected("pots") < 10, "the turn is over: %v", expected("pots"))
	pass(cycle + time.Second)
	assert.Assert(t, expected("desks") < 10)
	pass(cycle + turn - time.Second)
	assert.Assert(t, expected("desks") > 150, "machines are asked for before the turn begins: %v", expected("desks"))
	pass(cycle + 2*turn + 4*time.Second)
	assert.Assert(t, expected("desks") < 10)
}

// Pattern: hundreds of machines that are listed over some seconds, before the first turn.
func TestFirstTurnIsAsHighAsTheWholePoolAllows(t *testing.T) {
	var p surgeForecast
	now := testStart
	for cores := 100.0; cores <= 1000; cores += 100 {
		p.forecastCores(now, "pots", cores)
		now = now.Add(100 * time.Millisecond)
	}
	p.forecastCores(now, "pots", 300)
	for range 10 {
		now = now.Add(50 * time.Millisecond)
		p.recordArrival(now, "pots", 30)
	}
	assert.Assert(t, p.forecastCores(now, "pots", 300) >= 1000*defaultPeakFactor)
	p.forecastCores(now, "pots", 2000)
	assert.Equal(t, p.trend("pots").baseCores, 1000.0, "machines that come for a turn are not of the pool")
}

// Pattern: a turn whose work grows for seconds. Machines are asked for by what will come when they have arrived.
func TestGrowingTurnIsMetAhead(t *testing.T) {
	scenarios := []struct {
		testName string
		rate     func(seconds float64) float64 // core-seconds in a second
		at       time.Duration
		least    float64
		most     float64
	}{
		{"grows", func(s float64) float64 { return 400 * s }, 2 * time.Second, 1300, 1700},
		{"grows no higher than turns do", func(s float64) float64 { return 2000 * s }, 2 * time.Second, 2 * 1000 * defaultPeakFactor, 4000},
		{"even", func(float64) float64 { return 1500 }, 3 * time.Second, 1250, 1650},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var p surgeForecast
			p.forecastCores(testStart, "pots", 1000)
			const step = 10 * time.Millisecond
			now := testStart
			for ; now.Before(testStart.Add(s.at)); now = now.Add(step) {
				p.recordArrival(now, "pots", s.rate(now.Sub(testStart).Seconds())*step.Seconds())
				p.forecastCores(now, "pots", 1000)
			}
			got := p.forecastCores(now, "pots", 1000)
			assert.Assert(t, got >= s.least && got <= s.most, "%v", got)
		})
	}
}

// Pattern: the first turn of a pool, after one of another pool.
func TestFirstTurnIsAsHighAsThoseOfOtherPools(t *testing.T) {
	var p surgeForecast
	p.trend("desks").baseCores, p.trend("desks").peakRate = 500, 1000
	p.forecastCores(testStart, "pots", 300)
	assert.Equal(t, p.expectedPeakRate(p.trend("pots")), 600.0)
	p.trend("pots").peakRate = 400
	assert.Equal(t, p.expectedPeakRate(p.trend("pots")), 400.0)
}

// Pattern: single large jobs between the turns.
func TestOneLargeJobIsNoTurn(t *testing.T) {
	var p surgeForecast
	p.forecastCores(testStart, "pots", 100)
	p.recordArrival(testStart.Add(time.Second), "pots", 90)
	assert.Assert(t, p.forecastCores(testStart.Add(time.Second), "pots", 100) < 120)
	assert.Assert(t, !p.trend("pots").inSurge)
}

// Pattern: turns and a takeover.
func TestTurnsOutliveTheirOwner(t *testing.T) {
	var p, next surgeForecast
	p.trend("pots").peakRate, p.trend("pots").baseCores, p.trend("pots").surgeStart = 300, 100, testStart
	p.cycle = 16 * time.Second
	next.fold(p.toRecord("pots", p.trend("pots")))
	next.lastCall = testStart.Add(15 * time.Second)
	assert.Assert(t, next.forecastCores(testStart.Add(15*time.Second), "pots", 40) >= 300)
	next.lastCall = testStart.Add(31 * time.Second)
	assert.Equal(t, next.forecastCores(testStart.Add(31*time.Second), "pots", 40), 0.0, "a turn that did not come is not expected again")
}

// Pattern: the callers leave.
func TestNoTurnIsExpectedWithoutCallers(t *testing.T) {
	var p surgeForecast
	p.fold(SurgeSeen{Pool: "pots", StartMs: testStart.UnixMilli(), PeakRate: 300, BaseCores: 100, CycleMs: 16_000})
	now := testStart.Add(15 * time.Second)
	p.lastCall = now.Add(-callerIdleTimeout)
	assert.Assert(t, p.forecastCores(now, "pots", 40) >= 300)
	p.lastCall = p.lastCall.Add(-time.Millisecond)
	assert.Equal(t, p.forecastCores(now, "pots", 40), 0.0)
}

// Pattern: turns that an outage hid, and a burst between two turns.
func TestCycleIsThatOfMostTurns(t *testing.T) {
	scenarios := []struct {
		testName string
		between  []time.Duration
		expected time.Duration
	}{
		{"alike", []time.Duration{18 * time.Second, 19 * time.Second, 17 * time.Second}, 17 * time.Second},
		{"one was hidden", []time.Duration{18 * time.Second, 36 * time.Second}, 18 * time.Second},
		{"a burst", []time.Duration{18 * time.Second, 7 * time.Second, 11 * time.Second}, 18 * time.Second},
		{"another rhythm", []time.Duration{18 * time.Second, 25 * time.Second, 26 * time.Second}, 26 * time.Second},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var p surgeForecast
			for _, d := range s.between {
				p.learnCycle(d)
			}
			assert.Equal(t, p.cycle, s.expected)
		})
	}
}

// Pattern: a takeover in the middle of a turn.
func TestTurnGoesOnUnderANewOwner(t *testing.T) {
	var p surgeForecast
	p.fold(SurgeSeen{Pool: "pots", StartMs: testStart.UnixMilli(), PeakRate: 300, BaseCores: 100, CycleMs: 16_000})
	now := testStart.Add(2 * time.Second)
	for range 10 {
		p.recordArrival(now, "pots", 25)
		now = now.Add(100 * time.Millisecond)
		p.forecastCores(now, "pots", 100)
	}
	assert.Equal(t, p.cycle, 16*time.Second, "it is no second turn")
	assert.Assert(t, p.forecastCores(now, "pots", 100) >= 300)
	now = now.Add(4 * time.Second)
	p.forecastCores(now, "pots", 100)
	assert.Equal(t, p.trend("pots").peakRate, 300.0, "what was not seen whole teaches nothing")
}
