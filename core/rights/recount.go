package rights

import (
	"maps"
	"slices"
)

// recount is the initiator's state of one epoch. Each address is queried a second time after all others were: a process may
// have started there meanwhile and received rights in an older epoch whose recount was still running.
type recount struct {
	epoch         Epoch
	basis         uint64 // log offset of the state on which the recount is based
	peerAddresses []string
	pending       map[string]bool // addresses not yet counted in this round
	isSecondRound bool
	reports       []Report
}

// markCounted records that the address was counted and starts the second round when the first is complete.
func (r *recount) markCounted(address string) {
	delete(r.pending, address)
	if len(r.pending) == 0 && !r.isSecondRound {
		r.resetPending()
		r.isSecondRound = true
	}
}

func (r *recount) resetPending() {
	r.pending = map[string]bool{}
	for _, address := range r.peerAddresses {
		r.pending[address] = true
	}
}

func (r *recount) hasReportOf(incarnation string) bool {
	return slices.ContainsFunc(r.reports, func(known Report) bool {
		return known.w.Incarnation == incarnation
	})
}

// BeginRecount starts a new epoch, counts this gate and returns the query to send to every address in PendingAddresses.
// The addresses are all those that the state at AppliedOffset declares for the data centre.
func (l *Ledger) BeginRecount(addresses []string, own string) Query {
	epoch := Epoch{epochWire{Number: max(l.highestEpochNumber, l.epoch.w.Number) + 1, Incarnation: l.incarnation}}
	r := &recount{epoch: epoch, basis: l.appliedOffset}
	for _, address := range addresses {
		if address != own {
			r.peerAddresses = append(r.peerAddresses, address)
		}
	}
	r.resetPending()
	r.isSecondRound = len(r.peerAddresses) == 0
	l.adoptEpoch(epoch, l.appliedOffset)
	r.reports = append(r.reports, l.ownReport())
	l.recount = r
	return Query{queryWire{Epoch: epoch, Basis: r.basis}}
}

// AnswerQuery adopts the query's epoch and returns the gate's report. It returns false and the gate's epoch if that is newer.
// From then on the gate neither sends nor accepts transfers of an older epoch. The call is idempotent.
func (l *Ledger) AnswerQuery(q Query) (Report, Epoch, bool) {
	if q.w.Epoch == l.epoch {
		return l.ownReport(), l.epoch, true
	}
	if !q.w.Epoch.Supersedes(l.epoch) {
		return Report{}, l.epoch, false
	}
	l.adoptEpoch(q.w.Epoch, q.w.Basis)
	return l.ownReport(), l.epoch, true
}

// RecordRefusal records the newer epoch for which another gate refused to report, and ends this gate's recount.
func (l *Ledger) RecordRefusal(by Epoch) {
	l.highestEpochNumber = max(l.highestEpochNumber, by.w.Number)
	l.recount = nil
}

// RecordReport records the report of the process at the address.
func (l *Ledger) RecordReport(address string, r Report) {
	if !l.isCounting() || r.w.Epoch != l.epoch || !l.recount.pending[address] {
		return
	}
	if !l.recount.hasReportOf(r.w.Incarnation) {
		l.recount.reports = append(l.recount.reports, r)
	}
	l.recount.markCounted(address)
}

// RecordAbsence records that certainly no process holds rights at the address: it refused the connection or was removed from
// the list of VMs.
func (l *Ledger) RecordAbsence(address string) {
	if l.isCounting() && l.recount.pending[address] {
		l.recount.markCounted(address)
	}
}

// PendingAddresses returns the addresses still to be queried in this round, sorted. Every address is queried in two rounds.
func (l *Ledger) PendingAddresses() []string {
	if !l.isCounting() {
		return nil
	}
	return slices.Sorted(maps.Keys(l.recount.pending))
}

// CountedMembers returns the incarnations counted so far, sorted, and reports whether all addresses are counted.
func (l *Ledger) CountedMembers() ([]string, bool) {
	if !l.isCounting() {
		return nil, false
	}
	members := make([]string, 0, len(l.recount.reports))
	for _, r := range l.recount.reports {
		members = append(members, r.w.Incarnation)
	}
	slices.Sort(members)
	return members, l.recount.isSecondRound && len(l.recount.pending) == 0
}

// FinishRecount adds to this gate's available rights the part of each allotment that no gate reported and no orphan uses.
// Orphans are running work of gates that are gone. The recount also clears a deficit of this gate for which such rights are
// left: the work behind the deficit is counted as running. Pass the allotments of the state at AppliedOffset, and orphans
// that were counted after the last report. It returns false if an address was not counted, a newer epoch was adopted, or
// the gates have not applied the same limits.
func (l *Ledger) FinishRecount(allotments, orphans []TeamCount) (Commit, bool) {
	members, complete := l.CountedMembers()
	if !complete || !l.haveSameLimits() {
		return Commit{}, false
	}
	held := l.countHeld(orphans)
	for _, c := range allotments {
		if free := c.Count() - held[c.Team()]; free > 0 {
			a := l.openAccount(c.Team())
			a.available = max(a.available, 0) + free
		}
		held[c.Team()] -= c.Count()
	}
	commit := Commit{commitWire{Epoch: l.epoch, Basis: l.recount.basis, Roster: members, Over: teamsAboveZero(held)}}
	l.recount = nil
	l.ApplyCommit(commit)
	return commit, true
}

// AbandonRecount ends this gate's recount and returns its epoch, for which the other gates are to call RevokeEpoch. It
// returns false if no recount is running.
func (l *Ledger) AbandonRecount() (Epoch, bool) {
	if !l.isCounting() {
		return Epoch{}, false
	}
	epoch := l.epoch
	l.RevokeEpoch(epoch)
	return epoch, true
}

// RevokeEpoch restores the epoch before the current one, which its initiator abandoned. It does nothing for any other epoch.
func (l *Ledger) RevokeEpoch(epoch Epoch) {
	if epoch != l.epoch || epoch == l.committed.w.Epoch || l.beforeEpoch == nil {
		return
	}
	l.highestEpochNumber = max(l.highestEpochNumber, epoch.w.Number)
	l.epoch, l.receiveWindows = l.beforeEpoch.epoch, l.beforeEpoch.receiveWindows
	l.beforeEpoch = nil
	l.recount = nil
}

// ApplyCommit enables transfers among the counted incarnations. It returns false if the epoch is not the current one.
func (l *Ledger) ApplyCommit(c Commit) bool {
	if c.w.Epoch != l.epoch {
		return false
	}
	l.committed = c
	for team := range l.accounts {
		l.deleteIfEmpty(team)
	}
	return true
}

// adoptEpoch makes the epoch the current one. From then on transfers of older epochs, including duplicates, are refused.
func (l *Ledger) adoptEpoch(epoch Epoch, basis uint64) {
	l.beforeEpoch = &epochState{l.epoch, l.receiveWindows}
	l.epoch = epoch
	l.minBasis = max(l.minBasis, basis)
	l.receiveWindows = map[string]*window{}
	if l.recount != nil && l.recount.epoch != epoch {
		l.recount = nil
	}
}

// ownReport returns this gate's report. A deficit is reported as no available rights, because the work behind it still runs.
func (l *Ledger) ownReport() Report {
	w := reportWire{Epoch: l.epoch, Incarnation: l.incarnation, Folded: l.appliedOffset, Floor: l.minBasis}
	for _, team := range l.Teams() {
		a := l.accounts[team]
		if held := max(a.available, 0) + a.inUse; held > 0 {
			w.Held = append(w.Held, NewTeamCount(team, held))
		}
	}
	return Report{w}
}

func (l *Ledger) isCounting() bool {
	return l.recount != nil && l.recount.epoch == l.epoch
}

// haveSameLimits reports whether every counted gate folded all limit changes that another one applied, and whether the
// initiator had at the start folded the state on which any earlier recount was based.
func (l *Ledger) haveSameLimits() bool {
	if l.limitsChangedAt > l.recount.basis {
		return false
	}
	for _, r := range l.recount.reports {
		if r.w.Folded < l.limitsChangedAt || l.recount.basis < r.w.Floor {
			return false
		}
	}
	return true
}

func teamsAboveZero(counts map[string]int) []string {
	var teams []string
	for team, n := range counts {
		if n > 0 {
			teams = append(teams, team)
		}
	}
	slices.Sort(teams)
	return teams
}

func (l *Ledger) countHeld(orphans []TeamCount) map[string]int {
	sum := map[string]int{}
	for _, r := range l.recount.reports {
		for _, c := range r.w.Held {
			sum[c.Team()] += c.Count()
		}
	}
	for _, c := range orphans {
		sum[c.Team()] += c.Count()
	}
	return sum
}
