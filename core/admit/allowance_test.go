package admit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against floods that are stored without the owner, and against a bound that large jobs never pass.
func TestBucketBoundsWhatIsStored(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	a := AllowanceOf(2000, 10)
	assert.Equal(t, a, Allowance{Rate: 400, Burst: 800})
	var b Bucket
	stored := 0.0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		if wait, taken := b.Take(now, a, 50); taken {
			stored += 50
		} else {
			assert.Assert(t, wait > 0 && wait < time.Second, "%v", wait)
		}
	}
	assert.Assert(t, stored >= 400*10 && stored <= 400*10+800+50, "%g core-seconds in 10 s", stored)
	now = now.Add(10 * time.Second)
	_, taken := b.Take(now, a, 5000)
	assert.Assert(t, taken, "larger than the burst")
	wait, taken := b.Take(now, a, 1)
	assert.Assert(t, !taken && wait >= 10*time.Second, "%v", wait)
	assert.Equal(t, AllowanceOf(0, 100), DefaultAllowance)
}

// Guards against one job of a day's work that keeps all others of its pool out long after the outage.
func TestLargeJobBlocksOthersForABoundedTime(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_000)
	var b Bucket
	_, taken := b.Take(now, DefaultAllowance, 1e9)
	assert.Assert(t, taken)
	_, taken = b.Take(now.Add(maxAllowanceDebt-time.Second), DefaultAllowance, 1)
	assert.Assert(t, !taken)
	_, taken = b.Take(now.Add(maxAllowanceDebt+time.Second), DefaultAllowance, 1)
	assert.Assert(t, taken)
}
