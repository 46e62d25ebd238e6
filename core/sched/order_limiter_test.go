package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/setup"
)

// newIdleFleet returns a bench whose pool "pots" has that many idle machines, all of them more than it needs.
func newIdleFleet(t *testing.T, machines int, perSecond float64) *testBench {
	b := newTestBench(t, 0)
	b.sc = New(Options{AllowPoolMoves: true, MachineOrderRate: perSecond})
	b.sc.TakeOwnership(b.now, 0)
	b.sc.Configure(b.now, testConfig())
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
	b.sc.UpdateMachines(b.now, b.now, entries)
	return b
}

// A thousand machines are no longer needed, and the platform accepts 64 orders to machines per second.
func TestMachineOrdersStayWithinThePlatformsRate(t *testing.T) {
	const perSecond, seconds = 64, 5
	b := newIdleFleet(t, 1000, perSecond)
	b.submit("a", oneCoreStep(1))
	b.answerStarts(AnswerOK)
	sent := 0
	for range seconds * 20 {
		b.advance(time.Second / 20)
		b.answerPolls()
		for _, o := range takeOrders[MoveMachine](b) {
			sent++
			b.sc.ApplyResult(b.now, MoveResult{Order: o, Answer: AnswerOK})
		}
	}
	assert.Assert(t, sent > perSecond*reserveShare && sent <= perSecond*(seconds+1), "%d orders", sent)
}

// Moves of machines that no pool needs are deferrable and must leave tokens for a pool that lacks machines.
func TestDeferrableOrdersLeaveAReserve(t *testing.T) {
	var limiter orderLimiter
	limiter.refill(testStart, 64)
	for limiter.isAllowed(64, true) {
		limiter.take()
	}
	urgent := 0
	for ; limiter.isAllowed(64, false); urgent++ {
		limiter.take()
	}
	assert.Equal(t, urgent, 32)
	limiter.refill(testStart.Add(time.Second), 64)
	assert.Assert(t, limiter.isAllowed(64, true))
	limiter.refill(testStart.Add(time.Hour), 64)
	assert.Equal(t, limiter.tokens, 64.0, "the bucket holds no more than its capacity, even after an idle hour")
}

// Thousands of workers are idle. Polls of idle workers must not grow with the fleet.
func TestPollsOfIdleWorkersAreBounded(t *testing.T) {
	const workers, seconds = 2000, 8
	b := newIdleFleet(t, workers, 1)
	b.sc.options.AllowPoolMoves = false
	polls := 0
	for range seconds * 10 {
		b.advance(time.Second / 10)
		polls += len(b.orders)
		b.answerPolls()
	}
	assert.Assert(t, polls > 0 && polls <= int(seconds*time.Second/idlePollIntervalPerWorker)+workers, "%d polls", polls)
}
