package feed

import (
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"mangowing/gate/owner"
)

// Guards against an odd record in the list of gates: one that claims endless cores made all others count as weak.
func TestOddGateEntriesAreSkipped(t *testing.T) {
	for raw, usable := range map[string]bool{
		`{"address":"10.0.0.1:7000","processor":0.4}`:                                                true,
		`{"address":"10.0.0.1:7000","processor":1e300}`:                                              false,
		`{"address":"10.0.0.1:7000","processor":1e999}`:                                              false,
		`{"address":"10.0.0.1:7000","processor":-1}`:                                                 false,
		`{"address":"10.0.0.1:99999","processor":1}`:                                                 false,
		`{"address":7,"processor":1}`:                                                                false,
		`{"address":"10.0.0.1:7000","processor":1,"data-centre":"north"}`:                            true,
		`{"address":"10.0.0.1:7000","processor":1,"data-centre":7}`:                                  false,
		`{"address":"10.0.0.1:7000","processor":1,"data-centre":"` + strings.Repeat("n", 300) + `"}`: false,
		`{}`: false, `null`: false, `[`: false, ``: false,
	} {
		_, err := parseGateEntry([]byte(raw))
		assert.Equal(t, err == nil, usable, raw)
	}
}

// peerNetwork gives each call the same answer.
type peerNetwork struct {
	Network
	answer syncResult
}

// Call stores the answer in result.
func (n peerNetwork) Call(_ context.Context, _, _ string, _, result any) error {
	*result.(*syncResult) = n.answer
	return nil
}

// Guards against a configuration that never grows old: a peer's answer with a negative age confirmed it for times to come.
func TestPeerAnswerOutOfRangeIsNone(t *testing.T) {
	for answer, usable := range map[syncResult]bool{
		{Version: 7, AgeMs: 5000}:  true,
		{Version: 7, AgeMs: -5000}: false,
		{Version: -7, AgeMs: 5000}: false,
	} {
		p := &Peers{network: peerNetwork{answer: answer}, elector: owner.New(nil, "gate", "127.0.0.1:1", nil)}
		assert.Equal(t, p.queryPeer(context.Background(), "127.0.0.1:2") != PeerVersion{}, usable, "%+v", answer)
	}
}
