package lead

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/gate/ports"
)

// Guards against taking a call for rejected although an earlier try got no answer and may have taken effect (review/2).
func TestHedgedForgetsNoTryWithoutAnswer(t *testing.T) {
	scenarios := []struct {
		testName string
		ends     []error // how each try ends; a later try ends later
		expected error
	}{
		{"rejected", []error{ports.ErrRejected}, ports.ErrRejected},
		{"all rejected", []error{ports.ErrRejected, ports.ErrRejected}, ports.ErrRejected},
		{"rejected after no answer", []error{ports.ErrOutcomeUnknown, ports.ErrRejected}, ports.ErrOutcomeUnknown},
		{"no answer after rejected", []error{ports.ErrRejected, ports.ErrOutcomeUnknown}, ports.ErrOutcomeUnknown},
		{"rejected, no answer, rejected", []error{ports.ErrRejected, ports.ErrOutcomeUnknown, ports.ErrRejected}, ports.ErrOutcomeUnknown},
		{"fenced before rejected", []error{ports.ErrFenced, ports.ErrRejected}, ports.ErrFenced},
		{"success after rejected", []error{ports.ErrRejected, nil}, nil},
		{"success after no answer", []error{ports.ErrOutcomeUnknown, ports.ErrRejected, nil}, nil},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				got := hedgeInOrder(s.ends)
				assert.Assert(t, errors.Is(got, s.expected), "%v", got)
			})
		})
	}
}

// hedgeInOrder makes a hedged call whose tries are all started before the first one ends, and end one after the other.
func hedgeInOrder(ends []error) error {
	const hedgeAfter = time.Millisecond
	tries := make(chan int, len(ends))
	for n := range ends {
		tries <- n
	}
	_, err := Hedged(context.Background(), hedgeAfter, len(ends), func(context.Context) (int, error) {
		n := <-tries
		time.Sleep(time.Second + time.Duration(n)*time.Second)
		return n, ends[n]
	})
	return err
}
