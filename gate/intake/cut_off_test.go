package intake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/core/sched"
	"mangowing/gate/feed"
)

// Guards against the callers of a data centre that is cut off returning all together, which they did once its configuration was old.
func TestRefusalsOfAGateThatIsCutOffAreSpread(t *testing.T) {
	for _, cutOff := range []bool{true, false} {
		service := &Service{configs: feed.NewConfigs(nil, nil), cutOff: func() bool { return cutOff }}
		times := map[time.Duration]bool{}
		for range 20 {
			reply := service.Submit(t.Context(), Call{}, sched.JobSpec{})
			assert.Equal(t, reply.Code(), codes.ConfigStale)
			times[reply.RetryAfter()] = true
		}
		assert.Equal(t, len(times) > 1, cutOff)
	}
}
