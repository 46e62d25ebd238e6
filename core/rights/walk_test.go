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
		{"fixed limit", false, 1000},
		{"limit raised and lowered", true, 1000},
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
			late, ok := a.StartTransfer(team, 3, b.Incarnation())
			assert.Assert(t, ok)
			a, b = New(s.after[0]), New(s.after[1])
			recountAll(t, a, 4, b)
			b.Accept(late)
			assert.Equal(t, a.Available(team)+b.Available(team), s.expectedUsable)
		})
	}
}

// A process is born at an address that a recount has counted, and is counted itself in an older one that still goes on.
func TestAddressesAreAskedTwice(t *testing.T) {
	scenarios := []struct {
		testName       string
		before         *Ledger
		askAgain       bool
		expectedUsable int
	}{
		{"found empty", nil, true, 1},
		{"found another incarnation", New("gate-0.1"), true, 1},
		{"slip: found empty, asked once", nil, false, 2},
		{"slip: found another incarnation, asked once", New("gate-0.1"), false, 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			older, later, born := New("gate-1.1"), New("gate-2.1"), New("gate-0.2")
			limit := []TeamCount{NewTeamCount(team, 1)}
			addresses := []string{"0", "1", "2"}

			first := older.BeginRecount(addresses, "1")
			count(older, "0", nil, first)
			count(older, "2", later, first)
			count(older, "2", later, first)
			second := later.BeginRecount(addresses, "2")
			count(later, "0", s.before, second)

			count(older, "0", born, first)
			commit, ok := older.FinishRecount(limit, nil)
			assert.Assert(t, ok && born.ApplyCommit(commit))
			gift, ok := older.StartTransfer(team, 1, born.Incarnation())
			assert.Assert(t, ok && born.Accept(gift))

			count(later, "1", older, second)
			assert.DeepEqual(t, later.PendingAddresses(), []string{"0", "1"})
			if s.askAgain {
				count(later, "0", born, second)
				count(later, "1", older, second)
			} else {
				clear(later.recount.missing)
			}
			_, ok = later.FinishRecount(limit, nil)
			assert.Assert(t, ok)
			assert.Equal(t, born.Available(team)+later.Available(team), s.expectedUsable)
		})
	}
}

// count lets the initiator ask an address where the given ledger answers, nil for none.
func count(initiator *Ledger, address string, there *Ledger, q Query) {
	if there == nil {
		initiator.RecordAbsence(address)
		return
	}
	if r, _, ok := there.AnswerQuery(q); ok {
		initiator.RecordReport(address, r)
	}
}
