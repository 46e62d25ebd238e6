package sched

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestTeamLimitIsEnforced(t *testing.T) {
	b := newTestBench(t, 20)
	result, _ := b.sc.Submit(b.now, JobSpec{ID: "a", Queue: "plans", Pool: "pots", Team: "retail", Steps: []StepSpec{oneCoreStep(80)}})
	assert.Equal(t, result, Accepted)
	b.decideAndStore()
	assert.Equal(t, len(takeOrders[StartTask](b)), 64)
}

func TestGangStartsAllTasksOrNone(t *testing.T) {
	gang := oneCoreStep(6)
	gang.Gang = true
	b := newTestBench(t, 1)
	b.submit("a", gang)
	assert.Equal(t, len(takeOrders[StartTask](b)), 0)
	b.addWorker("w2", "pots")
	b.listWorkers()
	b.answerPolls()
	starts := takeOrders[StartTask](b)
	assert.Equal(t, len(starts), 6)
	for _, s := range starts {
		assert.Equal(t, s.Attempt, 1)
	}
}

func TestAntiAffinityAndLabels(t *testing.T) {
	spread := oneCoreStep(4)
	spread.MaxPerWorker = 1
	labelled := oneCoreStep(1)
	labelled.Label = "missing"
	b := newTestBench(t, 3)
	b.submit("a", spread)
	b.submit("b", labelled)
	assert.Equal(t, len(takeOrders[StartTask](b)), 3)
}
