package lead

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/sched"
)

// An order whose answer takes its code by surprise has no answer; the owner goes on.
func TestOrderThatPanicsHasNoAnswer(t *testing.T) {
	term := &term{results: make(chan sched.OrderResult, 1)}
	move := sched.MoveMachine{Machine: "m", Pool: "pots"}
	none := sched.MoveResult{Order: move, Answer: sched.AnswerUnknown}
	term.runAsync(context.Background(), time.Second, none, func(context.Context) sched.OrderResult {
		var lists map[string][]string
		return sched.MoveResult{Order: move, Answer: sched.OrderAnswer(len(lists["missing"][3]))}
	})
	select {
	case r := <-term.results:
		assert.Equal(t, r, sched.OrderResult(none))
	case <-time.After(time.Second):
		t.Fatal("no report")
	}
}
