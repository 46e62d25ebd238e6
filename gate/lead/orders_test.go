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

// Guards against an order that goes out after the right to give it has passed: the process was paused between the dispatch and the call.
func TestOrderIsWithdrawnWhenTheRightToOrderHasPassed(t *testing.T) {
	move := sched.MoveMachine{Machine: "m", Pool: "pots"}
	withdrawn := sched.MoveResult{Order: move, Answer: sched.AnswerWithdrawn}
	for _, allowed := range []bool{true, false} {
		sent := false
		result := ifAllowed(func() bool { return allowed }, withdrawn, func() sched.OrderResult {
			sent = true
			return sched.MoveResult{Order: move}
		})
		assert.Equal(t, sent, allowed)
		assert.Equal(t, result == sched.OrderResult(withdrawn), !allowed)
	}
}
