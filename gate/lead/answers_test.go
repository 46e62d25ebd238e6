package lead

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/core/sched"
)

// Guards against refusing a job, while the journal can't be written, whose record an earlier try of its caller has put into the
// append in flight: the job would run although it was called refused.
func TestSubmittedJobIsNotRefusedWhileTheJournalCantBeWritten(t *testing.T) {
	now := time.Unix(1000, 0)
	term := &term{scheduler: sched.New(sched.Options{})}
	term.scheduler.TakeOwnership(now, 0)
	submit := func(id string) chan Answer {
		reply := make(chan Answer, 1)
		term.submit(now, submitCall{sched.JobSpec{ID: id, Queue: "plans", Pool: "pots", Steps: []sched.StepSpec{{Count: 1, CPU: 1}}}, reply})
		return reply
	}
	submit("first")
	term.appendInFlight, term.appendStartedAt = true, now.Add(-logUnavailableAfter-time.Millisecond)
	repeated, other := submit("first"), submit("other")
	assert.Equal(t, len(repeated), 0, "the answer comes with the result of the append")
	assert.Equal(t, len(other), 1)
	answer := <-other
	assert.Equal(t, answer.Code(), codes.JobStoreAway)
}
