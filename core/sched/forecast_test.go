package sched

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Surges: one pool after the other has five times its mean demand for some seconds.
func TestSurgesAreForecastAfterTwo(t *testing.T) {
	var p surgeForecast
	const surgeTime, cycle = 4 * time.Second, 16 * time.Second
	now := testStart
	forecast := func(pool string) float64 { return p.forecastCores(now, pool, 100) }
	runUntil := func(until time.Duration) {
		for ; now.Before(testStart.Add(until)); now = now.Add(100 * time.Millisecond) {
			at := now.Sub(testStart) % cycle
			for i, pool := range []string{"pots", "desks"} {
				if begin := time.Duration(i) * surgeTime; at >= begin && at < begin+surgeTime {
					p.recordArrival(now, pool, 20)
				}
				forecast(pool)
			}
		}
	}
	runUntil(time.Second)
	assert.Assert(t, forecast("pots") >= 125, "a first surge of unknown rate needs more than the pool has: %v", forecast("pots"))
	runUntil(8 * time.Second)
	assert.Assert(t, forecast("pots") < 10, "the surge is over: %v", forecast("pots"))
	runUntil(cycle + time.Second)
	assert.Assert(t, forecast("desks") < 10)
	runUntil(cycle + surgeTime - time.Second)
	assert.Assert(t, forecast("desks") > 150, "machines are requested before the surge starts: %v", forecast("desks"))
	runUntil(cycle + 2*surgeTime + 4*time.Second)
	assert.Assert(t, forecast("desks") < 10)
}

// Hundreds of machines are listed over some seconds before the first surge.
func TestFirstSurgeIsSizedByTheWholePool(t *testing.T) {
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
	assert.Assert(t, p.forecastCores(now, "pots", 300) >= 1000*defaultSurgeFactor)
	p.forecastCores(now, "pots", 2000)
	assert.Equal(t, p.trend("pots").baseCores, 1000.0, "machines that are moved in for a surge don't count as base machines")
}

// A surge grows for seconds. Machines are requested for the rate that is expected when they arrive.
func TestGrowingSurgeIsExtrapolated(t *testing.T) {
	scenarios := []struct {
		testName string
		rate     func(seconds float64) float64 // core-seconds per second
		at       time.Duration
		least    float64
		most     float64
	}{
		{"grows", func(s float64) float64 { return 400 * s }, 2 * time.Second, 1300, 1700},
		{"grows no higher than surges do", func(s float64) float64 { return 2000 * s }, 2 * time.Second, 2 * 1000 * defaultSurgeFactor, 4000},
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

// A pool has its first surge after another pool has had one.
func TestFirstSurgeIsScaledFromOtherPools(t *testing.T) {
	var p surgeForecast
	p.trend("desks").baseCores, p.trend("desks").surgeRate = 500, 1000
	p.forecastCores(testStart, "pots", 300)
	assert.Equal(t, p.expectedSurgeRate(p.trend("pots")), 600.0)
	p.trend("pots").surgeRate = 400
	assert.Equal(t, p.expectedSurgeRate(p.trend("pots")), 400.0)
}

// A single large job arrives outside of a surge.
func TestOneLargeJobIsNoSurge(t *testing.T) {
	var p surgeForecast
	p.forecastCores(testStart, "pots", 100)
	p.recordArrival(testStart.Add(time.Second), "pots", 90)
	assert.Assert(t, p.forecastCores(testStart.Add(time.Second), "pots", 100) < 120)
	assert.Assert(t, !p.trend("pots").inSurge)
}

// The owner changes between two surges.
func TestForecastSurvivesOwnerChange(t *testing.T) {
	var p, next surgeForecast
	p.trend("pots").surgeRate, p.trend("pots").baseCores, p.trend("pots").surgeStart = 300, 100, testStart
	p.cycle = 16 * time.Second
	next.restore(p.toRecord("pots", p.trend("pots")))
	next.lastSubmission = testStart.Add(15 * time.Second)
	assert.Assert(t, next.forecastCores(testStart.Add(15*time.Second), "pots", 40) >= 300)
	next.lastSubmission = testStart.Add(31 * time.Second)
	assert.Equal(t, next.forecastCores(testStart.Add(31*time.Second), "pots", 40), 0.0, "a surge that did not come is no longer expected")
}

// Clients stop submitting jobs.
func TestNoSurgeIsForecastWithoutClients(t *testing.T) {
	var p surgeForecast
	p.restore(SurgeSeen{Pool: "pots", StartMs: testStart.UnixMilli(), SurgeRate: 300, BaseCores: 100, CycleMs: 16_000})
	now := testStart.Add(15 * time.Second)
	p.lastSubmission = now.Add(-clientIdleTimeout)
	assert.Assert(t, p.forecastCores(now, "pots", 40) >= 300)
	p.lastSubmission = p.lastSubmission.Add(-time.Millisecond)
	assert.Equal(t, p.forecastCores(now, "pots", 40), 0.0)
}

// An outage hides a surge, or a burst comes between two surges.
func TestCycleIgnoresHiddenSurgesAndBursts(t *testing.T) {
	scenarios := []struct {
		testName string
		between  []time.Duration
		expected time.Duration
	}{
		{"similar", []time.Duration{18 * time.Second, 19 * time.Second, 17 * time.Second}, 17 * time.Second},
		{"one surge was hidden", []time.Duration{18 * time.Second, 36 * time.Second}, 18 * time.Second},
		{"a burst", []time.Duration{18 * time.Second, 7 * time.Second, 11 * time.Second}, 18 * time.Second},
		{"the cycle changes", []time.Duration{18 * time.Second, 25 * time.Second, 26 * time.Second}, 26 * time.Second},
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

// The owner changes in the middle of a surge.
func TestSurgeContinuesUnderNewOwner(t *testing.T) {
	var p surgeForecast
	p.restore(SurgeSeen{Pool: "pots", StartMs: testStart.UnixMilli(), SurgeRate: 300, BaseCores: 100, CycleMs: 16_000})
	now := testStart.Add(2 * time.Second)
	for range 10 {
		p.recordArrival(now, "pots", 25)
		now = now.Add(100 * time.Millisecond)
		p.forecastCores(now, "pots", 100)
	}
	assert.Equal(t, p.cycle, 16*time.Second, "it is not a second surge")
	assert.Assert(t, p.forecastCores(now, "pots", 100) >= 300)
	now = now.Add(4 * time.Second)
	p.forecastCores(now, "pots", 100)
	assert.Equal(t, p.trend("pots").surgeRate, 300.0, "a surge that was not observed from its start does not change the rate")
}
