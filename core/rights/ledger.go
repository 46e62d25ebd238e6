package rights

import (
	"maps"
	"slices"
)

// Ledger holds the rights of one gate incarnation; one goroutine owns it.
type Ledger struct {
	incarnation string
	accounts    map[string]*account
	folded      uint64
	followed    bool
	changed     uint64
	floor       uint64
	epoch       Epoch
	highest     uint64
	committed   Commit
	sequence    uint64
	received    map[string]*window
	recount     *recount
	undo        *previous
}

// previous is what the ledger goes back to when the initiator of the last epoch gives it up.
type previous struct {
	epoch    Epoch
	received map[string]*window
}

// account is one team's rights; a negative spare is a debt that returning rights pay off.
type account struct {
	spare     int
	spent     int
	changedAt uint64
}

// New returns the empty ledger of a gate incarnation.
func New(incarnation string) *Ledger {
	return &Ledger{incarnation: incarnation, accounts: map[string]*account{}, received: map[string]*window{}}
}

// Incarnation returns the incarnation that the ledger belongs to.
func (l *Ledger) Incarnation() string { return l.incarnation }

// Epoch returns the last epoch taken.
func (l *Ledger) Epoch() Epoch { return l.epoch }

// Members returns the incarnations counted in the last committed recount, in order.
func (l *Ledger) Members() []string { return l.committed.w.Roster }

// CanTransfer tells whether transfers flow: the last epoch taken is committed, this incarnation was counted in it,
// and the gate has folded the state that the recount rests on.
func (l *Ledger) CanTransfer() bool {
	return l.epoch == l.committed.w.Epoch && l.inRoster(l.incarnation) && l.folded >= l.committed.w.Basis
}

// NeedsRecount tells whether an allotment changed since the last committed recount began.
func (l *Ledger) NeedsRecount() bool { return l.changed > l.committed.w.Basis }

// IsWithinLimit tells whether a recount that rests on the state at the offset or later found all gates together within the
// team's allotment.
func (l *Ledger) IsWithinLimit(team string, offset uint64) bool {
	_, over := slices.BinarySearch(l.committed.w.Over, team)
	return l.CanTransfer() && l.committed.w.Basis >= offset && !over
}

// Available returns the team's rights free to spend; negative while a lowered limit's running work has to end.
func (l *Ledger) Available(team string) int { return l.view(team).spare }

// InUse returns the team's rights spent on work that has not surely ended.
func (l *Ledger) InUse(team string) int { return l.view(team).spent }

// Teams returns the teams that the gate holds any rights or debts of, in order.
func (l *Ledger) Teams() []string { return slices.Sorted(maps.Keys(l.accounts)) }

// Acquire takes one right for one start, false where none is spare.
func (l *Ledger) Acquire(team string) bool {
	a, ok := l.accounts[team]
	if !ok || a.spare <= 0 {
		return false
	}
	a.spare--
	a.spent++
	return true
}

// Release gives one spent right back after its work has surely ended; false where none was spent.
func (l *Ledger) Release(team string) bool {
	a, ok := l.accounts[team]
	if !ok || a.spent <= 0 {
		return false
	}
	a.spent--
	a.spare++
	l.drop(team)
	return true
}

// StartTransfer subtracts spare rights and returns them as a transfer, false where they can't go to that incarnation now.
func (l *Ledger) StartTransfer(team string, count int, to string) (Transfer, bool) {
	a := l.view(team)
	if count <= 0 || a.spare < count || !l.tradesWith(to) || l.frozen(team) {
		return Transfer{}, false
	}
	return l.send(to, []TeamCount{NewTeamCount(team, count)}), true
}

// TransferAll subtracts all spare rights and returns them as one transfer, false where nothing can go to that incarnation.
func (l *Ledger) TransferAll(to string) (Transfer, bool) {
	if !l.tradesWith(to) {
		return Transfer{}, false
	}
	var all []TeamCount
	for _, team := range l.Teams() {
		if spare := l.Available(team); spare > 0 && !l.frozen(team) {
			all = append(all, NewTeamCount(team, spare))
		}
	}
	if len(all) == 0 {
		return Transfer{}, false
	}
	return l.send(to, all), true
}

// Accept adds a transfer's rights once; false for a repeat, another receiver, epoch or an uncounted sender.
func (l *Ledger) Accept(t Transfer) bool {
	if t.w.To != l.incarnation || t.w.Epoch != l.epoch || !l.tradesWith(t.w.From) {
		return false
	}
	if !l.receivedFrom(t.w.From).take(t.w.Seq) {
		return false
	}
	for _, c := range t.w.Rights {
		if c.Count() > 0 && !l.frozen(c.Team()) {
			l.open(c.Team()).spare += c.Count()
			l.drop(c.Team())
		}
	}
	return true
}

// ApplyLimitChanges notes that the gate folded the log up to the offset, where the teams' allotments changed and fell by the given counts,
// 0 for one that did not fall. Spare rights are burned first and returning ones later; every gate burns the whole fall,
// and the next recount mends that. The first call names the state that the gate starts from, which may hide changes before it.
func (l *Ledger) ApplyLimitChanges(offset uint64, changed []TeamCount) {
	l.folded = max(l.folded, offset)
	if l.followed && len(changed) == 0 {
		return
	}
	l.followed = true
	l.changed = l.folded
	l.floor = max(l.floor, l.folded)
	for _, c := range changed {
		a := l.open(c.Team())
		a.changedAt = l.folded
		a.spare = max(a.spare-c.Count(), -a.spent)
	}
}

// AppliedOffset returns the offset of the log that the ledger follows.
func (l *Ledger) AppliedOffset() uint64 { return l.folded }

func (l *Ledger) send(to string, given []TeamCount) Transfer {
	for _, c := range given {
		l.accounts[c.Team()].spare -= c.Count()
		l.drop(c.Team())
	}
	l.sequence++
	return Transfer{transferWire{From: l.incarnation, Seq: l.sequence, To: to, Epoch: l.epoch, Rights: given}}
}

// frozen tells whether the team's allotment changed after the last recount began: trading could then evade the burning.
func (l *Ledger) frozen(team string) bool {
	return l.view(team).changedAt > l.committed.w.Basis
}

func (l *Ledger) tradesWith(peer string) bool {
	return l.CanTransfer() && peer != l.incarnation && l.inRoster(peer)
}

func (l *Ledger) inRoster(incarnation string) bool {
	_, found := slices.BinarySearch(l.committed.w.Roster, incarnation)
	return found
}

func (l *Ledger) view(team string) account {
	if a, ok := l.accounts[team]; ok {
		return *a
	}
	return account{}
}

func (l *Ledger) open(team string) *account {
	a, ok := l.accounts[team]
	if !ok {
		a = &account{}
		l.accounts[team] = a
	}
	return a
}

// drop forgets an account that says nothing any more.
func (l *Ledger) drop(team string) {
	if a := l.accounts[team]; a.spare == 0 && a.spent == 0 && !l.frozen(team) {
		delete(l.accounts, team)
	}
}

func (l *Ledger) receivedFrom(sender string) *window {
	w, ok := l.received[sender]
	if !ok {
		w = &window{}
		l.received[sender] = w
	}
	return w
}
