package sched

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLimitOfATeamHolds(t *testing.T) {
	b := newBench(t, 20)
	verdict, _ := b.m.Submit(b.now, JobSpec{ID: "a", Queue: "plans", Pool: "pots", Team: "retail", Steps: []StepSpec{oneCore(80)}})
	assert.Equal(t, verdict, Accepted)
	b.settle()
	assert.Equal(t, len(take[StartTask](b)), 64)
}

func TestGangStartsOnlyWhole(t *testing.T) {
	gang := oneCore(6)
	gang.Gang = true
	b := newBench(t, 1)
	b.submit("a", gang)
	assert.Equal(t, len(take[StartTask](b)), 0)
	b.addWorker("w2", "pots")
	b.list()
	b.answerLooks()
	starts := take[StartTask](b)
	assert.Equal(t, len(starts), 6)
	for _, s := range starts {
		assert.Equal(t, s.Attempt, 1)
	}
}

func TestAntiAffinityAndLabels(t *testing.T) {
	apart := oneCore(4)
	apart.MaxPerWorker = 1
	labelled := oneCore(1)
	labelled.Label = "missing"
	b := newBench(t, 3)
	b.submit("a", apart)
	b.submit("b", labelled)
	assert.Equal(t, len(take[StartTask](b)), 3)
}
