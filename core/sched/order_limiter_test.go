package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/setup"
)

// idleFleet returns a machine whose pool "pots" has that many idle machines more than it needs.
func idleFleet(t *testing.T, machines int, perSecond float64) *testBench {
	b := newTestBench(t, 0)
	b.m = New(Options{AllowPoolMoves: true, MachineOrderRate: perSecond})
	b.m.TakeOwnership(b.now, 0)
	b.m.Configure(b.now, testConfig())
	var entries []MachineEntry
	for i := range machines {
		id := fmt.Sprintf("w%04d", i)
		b.addWorker(id, "pots")
		entries = append(entries, MachineEntry{
			ID: "m-" + id, Pool: "pots", Worker: id, Capacity: setup.Resources{CPU: 4000, MemMB: 8000},
		})
	}
	b.listWorkers()
	b.answerPolls()
	b.m.UpdateMachines(b.now, b.now, entries)
	return b
}

// Pattern: thousands of machines that nobody needs, at a platform that takes 64 orders to machines in a second.
func TestOrdersToMachinesKeepWithinThePlatformsRate(t *testing.T) {
	const perSecond, seconds = 64, 5
	b := idleFleet(t, 1000, perSecond)
	b.submit("a", oneCoreStep(1))
	b.answerStarts(AnswerOK)
	given := 0
	for range seconds * 20 {
		b.advance(time.Second / 20)
		b.answerPolls()
		for _, o := range takeOrders[MoveMachine](b) {
			given++
			b.m.ApplyResult(b.now, MoveResult{Order: o, Answer: AnswerOK})
		}
	}
	assert.Assert(t, given > perSecond*reserveShare && given <= perSecond*(seconds+1), "%d orders", given)
}

// Pattern: machines that nobody needs, beside a pool that lacks some.
func TestMachinesThatALackingPoolNeedsGoFirst(t *testing.T) {
	var budget orderLimiter
	budget.refill(testStart, 64)
	for budget.isAllowed(64, true) {
		budget.take()
	}
	urgent := 0
	for ; budget.isAllowed(64, false); urgent++ {
		budget.take()
	}
	assert.Equal(t, urgent, 32)
	budget.refill(testStart.Add(time.Second), 64)
	assert.Assert(t, budget.isAllowed(64, true))
	budget.refill(testStart.Add(time.Hour), 64)
	assert.Equal(t, budget.tokens, 64.0, "an hour at rest is no reason for a burst")
}

// Pattern: thousands of workers without work.
func TestLooksAtIdleWorkersAreBounded(t *testing.T) {
	const workers, seconds = 2000, 8
	b := idleFleet(t, workers, 1)
	b.m.options.AllowPoolMoves = false
	looks := 0
	for range seconds * 10 {
		b.advance(time.Second / 10)
		looks += len(b.orders)
		b.answerPolls()
	}
	assert.Assert(t, looks > 0 && looks <= int(seconds*time.Second/idlePollIntervalPerWorker)+workers, "%d looks", looks)
}
