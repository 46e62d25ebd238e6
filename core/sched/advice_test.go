package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/setup"
)

// Guards against a step that is never started, since the policy service was only ever asked about the same few workers and allowed none
// of them (review/more/advice.txt).
func TestAllWorkersAreAskedAbout(t *testing.T) {
	const workers = 2*maxAdviceWorkers + 5
	b := newTestBench(t, workers)
	b.sc.Configure(b.now, setup.New(2, []setup.Queue{{
		Name: "plans", Pool: "pots", MaxAttempts: 2, Advice: setup.AdviceConfig{CallTime: 20 * time.Millisecond, Validity: 3 * time.Second},
	}}, []setup.Pool{{Name: "pots", EnforcesCapacity: true}}, []setup.Team{{Name: "floor"}}, setup.Limits{}))
	allowed := b.sc.workersByID[workers-1].id
	b.submit("a", oneCoreStep(2))
	asked := map[string]int{}
	answer := func(result OrderAnswer) {
		for _, o := range takeOrders[RequestAdvice](b) {
			res := AdviceResult{Order: o, Answer: result, Tickets: map[string]string{}, Validity: 3 * time.Second, SentAt: b.now}
			for _, id := range o.Workers {
				asked[id]++
				if id == allowed {
					res.Tickets[id] = "ticket"
				}
			}
			b.sc.ApplyResult(b.now, res)
		}
	}
	answer(AnswerUnknown)
	var starts []StartTask
	for range 30 {
		b.advance(100 * time.Millisecond)
		b.answerPolls()
		answer(AnswerOK)
		starts = append(starts, b.answerStarts(AnswerOK)...)
	}
	assert.Equal(t, len(starts), 2)
	for _, o := range starts {
		assert.Equal(t, o.Worker, allowed)
	}
	for id, n := range asked {
		assert.Assert(t, n <= 2, fmt.Sprintf("%s was asked about %d times", id, n))
	}
}
