package sched

import (
	"testing"

	"gotest.tools/v3/assert"
)

// An operator has to see why machines stay in a pool that has idle cores.
func TestPoolLoadShowsWhatHoldsThePoolsMachines(t *testing.T) {
	b := newTestBench(t, 2)
	b.submit("a", oneCoreStep(3), StepSpec{Count: 1, CPU: 1000, LongRunning: true})
	b.answerStarts(AnswerOK)
	b.sc.workers["w1"].surplus = true
	b.sc.demand = map[string]*poolDemand{"pots": {backlog: backlog{secondsOfWork(7), secondsOfWork(5)}}}
	for _, l := range b.sc.PoolLoads(b.now) {
		if l.Pool() != "pots" {
			continue
		}
		assert.Equal(t, l.BatchCores(), 3.0)
		assert.Equal(t, l.Surplus(), 1)
		assert.Equal(t, l.UrgentWork(), 7.0)
		assert.Equal(t, l.LateWork(), 5.0)
	}
}
