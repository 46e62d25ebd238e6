package intake

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/admit"
	"mangowing/core/codes"
	"mangowing/core/sched"
	"mangowing/gate/lead"
)

// A flood of jobs while the owner can't be reached. Guards against more accepted jobs than the owner gets through (LOST), against a
// refusal of a job that may have been stored, and against one pool's flood that shuts out another.
func TestFloodIsRefusedBeforeItIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &scriptedLog{ends: make([]error, 1000)}
		service := &Service{inbox: inboxWriter{log: log, parts: 1}}
		service.BoundInbox()
		service.inboxBound.update(time.Now(), map[string]admit.Allowance{"hot": {Rate: 200, Burst: 400}})
		store := func(pool string, outcomeUnknown bool) Reply {
			spec := sched.JobSpec{ID: "5c0e7a21d94b36f8", Pool: pool, Steps: []sched.StepSpec{{Count: 8, CPU: 6000, EstimateMs: 1000}}}
			return service.storeWithoutOwner(t.Context(), &spec, []byte("job"), outcomeUnknown)
		}
		var mu sync.Mutex
		var wg sync.WaitGroup
		answers := map[codes.Code]int{}
		for range 100 {
			wg.Go(func() {
				reply := store("hot", false)
				mu.Lock()
				defer mu.Unlock()
				answers[reply.Code()]++
				assert.Check(t, reply.Code() == codes.OK || reply.RetryAfter() > 0 && reply.RetryAfter() <= maxInboxRetry+inboxRetrySpread)
			})
		}
		wg.Wait()
		assert.DeepEqual(t, answers, map[codes.Code]int{codes.OK: 9, codes.JobStoreAway: 91})
		_, _ = service.inboxBound.take(time.Now(), &sched.JobSpec{Pool: "hot", Steps: []sched.StepSpec{{Count: 1, CPU: 1000, EstimateMs: 1e9}}})
		appends := len(log.ends)
		assert.Equal(t, store("hot", false).Code(), codes.JobStoreAway)
		assert.Equal(t, store("hot", true).Code(), codes.JobUnsettled, "an earlier attempt may have been stored")
		assert.Equal(t, len(log.ends), appends, "nothing is sent")
		assert.Equal(t, store("calm", false).Code(), codes.OK, "no figure: the default")
	})
}

// The allowances of an owner that has been away for long. Guards against storing by the size of a pool that has shrunk meanwhile.
func TestOldAllowancesAreNotUsed(t *testing.T) {
	b := &inboxBound{}
	now := time.Now()
	b.update(now, map[string]admit.Allowance{"pots": {Rate: 1e6, Burst: 1e6}})
	large := sched.JobSpec{Pool: "pots", Steps: []sched.StepSpec{{Count: 1, CPU: 1000, EstimateMs: 300_000}}}
	take := func(at time.Time) bool { _, taken := b.take(at, &large); return taken }
	assert.Assert(t, !b.isDue(now) && b.isDue(now.Add(allowanceRefreshTime)))
	assert.Assert(t, take(now) && take(now))
	now = now.Add(maxAllowanceAge + time.Second)
	assert.Assert(t, take(now), "the default bucket is full")
	assert.Assert(t, !take(now), "300 core-seconds are more than its burst")
	b.update(now, nil)
	assert.Assert(t, !take(now))
	var none *inboxBound
	_, taken := none.take(now, &large)
	assert.Assert(t, taken, "no bound without the setting")
}

// Guards against answers whose allowances get lost between gates, and against owners and gates of different versions.
func TestAllowancesTravelWithAnswers(t *testing.T) {
	_, handle := (&Service{localOwner: ownerWithAllowances{}}).PeerHandler()
	for _, wanted := range []string{"", `,"wants-allowances":true`} {
		answer, err := handle(t.Context(), []byte(`{"kind":"state","id":"x"`+wanted+`}`))
		assert.NilError(t, err)
		assert.Equal(t, len(answer.(response).Allowances) > 0, strings.Contains(wanted, "wants"))
	}
}

// ownerWithAllowances is an owner that knows no job.
type ownerWithAllowances struct{ LocalOwner }

// State returns that the job is unknown.
func (ownerWithAllowances) State(context.Context, string) lead.Answer {
	return lead.NewRefusal(codes.JobUnknown, 0)
}

// InboxAllowances returns that of one pool.
func (ownerWithAllowances) InboxAllowances() map[string]admit.Allowance {
	return map[string]admit.Allowance{"pots": admit.DefaultAllowance}
}
