package lead

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/sched"
)

// A panic while an order's answer is processed must not stop the owner. The order then counts as unanswered.
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
		t.Fatal("no result")
	}
}
