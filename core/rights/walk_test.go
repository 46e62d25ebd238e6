package rights

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestLimitHoldsInAnyInterleaving(t *testing.T) {
	scenarios := []struct {
		testName      string
		changesLimits bool
		seeds         uint64
	}{
		{"fixed limit", false, 1000},
		{"limit raised and lowered", true, 1000},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			increases := 0
			for seed := range s.seeds {
				w := newWalk(seed, noMutation, s.changesLimits)
				assert.Equal(t, w.run(2500), "", "seed %d", seed)
				usable, limit := w.settle()
				assert.Equal(t, usable, limit, "seed %d: rights were lost permanently", seed)
				increases += w.increases
			}
			t.Logf("%d walks, %d recounts that added rights", s.seeds, increases)
		})
	}
}

func TestEveryMutationViolatesTheLimit(t *testing.T) {
	for _, injected := range []mutation{
		ownReportLast, noReportRefusal, noRecountCancel, noOrphans, noEpochCheck, noMemberCheck, noFreeze,
		noDeduplication, noLimitDecrease, noSameLimitsCheck, noFreezeOnLimitChange, timeoutMeansGone,
	} {
		t.Run(string(injected), func(t *testing.T) {
			changesLimits := injected == noLimitDecrease || injected == noSameLimitsCheck || injected == noFreezeOnLimitChange
			for seed := range uint64(3000) {
				if violation := newWalk(seed, injected, changesLimits).run(2500); violation != "" {
					t.Logf("seed %d, %s", seed, violation)
					return
				}
			}
			t.Fatal("the walk does not detect the mutation")
		})
	}
}

// TestEpochsAreUniqueAcrossRestarts guards against accepting a transfer from before a restart of all gates: epoch numbers
// start again at 1, so only the incarnations distinguish the epochs.
func TestEpochsAreUniqueAcrossRestarts(t *testing.T) {
	scenarios := []struct {
		testName       string
		before, after  []string
		expectedUsable int
	}{
		{"by incarnation", []string{"a.1", "b.1"}, []string{"a.2", "b.2"}, 4},
		{"mutation: by address", []string{"a", "b"}, []string{"a", "b"}, 7},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			a, b := New(s.before[0]), New(s.before[1])
			recountAll(t, a, 4, b)
			delayed, ok := a.StartTransfer(team, 3, b.Incarnation())
			assert.Assert(t, ok)
			a, b = New(s.after[0]), New(s.after[1])
			recountAll(t, a, 4, b)
			b.Accept(delayed)
			assert.Equal(t, a.Available(team)+b.Available(team), s.expectedUsable)
		})
	}
}

// TestEveryAddressIsQueriedTwice guards against double counting: a process starts at an address that a recount has already
// counted, and receives rights in an older recount that is still running.
func TestEveryAddressIsQueriedTwice(t *testing.T) {
	scenarios := []struct {
		testName       string
		before         *Ledger
		secondRound    bool
		expectedUsable int
	}{
		{"found empty", nil, true, 1},
		{"found another incarnation", New("gate-0.1"), true, 1},
		{"mutation: found empty, queried once", nil, false, 2},
		{"mutation: found another incarnation, queried once", New("gate-0.1"), false, 2},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			older, later, restarted := New("gate-1.1"), New("gate-2.1"), New("gate-0.2")
			limit := []TeamCount{NewTeamCount(team, 1)}
			addresses := []string{"0", "1", "2"}

			first := older.BeginRecount(addresses, "1")
			countAddress(older, "0", nil, first)
			countAddress(older, "2", later, first)
			countAddress(older, "2", later, first)
			second := later.BeginRecount(addresses, "2")
			countAddress(later, "0", s.before, second)

			countAddress(older, "0", restarted, first)
			commit, ok := older.FinishRecount(limit, nil)
			assert.Assert(t, ok && restarted.ApplyCommit(commit))
			transfer, ok := older.StartTransfer(team, 1, restarted.Incarnation())
			assert.Assert(t, ok && restarted.Accept(transfer))

			countAddress(later, "1", older, second)
			assert.DeepEqual(t, later.PendingAddresses(), []string{"0", "1"})
			if s.secondRound {
				countAddress(later, "0", restarted, second)
				countAddress(later, "1", older, second)
			} else {
				clear(later.recount.pending)
			}
			_, ok = later.FinishRecount(limit, nil)
			assert.Assert(t, ok)
			assert.Equal(t, restarted.Available(team)+later.Available(team), s.expectedUsable)
		})
	}
}

// countAddress sends the query to an address at which the given ledger answers, nil for no process.
func countAddress(initiator *Ledger, address string, responder *Ledger, q Query) {
	if responder == nil {
		initiator.RecordAbsence(address)
		return
	}
	if r, _, ok := responder.AnswerQuery(q); ok {
		initiator.RecordReport(address, r)
	}
}
