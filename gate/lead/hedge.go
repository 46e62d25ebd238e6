package lead

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"mangowing/gate/ports"
)

// Hedged calls f, and calls it again in parallel when delay passes without a result, up to the given number of tries. The delay
// grows with each try. Hedged returns the first success. Once all started calls have failed it returns the last error that
// isn't ports.ErrRejected, and ports.ErrRejected only if all were rejected. If the context ends, the error wraps
// ports.ErrOutcomeUnknown.
func Hedged[T any](ctx context.Context, delay time.Duration, tries int, f func(context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		value T
		err   error
	}
	results := make(chan outcome, tries)
	startTry := func() {
		go func() {
			v, err := f(ctx)
			results <- outcome{v, err}
		}()
	}
	startTry()
	started, ended := 1, 0
	var failure outcome
	next := time.NewTimer(delay)
	defer next.Stop()
	for {
		select {
		case r := <-results:
			if r.err == nil {
				return r.value, nil
			}
			ended++
			// A rejection says nothing of the other calls, which may have taken effect.
			if failure.err == nil || !errors.Is(r.err, ports.ErrRejected) {
				failure = r
			}
			if ended == started {
				return failure.value, failure.err
			}
		case <-next.C:
			if started < tries {
				startTry()
				started++
				next.Reset(delay * time.Duration(started))
			}
		case <-ctx.Done():
			var none T
			return none, eris.Wrap(ports.ErrOutcomeUnknown, ctx.Err().Error())
		}
	}
}
