package rights

import (
	"maps"
	"slices"
)

// recount is the initiator's side of one epoch. Every address is asked a second time after all others: a process born
// there meanwhile may have been counted, and given rights, in an older epoch that still went on.
type recount struct {
	epoch   Epoch
	basis   uint64
	others  []string
	missing map[string]bool
	again   bool
	reports []Report
}

// settle notes that the address was counted and begins the second round once the first is over.
func (r *recount) settle(address string) {
	delete(r.missing, address)
	if len(r.missing) == 0 && !r.again {
		r.askAll()
		r.again = true
	}
}

func (r *recount) askAll() {
	r.missing = map[string]bool{}
	for _, address := range r.others {
		r.missing[address] = true
	}
}

func (r *recount) knows(incarnation string) bool {
	return slices.ContainsFunc(r.reports, func(known Report) bool {
		return known.w.Incarnation == incarnation
	})
}

// BeginRecount takes a new epoch, counts this gate first and returns the question to every address in Missing.
// The addresses are all that the state at the folded offset declares for the data centre.
func (l *Ledger) BeginRecount(addresses []string, own string) Query {
	epoch := Epoch{epochWire{Number: max(l.highest, l.epoch.w.Number) + 1, Incarnation: l.incarnation}}
	r := &recount{epoch: epoch, basis: l.folded}
	for _, address := range addresses {
		if address != own {
			r.others = append(r.others, address)
		}
	}
	r.askAll()
	r.again = len(r.others) == 0
	l.take(epoch, l.folded)
	r.reports = append(r.reports, l.report())
	l.recount = r
	return Query{queryWire{Epoch: epoch, Basis: r.basis}}
}

// AnswerQuery takes the question's epoch and returns what the gate holds; false with the gate's own epoch where that is above.
// From then on the gate neither gives nor accepts under an older epoch. The same question may be asked again.
func (l *Ledger) AnswerQuery(q Query) (Report, Epoch, bool) {
	if q.w.Epoch == l.epoch {
		return l.report(), l.epoch, true
	}
	if !q.w.Epoch.Supersedes(l.epoch) {
		return Report{}, l.epoch, false
	}
	l.take(q.w.Epoch, q.w.Basis)
	return l.report(), l.epoch, true
}

// RecordRefusal notes the epoch with which a member refused to report and ends this gate's recount.
func (l *Ledger) RecordRefusal(by Epoch) {
	l.highest = max(l.highest, by.w.Number)
	l.recount = nil
}

// RecordReport notes the report of the process that answers at the address.
func (l *Ledger) RecordReport(address string, r Report) {
	if !l.counting() || r.w.Epoch != l.epoch || !l.recount.missing[address] {
		return
	}
	if !l.recount.knows(r.w.Incarnation) {
		l.recount.reports = append(l.recount.reports, r)
	}
	l.recount.settle(address)
}

// RecordAbsence notes certain evidence that no process holds rights at the address: its connection is refused, or the VM list dropped it.
func (l *Ledger) RecordAbsence(address string) {
	if l.counting() && l.recount.missing[address] {
		l.recount.settle(address)
	}
}

// PendingAddresses returns the addresses that are still to be asked, in order; each comes up twice.
func (l *Ledger) PendingAddresses() []string {
	if !l.counting() {
		return nil
	}
	return slices.Sorted(maps.Keys(l.recount.missing))
}

// CountedMembers returns the incarnations counted so far, in order, and whether every address is counted.
func (l *Ledger) CountedMembers() ([]string, bool) {
	if !l.counting() {
		return nil, false
	}
	roll := make([]string, 0, len(l.recount.reports))
	for _, r := range l.recount.reports {
		roll = append(roll, r.w.Incarnation)
	}
	slices.Sort(roll)
	return roll, l.recount.again && len(l.recount.missing) == 0
}

// FinishRecount adds to this gate's spare rights what of each allotment nobody reported and no orphan occupies.
// A debt of this gate is forgiven with that: the work that had to end for it is counted as running.
// The allotments are those of the state last followed; the orphans were asked for after the last report came in.
// It returns false where an address is missing, a later epoch was taken, or a member's view of the limits differs.
func (l *Ledger) FinishRecount(allotments, orphans []TeamCount) (Commit, bool) {
	roll, whole := l.CountedMembers()
	if !whole || !l.sameView() {
		return Commit{}, false
	}
	occupied := l.occupied(orphans)
	for _, c := range allotments {
		if free := c.Count() - occupied[c.Team()]; free > 0 {
			a := l.open(c.Team())
			a.spare = max(a.spare, 0) + free
		}
		occupied[c.Team()] -= c.Count()
	}
	commit := Commit{commitWire{Epoch: l.epoch, Basis: l.recount.basis, Roster: roll, Over: aboveZero(occupied)}}
	l.recount = nil
	l.ApplyCommit(commit)
	return commit, true
}

// AbandonRecount gives this gate's recount up for good and returns the epoch that the members may forget, false where there is none.
func (l *Ledger) AbandonRecount() (Epoch, bool) {
	if !l.counting() {
		return Epoch{}, false
	}
	epoch := l.epoch
	l.RevokeEpoch(epoch)
	return epoch, true
}

// RevokeEpoch goes back to the epoch before the last one, whose initiator gave it up; any other epoch changes nothing.
func (l *Ledger) RevokeEpoch(epoch Epoch) {
	if epoch != l.epoch || epoch == l.committed.w.Epoch || l.undo == nil {
		return
	}
	l.highest = max(l.highest, epoch.w.Number)
	l.epoch, l.received = l.undo.epoch, l.undo.received
	l.undo = nil
	l.recount = nil
}

// ApplyCommit opens trade among the counted incarnations; false where the epoch is not the last one taken.
func (l *Ledger) ApplyCommit(c Commit) bool {
	if c.w.Epoch != l.epoch {
		return false
	}
	l.committed = c
	for team := range l.accounts {
		l.drop(team)
	}
	return true
}

// take makes the epoch the last one; transfers of older ones, repeats included, are refused from now on.
func (l *Ledger) take(epoch Epoch, basis uint64) {
	l.undo = &previous{l.epoch, l.received}
	l.epoch = epoch
	l.floor = max(l.floor, basis)
	l.received = map[string]*window{}
	if l.recount != nil && l.recount.epoch != epoch {
		l.recount = nil
	}
}

// report counts a debt as nothing: the work that has to end for it still runs.
func (l *Ledger) report() Report {
	w := reportWire{Epoch: l.epoch, Incarnation: l.incarnation, Folded: l.folded, Floor: l.floor}
	for _, team := range l.Teams() {
		a := l.accounts[team]
		if held := max(a.spare, 0) + a.spent; held > 0 {
			w.Held = append(w.Held, NewTeamCount(team, held))
		}
	}
	return Report{w}
}

func (l *Ledger) counting() bool {
	return l.recount != nil && l.recount.epoch == l.epoch
}

// sameView tells whether every counted member folded each change of a limit that another one acted on,
// and the initiator, when it began, all declarations that an earlier recount rested on.
func (l *Ledger) sameView() bool {
	if l.changed > l.recount.basis {
		return false
	}
	for _, r := range l.recount.reports {
		if r.w.Folded < l.changed || l.recount.basis < r.w.Floor {
			return false
		}
	}
	return true
}

func aboveZero(counts map[string]int) []string {
	var teams []string
	for team, n := range counts {
		if n > 0 {
			teams = append(teams, team)
		}
	}
	slices.Sort(teams)
	return teams
}

func (l *Ledger) occupied(orphans []TeamCount) map[string]int {
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
