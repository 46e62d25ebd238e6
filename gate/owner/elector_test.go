package owner

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/core/timer"
)

// Guards against taking leases for expired that the previous owner has renewed behind a partition: a claim comes early if the owner
// refuses connections, and the time for which it may renew was counted as if all claims came late (review/5).
func TestPredecessorRenewalTimeCountsFromItsLastHeartbeat(t *testing.T) {
	scenarios := []struct {
		testName string
		view     View
		missed   bool // records were trimmed that this gate had not read
		expected time.Duration
	}{
		{"silent owner", View{name: "gate-1", lastSeen: -ownerTimeout}, false, maxHeartbeatAgeToRenew - ownerTimeout},
		{"owner refuses connections", View{name: "gate-1", lastSeen: -refusedOwnerTimeout, refusedConnection: true}, false, maxHeartbeatAgeToRenew - refusedOwnerTimeout},
		{"released a moment ago", View{name: "gate-1", released: true}, false, maxHeartbeatAgeToRenew},
		{"silent for long", View{name: "gate-1", lastSeen: -2 * maxHeartbeatAgeToRenew}, false, 0},
		{"silent for long as far as known", View{name: "gate-1", lastSeen: -2 * maxHeartbeatAgeToRenew}, true, maxHeartbeatAgeToRenew},
		{"no owner known", View{}, false, maxHeartbeatAgeToRenew},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			e := New(nil, "gate-2", "127.0.0.1:2", nil)
			now := timer.SinceBoot()
			e.view = s.view
			e.view.lastSeen += now
			if s.missed {
				e.missedAt = now
			}
			claim, err := json.Marshal(ownerRecord{Kind: kindClaim, Name: "gate-2", Address: "127.0.0.1:2", Instance: e.instance})
			assert.NilError(t, err)
			e.applyRecord(7, claim)
			assert.Equal(t, e.OwnEpoch(), int64(8))
			remaining := e.PredecessorRenewalTime()
			elapsed := timer.SinceBoot() - now
			assert.Assert(t, remaining <= s.expected && remaining >= max(0, s.expected-elapsed), "%v", remaining)
		})
	}
}
