package rights

import (
	"maps"
	"slices"
)

// Ledger holds the rights of one gate incarnation. It is not safe for concurrent use.
type Ledger struct {
	incarnation        string
	accounts           map[string]*account
	appliedOffset      uint64
	hasState           bool   // ApplyLimitChanges was called
	limitsChangedAt    uint64 // offset of the last change of any allotment
	minBasis           uint64 // offset on which a recount must at least be based
	epoch              Epoch
	highestEpochNumber uint64             // seen so far
	committed          Commit             // of the last committed recount
	lastSequence       uint64             // of the transfers sent
	receiveWindows     map[string]*window // by sender
	recount            *recount           // initiated by this gate, or nil
	beforeEpoch        *epochState
}

// epochState is the state to restore when the initiator of the current epoch abandons it.
type epochState struct {
	epoch          Epoch
	receiveWindows map[string]*window
}

// account holds one team's rights. A negative number of available rights is a deficit, which released rights make up for.
type account struct {
	available      int
	inUse          int
	limitChangedAt uint64
}

// New returns the empty ledger of a gate incarnation.
func New(incarnation string) *Ledger {
	return &Ledger{incarnation: incarnation, accounts: map[string]*account{}, receiveWindows: map[string]*window{}}
}

// Incarnation returns the incarnation that the ledger belongs to.
func (l *Ledger) Incarnation() string { return l.incarnation }

// Epoch returns the last epoch that the ledger adopted.
func (l *Ledger) Epoch() Epoch { return l.epoch }

// Members returns the incarnations that the last committed recount counted, sorted.
func (l *Ledger) Members() []string { return l.committed.w.Roster }

// CanTransfer reports whether transfers are possible: the current epoch is committed, this incarnation was counted in
// it, and the gate has folded the state on which the recount is based.
func (l *Ledger) CanTransfer() bool {
	return l.epoch == l.committed.w.Epoch && l.isMember(l.incarnation) && l.appliedOffset >= l.committed.w.Basis
}

// NeedsRecount reports whether an allotment changed since the last committed recount began.
func (l *Ledger) NeedsRecount() bool { return l.limitsChangedAt > l.committed.w.Basis }

// IsWithinLimit reports whether a recount that is based on the state at the offset or later found that all gates together
// are within the team's allotment.
func (l *Ledger) IsWithinLimit(team string, offset uint64) bool {
	_, over := slices.BinarySearch(l.committed.w.Over, team)
	return l.CanTransfer() && l.committed.w.Basis >= offset && !over
}

// Available returns the number of the team's free rights. It is negative while more work runs than a lowered limit allows.
func (l *Ledger) Available(team string) int { return l.accountOf(team).available }

// InUse returns the number of the team's rights held by work that is not known to have ended.
func (l *Ledger) InUse(team string) int { return l.accountOf(team).inUse }

// Teams returns the teams of which the gate holds rights or a deficit, sorted.
func (l *Ledger) Teams() []string { return slices.Sorted(maps.Keys(l.accounts)) }

// Acquire takes one right for one start and returns false if none is available.
func (l *Ledger) Acquire(team string) bool {
	a, ok := l.accounts[team]
	if !ok || a.available <= 0 {
		return false
	}
	a.available--
	a.inUse++
	return true
}

// Release frees one right after its work is known to have ended. It returns false if no right is in use.
func (l *Ledger) Release(team string) bool {
	a, ok := l.accounts[team]
	if !ok || a.inUse <= 0 {
		return false
	}
	a.inUse--
	a.available++
	l.deleteIfEmpty(team)
	return true
}

// StartTransfer subtracts available rights and returns them as a transfer. It returns false if they can't be transferred to
// that incarnation now.
func (l *Ledger) StartTransfer(team string, count int, to string) (Transfer, bool) {
	a := l.accountOf(team)
	if count <= 0 || a.available < count || !l.canTransferTo(to) || l.isFrozen(team) {
		return Transfer{}, false
	}
	return l.createTransfer(to, []TeamCount{NewTeamCount(team, count)}), true
}

// TransferAll subtracts all available rights and returns them as one transfer. It returns false if none can be transferred
// to that incarnation.
func (l *Ledger) TransferAll(to string) (Transfer, bool) {
	if !l.canTransferTo(to) {
		return Transfer{}, false
	}
	var all []TeamCount
	for _, team := range l.Teams() {
		if available := l.Available(team); available > 0 && !l.isFrozen(team) {
			all = append(all, NewTeamCount(team, available))
		}
	}
	if len(all) == 0 {
		return Transfer{}, false
	}
	return l.createTransfer(to, all), true
}

// Accept adds a transfer's rights. It returns false for a duplicate, for another receiver or epoch, and for a sender that
// the recount did not count.
func (l *Ledger) Accept(t Transfer) bool {
	if t.w.To != l.incarnation || t.w.Epoch != l.epoch || !l.canTransferTo(t.w.From) {
		return false
	}
	if !l.receiveWindow(t.w.From).markReceived(t.w.Seq) {
		return false
	}
	for _, c := range t.w.Rights {
		if c.Count() > 0 && !l.isFrozen(c.Team()) {
			l.openAccount(c.Team()).available += c.Count()
			l.deleteIfEmpty(c.Team())
		}
	}
	return true
}

// ApplyLimitChanges records that the gate folded the log up to the offset. Changed holds the teams whose allotments changed,
// each with the amount of the decrease, 0 for none. A decrease takes available rights first and the rest from rights as they
// are released. Every gate subtracts the whole decrease; the next recount corrects that. The first call states where the
// gate starts in the log; allotments may have changed before that offset.
func (l *Ledger) ApplyLimitChanges(offset uint64, changed []TeamCount) {
	l.appliedOffset = max(l.appliedOffset, offset)
	if l.hasState && len(changed) == 0 {
		return
	}
	l.hasState = true
	l.limitsChangedAt = l.appliedOffset
	l.minBasis = max(l.minBasis, l.appliedOffset)
	for _, c := range changed {
		a := l.openAccount(c.Team())
		a.limitChangedAt = l.appliedOffset
		a.available = max(a.available-c.Count(), -a.inUse)
	}
}

// AppliedOffset returns the offset up to which the gate folded the log.
func (l *Ledger) AppliedOffset() uint64 { return l.appliedOffset }

func (l *Ledger) createTransfer(to string, given []TeamCount) Transfer {
	for _, c := range given {
		l.accounts[c.Team()].available -= c.Count()
		l.deleteIfEmpty(c.Team())
	}
	l.lastSequence++
	return Transfer{transferWire{From: l.incarnation, Seq: l.lastSequence, To: to, Epoch: l.epoch, Rights: given}}
}

// isFrozen reports whether the team's allotment changed after the last recount began. The team's rights are not transferred
// until the next one: a gate that has not yet subtracted a decrease could send rights to one that already has.
func (l *Ledger) isFrozen(team string) bool {
	return l.accountOf(team).limitChangedAt > l.committed.w.Basis
}

func (l *Ledger) canTransferTo(peer string) bool {
	return l.CanTransfer() && peer != l.incarnation && l.isMember(peer)
}

func (l *Ledger) isMember(incarnation string) bool {
	_, found := slices.BinarySearch(l.committed.w.Roster, incarnation)
	return found
}

func (l *Ledger) accountOf(team string) account {
	if a, ok := l.accounts[team]; ok {
		return *a
	}
	return account{}
}

func (l *Ledger) openAccount(team string) *account {
	a, ok := l.accounts[team]
	if !ok {
		a = &account{}
		l.accounts[team] = a
	}
	return a
}

// deleteIfEmpty deletes an account without rights, unless it is frozen.
func (l *Ledger) deleteIfEmpty(team string) {
	if a := l.accounts[team]; a.available == 0 && a.inUse == 0 && !l.isFrozen(team) {
		delete(l.accounts, team)
	}
}

func (l *Ledger) receiveWindow(sender string) *window {
	w, ok := l.receiveWindows[sender]
	if !ok {
		w = &window{}
		l.receiveWindows[sender] = w
	}
	return w
}
