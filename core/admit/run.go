package admit

import "time"

// endShare is the share of tasks that end after a multiple of their estimate.
type endShare struct {
	factor float64
	share  float64
}

// endSpread is how the run times of tasks are spread around their estimates. Estimates are rough, and 3 of 100 tasks may take up to
// seven times as long, so that one which is well past its estimate is not about to end.
var endSpread = [...]endShare{{0.9, 0.3}, {1.05, 0.4}, {1.3, 0.27}, {3, 0.01}, {5, 0.01}, {7, 0.01}}

// AddRun takes the cores of a running task from the timeline until it is expected to end. It has run for the given time of its
// estimate. Cores of a task that is past all expectation are not expected back.
func (t *Timeline) AddRun(cores float64, elapsed, estimate time.Duration) {
	t.change[0] -= cores
	t.isCurrent = false
	left := 0.0
	for _, e := range endSpread {
		if e.end(estimate) > elapsed {
			left += e.share
		}
	}
	if left == 0 {
		return
	}
	for _, e := range endSpread {
		if end := e.end(estimate); end > elapsed {
			t.AddCores(cores*e.share/left, end-elapsed)
		}
	}
}

// end returns when the tasks have ended, from their start on. Starts and ends take some time to be known, so that less than a slot is
// no estimate.
func (e endShare) end(estimate time.Duration) time.Duration {
	return time.Duration(e.factor * float64(max(estimate, SlotTime)))
}

// ExpectedEnd returns in what time a task that has run for the given time of its estimate is expected to have ended, with its usual
// spread: 97 of 100 tasks of that age have ended by then, unless it is known to be one of the others.
func ExpectedEnd(elapsed, estimate time.Duration) time.Duration {
	const usualEnds = 3 // of endSpread
	if end := endSpread[usualEnds-1].end(estimate); end > elapsed {
		return end - elapsed
	}
	return max(endSpread[len(endSpread)-1].end(estimate)-elapsed, estimate)
}
