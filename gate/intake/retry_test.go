package intake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
)

// Guards against a retry storm: while the owner was short of CPU time, the other gates repeated each waiting request every 60 ms, some
// thousand calls a second, so that it lost the ownership (review/more/flood-over-outages.toml).
func TestPausesGrowWhileTheOwnerDoesNotAnswer(t *testing.T) {
	p := newRetryPauses()
	calls, last := 0, time.Duration(0)
	for passed := time.Duration(0); passed < 3*time.Second; calls++ {
		last = p.after(codes.JobUnsettled)
		assert.Assert(t, last > 0 && last <= maxRetryPause*3/2)
		passed += last
	}
	assert.Assert(t, calls <= 20, "%d calls in 3 s", calls)
	assert.Assert(t, last > retryPause)
	assert.Equal(t, p.after(codes.NotOwner), retryPause, "a gate that is not the owner answers at once")
}
