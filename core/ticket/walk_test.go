package ticket

import (
	"testing"

	"gotest.tools/v3/assert"
)

const walkSteps = 2000

func TestNothingStartsTwiceInAnyInterleaving(t *testing.T) {
	started := 0
	for seed := range uint64(300) {
		w := newWalk(seed, noSlip)
		assert.Equal(t, w.run(walkSteps), "", "seed %d", seed)
		for _, n := range w.starts {
			started += n
		}
	}
	t.Logf("%d requests ran once", started)
}

func TestEachSlipStartsTwiceOrLies(t *testing.T) {
	for _, s := range []slip{
		giverKeeps, heirSeized, runsForgotten, ownClaimSuffices, noReadBack, claimIsMemory, peersNotAsked, youngPeersCount,
		noHorizon, repeatStarts,
	} {
		t.Run(string(s), func(t *testing.T) {
			for seed := range uint64(300) {
				if breach := newWalk(seed, s).run(walkSteps); breach != "" {
					t.Logf("seed %d, %s", seed, breach)
					return
				}
			}
			t.Fatal("the walk does not notice the slip")
		})
	}
}
