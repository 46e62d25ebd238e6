package rights

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// mutation is a fault that the walk injects into a step of the protocol.
type mutation string

const (
	noMutation            mutation = "as designed"
	ownReportLast         mutation = "own report taken last"
	noReportRefusal       mutation = "no refusal of older epochs"
	noRecountCancel       mutation = "recount not cancelled by a newer epoch"
	noOrphans             mutation = "work of crashed gates not counted"
	noEpochCheck          mutation = "no epoch check on transfers"
	noMemberCheck         mutation = "no member check, addresses queried once"
	noFreeze              mutation = "no freeze during a recount"
	noDeduplication       mutation = "duplicate transfers accepted"
	noLimitDecrease       mutation = "decrease of a limit not applied"
	noSameLimitsCheck     mutation = "recount with different limits"
	noFreezeOnLimitChange mutation = "transfer across a change of the limit"
	timeoutMeansGone      mutation = "timeout taken for an exit"
)

const (
	walkTeam       = "paint"
	walkMembers    = 3
	maxSettleSteps = 1000
)

// walk is a random interleaving of starts, transfers, crashes, limit changes, recounts and lost messages among the gates of
// one data centre.
type walk struct {
	r             *rand.Rand
	mutation      mutation
	limits        []int // by log offset, from 1
	changesLimits bool
	crashRate     float64   // probability that a step of a gate is a crash
	members       []*member // nil: the address refuses connections
	started       int       // processes so far
	orphans       int       // running pieces of work of crashed gates
	messages      []any     // in flight
	increases     int       // recounts that added rights
	maxUsed       int
}

// member is one gate incarnation, with the state that its service would keep.
type member struct {
	ledger  *Ledger
	address int
	query   Query
}

type commitMessage struct {
	commit  Commit
	address int
}

type revokeMessage struct {
	epoch   Epoch
	address int
}

func newWalk(seed uint64, injected mutation, changesLimits bool) *walk {
	w := &walk{r: rand.New(rand.NewPCG(seed, 7)), mutation: injected, changesLimits: changesLimits, crashRate: 0.03}
	if seed%2 == 1 {
		w.crashRate = 0.12
	}
	w.limits = []int{0, 1 + w.r.IntN(6)}
	for address := range walkMembers {
		w.members = append(w.members, w.startMember(address))
	}
	return w
}

func (w *walk) startMember(address int) *member {
	w.started++
	m := &member{ledger: New(fmt.Sprintf("gate-%d.%03d", address, w.started)), address: address}
	m.ledger.ApplyLimitChanges(uint64(len(w.limits)-1), nil)
	return m
}

func (w *walk) step() {
	if w.r.Float64() < 0.002 {
		w.crashAll()
	}
	address := w.r.IntN(walkMembers)
	m := w.members[address]
	op := w.r.Float64()
	if m == nil {
		if op < 0.3 {
			w.members[address] = w.startMember(address)
		}
		return
	}
	switch {
	case op < 0.15:
		m.ledger.Acquire(walkTeam)
	case op < 0.27:
		m.ledger.Release(walkTeam)
	case op < 0.40:
		w.transfer(m)
	case op < 0.40+w.crashRate:
		w.crash(address)
	case op < 0.53:
		w.orphans = max(0, w.orphans-1)
	case op < 0.55 && w.changesLimits:
		w.limits = append(w.limits, w.r.IntN(7))
	case op < 0.60:
		w.applyLimitChanges(m)
	case op < 0.85:
		w.recountStep(m)
	case len(w.messages) > 0:
		i := w.r.IntN(len(w.messages))
		message := w.messages[i]
		w.messages = slices.Delete(w.messages, i, i+1)
		if w.r.Float64() > 0.2 {
			w.deliver(message)
		}
	}
}

// crash ends a process. Its work keeps running for a while as orphans.
func (w *walk) crash(address int) {
	w.orphans += w.members[address].ledger.InUse(walkTeam)
	w.members[address] = nil
}

func (w *walk) crashAll() {
	for address, m := range w.members {
		if m != nil {
			w.crash(address)
		}
	}
}

// applyLimitChanges lets a member fold more of the log, often several changes at once.
func (w *walk) applyLimitChanges(m *member) {
	from := int(m.ledger.AppliedOffset())
	if from == len(w.limits)-1 {
		return
	}
	to := from + 1 + w.r.IntN(len(w.limits)-1-from)
	decrease := max(0, w.limits[from]-w.limits[to])
	changed := []TeamCount{NewTeamCount(walkTeam, decrease)}
	if w.mutation == noLimitDecrease {
		changed = []TeamCount{NewTeamCount(walkTeam, 0)}
	}
	m.ledger.ApplyLimitChanges(uint64(to), changed)
	if w.mutation == noFreezeOnLimitChange {
		m.ledger.openAccount(walkTeam).limitChangedAt = 0
	}
}

func (w *walk) transfer(m *member) {
	peer := w.members[w.r.IntN(walkMembers)]
	available := m.ledger.Available(walkTeam)
	if peer == nil || available < 1 {
		return
	}
	restore := w.disableTransferGuard(m.ledger, peer.ledger.Incarnation())
	t, ok := m.ledger.StartTransfer(walkTeam, 1+w.r.IntN(available), peer.ledger.Incarnation())
	restore()
	if !ok {
		return
	}
	w.messages = append(w.messages, t)
	if w.r.Float64() < 0.3 {
		w.messages = append(w.messages, t)
	}
}

// disableTransferGuard disables the check on transfers that the mutation omits, if any, and returns a function that restores
// it.
func (w *walk) disableTransferGuard(l *Ledger, peer string) (restore func()) {
	committed, epoch := l.committed, l.epoch
	switch w.mutation {
	case noFreeze:
		l.epoch = l.committed.w.Epoch
	case noMemberCheck:
		l.committed.w.Roster = sortedMembers(l.committed.w.Roster, l.incarnation, peer)
	case noEpochCheck:
		l.committed.w.Roster = sortedMembers(l.committed.w.Roster, l.incarnation, peer)
		l.committed.w.Epoch = l.epoch
	}
	return func() { l.committed, l.epoch = committed, epoch }
}

func sortedMembers(members []string, more ...string) []string {
	members = append(slices.Clone(members), more...)
	slices.Sort(members)
	return slices.Compact(members)
}

func (w *walk) deliver(message any) {
	switch message := message.(type) {
	case commitMessage:
		m := w.members[message.address]
		if m == nil {
			return
		}
		if w.mutation == noMemberCheck && message.commit.Epoch().Supersedes(m.ledger.epoch) {
			m.ledger.adoptEpoch(message.commit.Epoch(), 0)
		}
		m.ledger.ApplyCommit(message.commit)
	case revokeMessage:
		if m := w.members[message.address]; m != nil {
			m.ledger.RevokeEpoch(message.epoch)
		}
	case Transfer:
		for _, m := range w.members {
			if m != nil && m.ledger.Incarnation() == message.To() {
				w.accept(m.ledger, message)
			}
		}
	}
}

func (w *walk) accept(l *Ledger, t Transfer) {
	defer w.disableTransferGuard(l, t.From())()
	switch w.mutation {
	case noEpochCheck:
		t.w.Epoch = l.epoch
	case noDeduplication:
		l.receiveWindows = map[string]*window{}
	}
	l.Accept(t)
}

func (w *walk) recountStep(m *member) {
	counting := m.ledger.recount
	if counting == nil || counting.epoch != m.ledger.epoch && w.mutation != ownReportLast && w.mutation != noRecountCancel {
		if w.r.Float64() < 0.15 {
			w.beginRecount(m)
		}
		return
	}
	if len(counting.pending) > 0 {
		w.requestReport(m)
		return
	}
	w.finishRecount(m)
	m.ledger.recount = nil
}

func (w *walk) beginRecount(m *member) {
	var addresses []string
	for address := range walkMembers {
		addresses = append(addresses, fmt.Sprint(address))
	}
	own := m.ledger.epoch
	m.query = m.ledger.BeginRecount(addresses, fmt.Sprint(m.address))
	if w.mutation == ownReportLast {
		m.ledger.epoch = own
	}
}

func (w *walk) requestReport(m *member) {
	if w.mutation == ownReportLast || w.mutation == noRecountCancel {
		kept := m.ledger.epoch
		m.ledger.epoch = m.ledger.recount.epoch
		defer func() { m.ledger.epoch = kept }()
	}
	pending := m.ledger.PendingAddresses()
	address := pending[w.r.IntN(len(pending))]
	peer := w.members[int(address[0]-'0')]
	timedOut := w.r.Float64() < 0.1
	if timedOut && w.mutation != timeoutMeansGone {
		w.abandonRecount(m)
		return
	}
	if peer != nil && !timedOut {
		w.answerReport(m, peer, address)
		return
	}
	m.ledger.RecordAbsence(address)
	w.skipSecondRound(m.ledger)
}

// skipSecondRound ends a recount after one round if the mutation is noMemberCheck. In the walks so far, the second round
// made up for the missing member check.
func (w *walk) skipSecondRound(l *Ledger) {
	if w.mutation == noMemberCheck && l.recount.isSecondRound {
		clear(l.recount.pending)
	}
}

// abandonRecount sometimes abandons a recount to which an address did not answer.
func (w *walk) abandonRecount(m *member) {
	if w.r.Float64() < 0.5 {
		return
	}
	epoch, ok := m.ledger.AbandonRecount()
	if !ok {
		return
	}
	for address := range walkMembers {
		w.messages = append(w.messages, revokeMessage{epoch, address})
	}
}

func (w *walk) answerReport(m, peer *member, address string) {
	held := peer.ledger.epoch
	counting := peer.ledger.recount
	if w.mutation == noReportRefusal {
		peer.ledger.epoch = Epoch{}
	}
	r, epoch, ok := peer.ledger.AnswerQuery(m.query)
	if w.mutation == noReportRefusal && held.Supersedes(m.query.Epoch()) {
		peer.ledger.epoch = held
	}
	if w.mutation == noReportRefusal || w.mutation == noRecountCancel {
		peer.ledger.recount = counting
	}
	if !ok {
		m.ledger.RecordRefusal(epoch)
		return
	}
	m.ledger.RecordReport(address, r)
	w.skipSecondRound(m.ledger)
}

func (w *walk) finishRecount(m *member) {
	l := m.ledger
	kept := l.epoch
	switch w.mutation {
	case ownReportLast:
		if l.epoch.Supersedes(l.recount.epoch) {
			return
		}
		l.epoch = l.recount.epoch
		l.receiveWindows = map[string]*window{}
		own := l.ownReport()
		l.recount.reports[0] = own
	case noRecountCancel:
		l.epoch = l.recount.epoch
	case noSameLimitsCheck:
		l.recount.basis = max(l.recount.basis, l.limitsChangedAt)
		for i := range l.recount.reports {
			l.recount.reports[i].w.Folded, l.recount.reports[i].w.Floor = l.limitsChangedAt, 0
		}
	}
	var orphans []TeamCount
	if w.mutation != noOrphans {
		orphans = []TeamCount{NewTeamCount(walkTeam, w.orphans)}
	}
	before := l.Available(walkTeam)
	commit, ok := l.FinishRecount([]TeamCount{NewTeamCount(walkTeam, w.limits[l.AppliedOffset()])}, orphans)
	if w.mutation == noRecountCancel && kept.Supersedes(l.epoch) {
		l.epoch = kept
	}
	if !ok {
		return
	}
	if l.Available(walkTeam) > before {
		w.increases++
	}
	for address := range walkMembers {
		if address != m.address {
			w.messages = append(w.messages, commitMessage{commit, address})
		}
	}
}

// checkLimit returns a violation, or an empty string: while any gate can still start work, running work and available
// rights together must not exceed the highest limit since the oldest offset that any gate is at.
func (w *walk) checkLimit() string {
	used, available, oldest := w.orphans, 0, len(w.limits)-1
	for _, m := range w.members {
		if m == nil {
			continue
		}
		used += m.ledger.InUse(walkTeam)
		available += max(0, m.ledger.Available(walkTeam))
		oldest = min(oldest, int(m.ledger.AppliedOffset()))
	}
	limit := slices.Max(w.limits[oldest:])
	w.maxUsed = max(w.maxUsed, used)
	if available > 0 && used+available > limit {
		return fmt.Sprintf("running %d, available %d, limit %d", used, available, limit)
	}
	return ""
}

// settle ends all work, starts missing gates, lets every gate fold the whole log, and recounts until no right is missing.
func (w *walk) settle() (usable, limit int) {
	w.messages, w.orphans = nil, 0
	limit = w.limits[len(w.limits)-1]
	for address, m := range w.members {
		if m == nil {
			w.members[address] = w.startMember(address)
			continue
		}
		for m.ledger.Release(walkTeam) {
		}
		for int(m.ledger.AppliedOffset()) < len(w.limits)-1 {
			w.applyLimitChanges(m)
		}
	}
	for steps := 0; steps < maxSettleSteps && usable < limit; steps++ {
		w.recountStep(w.members[0])
		usable = 0
		for _, m := range w.members {
			usable += max(0, m.ledger.Available(walkTeam))
		}
	}
	return usable, limit
}

// run performs the steps and returns the first violation.
func (w *walk) run(steps int) string {
	for i := range steps {
		w.step()
		if violation := w.checkLimit(); violation != "" {
			return fmt.Sprintf("step %d: %s", i, violation)
		}
	}
	return ""
}
