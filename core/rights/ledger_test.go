package rights

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

const team = "press-shop"

// pair returns two ledgers after a common recount; the first one holds all ten rights.
func pair(t *testing.T) (a, b *Ledger) {
	t.Helper()
	a, b = New("a.1"), New("b.1")
	recountAll(t, a, 10, b)
	return a, b
}

// recountAll runs a recount of the initiator and the others.
func recountAll(t *testing.T, initiator *Ledger, limit int, others ...*Ledger) {
	t.Helper()
	addresses := []string{initiator.Incarnation()}
	for _, o := range others {
		addresses = append(addresses, o.Incarnation())
	}
	q := initiator.BeginRecount(addresses, initiator.Incarnation())
	for range 2 {
		for _, o := range others {
			countAddress(initiator, o.Incarnation(), o, q)
		}
	}
	commit, ok := initiator.FinishRecount([]TeamCount{NewTeamCount(team, limit)}, nil)
	assert.Assert(t, ok)
	for _, o := range others {
		assert.Assert(t, o.ApplyCommit(commit))
	}
}

func TestTransfers(t *testing.T) {
	a, b := pair(t)
	transfer, ok := a.StartTransfer(team, 4, b.Incarnation())
	assert.Assert(t, ok)
	later, ok := a.StartTransfer(team, 1, b.Incarnation())
	assert.Assert(t, ok)
	stranger := New("c.1")
	scenarios := []struct {
		testName string
		receiver *Ledger
		transfer Transfer
		expected bool
	}{
		{"reordered: the later one first", b, later, true},
		{"the earlier one", b, transfer, true},
		{"repeated", b, transfer, false},
		{"repeated later one", b, later, false},
		{"another receiver", stranger, transfer, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			raw, err := json.Marshal(s.transfer)
			assert.NilError(t, err)
			var read Transfer
			assert.NilError(t, json.Unmarshal(raw, &read))
			assert.Equal(t, s.receiver.Accept(read), s.expected)
		})
	}
	assert.Equal(t, a.Available(team), 5)
	assert.Equal(t, b.Available(team), 5)
	_, ok = a.StartTransfer(team, 6, b.Incarnation())
	assert.Assert(t, !ok, "more than is available")
	_, ok = a.StartTransfer(team, 1, "c.1")
	assert.Assert(t, !ok, "not a member")
}

func TestHandOver(t *testing.T) {
	a, b := pair(t)
	assert.Assert(t, a.Acquire(team))
	transfer, ok := a.TransferAll(b.Incarnation())
	assert.Assert(t, ok)
	assert.Assert(t, b.Accept(transfer))
	assert.Equal(t, b.Available(team), 9)
	assert.Assert(t, !a.Acquire(team))
	assert.Assert(t, a.Release(team))
	assert.Assert(t, !a.Release(team), "no right in use")
	rest, ok := a.TransferAll(b.Incarnation())
	assert.Assert(t, ok)
	assert.Assert(t, b.Accept(rest))
	assert.Equal(t, len(a.Teams()), 0)
}

func TestLoweredLimit(t *testing.T) {
	scenarios := []struct {
		testName       string
		inUse          int
		decrease       int
		available      int
		released       int
		availableAfter int
	}{
		{"available rights only", 2, 5, 3, 2, 5},
		{"available rights, then released ones", 8, 5, -3, 4, 1},
		{"to zero", 10, 10, -10, 10, 0},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			a, b := pair(t)
			for range s.inUse {
				assert.Assert(t, a.Acquire(team))
			}
			a.ApplyLimitChanges(1, nil)
			a.ApplyLimitChanges(2, []TeamCount{NewTeamCount(team, s.decrease)})
			assert.Equal(t, a.Available(team), s.available)
			_, ok := a.StartTransfer(team, 1, b.Incarnation())
			assert.Assert(t, !ok, "no transfer before the next recount")
			for range s.released {
				assert.Assert(t, a.Release(team))
			}
			assert.Equal(t, a.Available(team), s.availableAfter)
			b.ApplyLimitChanges(2, []TeamCount{NewTeamCount(team, s.decrease)})
			recountAll(t, b, 10-s.decrease, a)
			assert.Equal(t, a.Available(team)+a.InUse(team)+b.Available(team), 10-s.decrease)
		})
	}
}

func TestRecountRequiresTheSameLimits(t *testing.T) {
	scenarios := []struct {
		testName          string
		initiator, member uint64
		expected          bool
	}{
		{"the initiator has not folded the decrease", 1, 2, false},
		{"a member has not folded the decrease", 2, 1, false},
		{"both have", 2, 2, true},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			a, b := pair(t)
			for l, offset := range map[*Ledger]uint64{a: s.initiator, b: s.member} {
				l.ApplyLimitChanges(1, nil)
				if offset == 2 {
					l.ApplyLimitChanges(2, []TeamCount{NewTeamCount(team, 5)})
				}
			}
			q := a.BeginRecount([]string{"a", "b"}, "a")
			countAddress(a, "b", b, q)
			countAddress(a, "b", b, q)
			_, ok := a.FinishRecount([]TeamCount{NewTeamCount(team, 5)}, nil)
			assert.Equal(t, ok, s.expected)
		})
	}
}

func TestRecountClearsTheInitiatorsDeficit(t *testing.T) {
	a, b := pair(t)
	assert.Assert(t, a.Acquire(team))
	for _, l := range []*Ledger{a, b} {
		l.ApplyLimitChanges(1, nil)
		l.ApplyLimitChanges(2, []TeamCount{NewTeamCount(team, 10)})
		l.ApplyLimitChanges(3, []TeamCount{NewTeamCount(team, 0)})
	}
	assert.Equal(t, a.Available(team), -1)
	recountAll(t, a, 3, b)
	assert.Equal(t, a.Available(team), 2)
	assert.Equal(t, a.InUse(team), 1)
}

func TestRecountOfASingleGate(t *testing.T) {
	l := New("only")
	l.BeginRecount([]string{"address"}, "address")
	assert.Equal(t, len(l.PendingAddresses()), 0)
	_, ok := l.FinishRecount([]TeamCount{NewTeamCount("team", 3)}, nil)
	assert.Assert(t, ok)
	assert.Equal(t, l.Available("team"), 3)
}
