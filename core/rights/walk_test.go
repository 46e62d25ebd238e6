package rights

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLimitHoldsInAnyInterleaving(t *testing.T) {
	scenarios := []struct {
		testName   string
		mayRelimit bool
		seeds      uint64
	}{
		{"fixed limit", false, 400},
		{"limit raised and lowered", true, 400},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			mints := 0
			for seed := range s.seeds {
				w := newWalk(seed, noSlip, s.mayRelimit)
				assert.Equal(t, w.run(2500), "", "seed %d", seed)
				usable, limit := w.settle()
				assert.Equal(t, usable, limit, "seed %d: rights leaked for good", seed)
				mints += w.mints
			}
			t.Logf("%d walks, %d recounts that added rights", s.seeds, mints)
		})
	}
}

func TestEachSlipBreaksTheLimit(t *testing.T) {
	for _, s := range []slip{
		ownCountLast, noRefusal, noCancel, deadForgotten, noEpochOnGift, noRoster, noFreeze,
		noSequence, noBurn, noViewCheck, tradeAfterChange, silenceIsDeath,
	} {
		t.Run(string(s), func(t *testing.T) {
			relimit := s == noBurn || s == noViewCheck || s == tradeAfterChange
			for seed := range uint64(3000) {
				if breach := newWalk(seed, s, relimit).run(2500); breach != "" {
					t.Logf("seed %d, %s", seed, breach)
					return
				}
			}
			t.Fatal("the walk does not notice the slip")
		})
	}
}

// All gates of a data centre are replaced while a transfer is under way; numbers of epochs begin anew.
func TestEpochsNameIncarnations(t *testing.T) {
	scenarios := []struct {
		testName       string
		before, after  []string
		expectedUsable int
	}{
		{"by incarnation", []string{"a.1", "b.1"}, []string{"a.2", "b.2"}, 4},
		{"slip: by address", []string{"a", "b"}, []string{"a", "b"}, 7},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			a, b := New(s.before[0]), New(s.before[1])
			recountAll(t, a, 4, b)
			late, ok := a.Give(team, 3, b.Incarnation())
			assert.Assert(t, ok)
			a, b = New(s.after[0]), New(s.after[1])
			recountAll(t, a, 4, b)
			b.Accept(late)
			assert.Equal(t, a.Spare(team)+b.Spare(team), s.expectedUsable)
		})
	}
}
