package ticket

import (
	"testing"

	"gotest.tools/v3/assert"
)

const walkSteps = 2000

func TestNothingStartsTwiceInAnyInterleaving(t *testing.T) {
	started := 0
	for seed := range uint64(300) {
		w := newWalk(seed, noMutation)
		assert.Equal(t, w.run(walkSteps), "", "seed %d", seed)
		for _, n := range w.starts {
			started += n
		}
	}
	t.Logf("%d requests ran once", started)
}

func TestEveryMutationIsDetected(t *testing.T) {
	for _, injected := range []mutation{
		predecessorKeepsEntries, peerDecidesForGoneGate, runningHandedOverAsUnstarted,
		startsWithoutFirstClaim, startsWithoutReadBack, startsOnForgottenClaim,
		peersNotAsked, youngPeersTrusted, expiredTicketsAccepted,
		repeatStartsAgain,
	} {
		t.Run(string(injected), func(t *testing.T) {
			for seed := range uint64(300) {
				if violation := newWalk(seed, injected).run(walkSteps); violation != "" {
					t.Logf("seed %d, %s", seed, violation)
					return
				}
			}
			t.Fatal("the walk does not detect the mutation")
		})
	}
}
