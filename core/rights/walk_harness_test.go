package rights

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// slip names a mistake that the walk's own copy of a protocol step makes.
type slip string

const (
	noSlip           slip = "as designed"
	ownCountLast     slip = "own count taken last"
	noRefusal        slip = "no refusal of lower epochs"
	noCancel         slip = "no cancelling by a later epoch"
	deadForgotten    slip = "work of dead gates forgotten"
	noEpochOnGift    slip = "no epoch on transfers"
	noRoster         slip = "no roster, addresses asked once"
	noFreeze         slip = "no freeze during a recount"
	noSequence       slip = "transfers added twice"
	noBurn           slip = "lowered limit not burned"
	noViewCheck      slip = "recount on another view of the limits"
	tradeAfterChange slip = "trade across a change of the limit"
	silenceIsDeath   slip = "silence taken for death"
)

const (
	walkTeam    = "paint"
	walkMembers = 3
	settleSteps = 1000
)

// walk is a random interleaving of everything that may befall the gates of one data centre.
type walk struct {
	r          *rand.Rand
	slip       slip
	limits     []int // by offset of the log, from 1
	mayRelimit bool
	deaths     float64   // share of the steps of a gate that end it
	members    []*walker // nil where the address refuses connections
	born       int
	orphans    int
	network    []any
	mints      int
	maxUsed    int
}

// walker is one incarnation and the part of its service that the walk plays.
type walker struct {
	ledger  *Ledger
	address int
	query   Query
}

type commitTo struct {
	commit  Commit
	address int
}

type revokeTo struct {
	epoch   Epoch
	address int
}

func newWalk(seed uint64, s slip, mayRelimit bool) *walk {
	w := &walk{r: rand.New(rand.NewPCG(seed, 7)), slip: s, mayRelimit: mayRelimit, deaths: 0.03}
	if seed%2 == 1 {
		w.deaths = 0.12
	}
	w.limits = []int{0, 1 + w.r.IntN(6)}
	for address := range walkMembers {
		w.members = append(w.members, w.spawn(address))
	}
	return w
}

func (w *walk) spawn(address int) *walker {
	w.born++
	m := &walker{ledger: New(fmt.Sprintf("gate-%d.%03d", address, w.born)), address: address}
	m.ledger.ApplyLimitChanges(uint64(len(w.limits)-1), nil)
	return m
}

func (w *walk) step() {
	if w.r.Float64() < 0.002 {
		w.loseAll()
	}
	address := w.r.IntN(walkMembers)
	m := w.members[address]
	op := w.r.Float64()
	if m == nil {
		if op < 0.3 {
			w.members[address] = w.spawn(address)
		}
		return
	}
	switch {
	case op < 0.15:
		m.ledger.Acquire(walkTeam)
	case op < 0.27:
		m.ledger.Release(walkTeam)
	case op < 0.40:
		w.give(m)
	case op < 0.40+w.deaths:
		w.kill(address)
	case op < 0.53:
		w.orphans = max(0, w.orphans-1)
	case op < 0.55 && w.mayRelimit:
		w.limits = append(w.limits, w.r.IntN(7))
	case op < 0.60:
		w.follow(m)
	case op < 0.85:
		w.recountStep(m)
	case len(w.network) > 0:
		i := w.r.IntN(len(w.network))
		message := w.network[i]
		w.network = slices.Delete(w.network, i, i+1)
		if w.r.Float64() > 0.2 {
			w.deliver(message)
		}
	}
}

// kill ends a process; its work goes on for a while.
func (w *walk) kill(address int) {
	w.orphans += w.members[address].ledger.InUse(walkTeam)
	w.members[address] = nil
}

func (w *walk) loseAll() {
	for address, m := range w.members {
		if m != nil {
			w.kill(address)
		}
	}
}

// follow lets a member fold on, often past several changes at once.
func (w *walk) follow(m *walker) {
	from := int(m.ledger.AppliedOffset())
	if from == len(w.limits)-1 {
		return
	}
	to := from + 1 + w.r.IntN(len(w.limits)-1-from)
	fall := max(0, w.limits[from]-w.limits[to])
	changed := []TeamCount{NewTeamCount(walkTeam, fall)}
	if w.slip == noBurn {
		changed = []TeamCount{NewTeamCount(walkTeam, 0)}
	}
	m.ledger.ApplyLimitChanges(uint64(to), changed)
	if w.slip == tradeAfterChange {
		m.ledger.open(walkTeam).changedAt = 0
	}
}

func (w *walk) give(m *walker) {
	peer := w.members[w.r.IntN(walkMembers)]
	spare := m.ledger.Available(walkTeam)
	if peer == nil || spare < 1 {
		return
	}
	restore := w.loosen(m.ledger, peer.ledger.Incarnation())
	t, ok := m.ledger.StartTransfer(walkTeam, 1+w.r.IntN(spare), peer.ledger.Incarnation())
	restore()
	if !ok {
		return
	}
	w.network = append(w.network, t)
	if w.r.Float64() < 0.3 {
		w.network = append(w.network, t)
	}
}

// loosen removes the guard on transfers that the slip leaves out and returns how to put it back.
func (w *walk) loosen(l *Ledger, peer string) (restore func()) {
	committed, epoch := l.committed, l.epoch
	switch w.slip {
	case noFreeze:
		l.epoch = l.committed.w.Epoch
	case noRoster:
		l.committed.w.Roster = sortedRoster(l.committed.w.Roster, l.incarnation, peer)
	case noEpochOnGift:
		l.committed.w.Roster = sortedRoster(l.committed.w.Roster, l.incarnation, peer)
		l.committed.w.Epoch = l.epoch
	}
	return func() { l.committed, l.epoch = committed, epoch }
}

func sortedRoster(roster []string, more ...string) []string {
	roster = append(slices.Clone(roster), more...)
	slices.Sort(roster)
	return slices.Compact(roster)
}

func (w *walk) deliver(message any) {
	switch message := message.(type) {
	case commitTo:
		m := w.members[message.address]
		if m == nil {
			return
		}
		if w.slip == noRoster && message.commit.Epoch().Supersedes(m.ledger.epoch) {
			m.ledger.take(message.commit.Epoch(), 0)
		}
		m.ledger.ApplyCommit(message.commit)
	case revokeTo:
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
	defer w.loosen(l, t.From())()
	switch w.slip {
	case noEpochOnGift:
		t.w.Epoch = l.epoch
	case noSequence:
		l.received = map[string]*window{}
	}
	l.Accept(t)
}

func (w *walk) recountStep(m *walker) {
	counting := m.ledger.recount
	if counting == nil || counting.epoch != m.ledger.epoch && w.slip != ownCountLast && w.slip != noCancel {
		if w.r.Float64() < 0.15 {
			w.begin(m)
		}
		return
	}
	if len(counting.missing) > 0 {
		w.ask(m)
		return
	}
	w.finish(m)
	m.ledger.recount = nil
}

func (w *walk) begin(m *walker) {
	var addresses []string
	for address := range walkMembers {
		addresses = append(addresses, fmt.Sprint(address))
	}
	own := m.ledger.epoch
	m.query = m.ledger.BeginRecount(addresses, fmt.Sprint(m.address))
	if w.slip == ownCountLast {
		m.ledger.epoch = own
	}
}

func (w *walk) ask(m *walker) {
	if w.slip == ownCountLast || w.slip == noCancel {
		kept := m.ledger.epoch
		m.ledger.epoch = m.ledger.recount.epoch
		defer func() { m.ledger.epoch = kept }()
	}
	missing := m.ledger.PendingAddresses()
	address := missing[w.r.IntN(len(missing))]
	peer := w.members[int(address[0]-'0')]
	silent := w.r.Float64() < 0.1
	if silent && w.slip != silenceIsDeath {
		w.abandon(m)
		return
	}
	if peer != nil && !silent {
		w.report(m, peer, address)
		return
	}
	m.ledger.RecordAbsence(address)
	w.maybeAskOnce(m.ledger)
}

// maybeAskOnce leaves the second round out: it covers the roster's absence too, as far as the walks found.
func (w *walk) maybeAskOnce(l *Ledger) {
	if w.slip == noRoster && l.recount.again {
		clear(l.recount.missing)
	}
}

// abandon now and then gives a recount up that meets silence.
func (w *walk) abandon(m *walker) {
	if w.r.Float64() < 0.5 {
		return
	}
	epoch, ok := m.ledger.AbandonRecount()
	if !ok {
		return
	}
	for address := range walkMembers {
		w.network = append(w.network, revokeTo{epoch, address})
	}
}

func (w *walk) report(m, peer *walker, address string) {
	held := peer.ledger.epoch
	counting := peer.ledger.recount
	if w.slip == noRefusal {
		peer.ledger.epoch = Epoch{}
	}
	r, epoch, ok := peer.ledger.AnswerQuery(m.query)
	if w.slip == noRefusal && held.Supersedes(m.query.Epoch()) {
		peer.ledger.epoch = held
	}
	if w.slip == noRefusal || w.slip == noCancel {
		peer.ledger.recount = counting
	}
	if !ok {
		m.ledger.RecordRefusal(epoch)
		return
	}
	m.ledger.RecordReport(address, r)
	w.maybeAskOnce(m.ledger)
}

func (w *walk) finish(m *walker) {
	l := m.ledger
	kept := l.epoch
	switch w.slip {
	case ownCountLast:
		if l.epoch.Supersedes(l.recount.epoch) {
			return
		}
		l.epoch = l.recount.epoch
		l.received = map[string]*window{}
		own := l.report()
		l.recount.reports[0] = own
	case noCancel:
		l.epoch = l.recount.epoch
	case noViewCheck:
		l.recount.basis = max(l.recount.basis, l.changed)
		for i := range l.recount.reports {
			l.recount.reports[i].w.Folded, l.recount.reports[i].w.Floor = l.changed, 0
		}
	}
	var orphans []TeamCount
	if w.slip != deadForgotten {
		orphans = []TeamCount{NewTeamCount(walkTeam, w.orphans)}
	}
	before := l.Available(walkTeam)
	commit, ok := l.FinishRecount([]TeamCount{NewTeamCount(walkTeam, w.limits[l.AppliedOffset()])}, orphans)
	if w.slip == noCancel && kept.Supersedes(l.epoch) {
		l.epoch = kept
	}
	if !ok {
		return
	}
	if l.Available(walkTeam) > before {
		w.mints++
	}
	for address := range walkMembers {
		if address != m.address {
			w.network = append(w.network, commitTo{commit, address})
		}
	}
}

// check returns how the property is broken, empty while it holds: with a start still possible anywhere,
// running work and spare rights together are within the highest limit that some gate has not folded past.
func (w *walk) check() string {
	used, spare, oldest := w.orphans, 0, len(w.limits)-1
	for _, m := range w.members {
		if m == nil {
			continue
		}
		used += m.ledger.InUse(walkTeam)
		spare += max(0, m.ledger.Available(walkTeam))
		oldest = min(oldest, int(m.ledger.AppliedOffset()))
	}
	limit := slices.Max(w.limits[oldest:])
	w.maxUsed = max(w.maxUsed, used)
	if spare > 0 && used+spare > limit {
		return fmt.Sprintf("running %d, spare %d, limit %d", used, spare, limit)
	}
	return ""
}

// settle ends all work and deaths, lets every gate fold on, and recounts once with nothing lost.
func (w *walk) settle() (usable, limit int) {
	w.network, w.orphans = nil, 0
	limit = w.limits[len(w.limits)-1]
	for address, m := range w.members {
		if m == nil {
			w.members[address] = w.spawn(address)
			continue
		}
		for m.ledger.Release(walkTeam) {
		}
		for int(m.ledger.AppliedOffset()) < len(w.limits)-1 {
			w.follow(m)
		}
	}
	for steps := 0; steps < settleSteps && usable < limit; steps++ {
		w.recountStep(w.members[0])
		usable = 0
		for _, m := range w.members {
			usable += max(0, m.ledger.Available(walkTeam))
		}
	}
	return usable, limit
}

// run walks and returns the first breach.
func (w *walk) run(steps int) string {
	for i := range steps {
		w.step()
		if breach := w.check(); breach != "" {
			return fmt.Sprintf("step %d: %s", i, breach)
		}
	}
	return ""
}
