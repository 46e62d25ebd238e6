package ticket

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// mutation is a fault that the walk injects into a step of the protocol, to check that it is detected.
type mutation string

const (
	noMutation                   mutation = "none"
	predecessorKeepsEntries      mutation = "the predecessor keeps what it handed over"
	peerDecidesForGoneGate       mutation = "a peer decides for a gate that is gone"
	runningHandedOverAsUnstarted mutation = "running work is handed over as not started"
	startsWithoutFirstClaim      mutation = "a request starts though its claim is not the first"
	startsWithoutReadBack        mutation = "a request starts before its claim is read back"
	startsOnForgottenClaim       mutation = "a request starts on an own claim without an entry for it"
	peersNotAsked                mutation = "a lost claim is reported as not run without asking the peers"
	youngPeersTrusted            mutation = "a lost claim is reported as not run though a gate started after the end of the log was last read"
	expiredTicketsAccepted       mutation = "expired tickets are forgotten but not refused"
	repeatStartsAgain            mutation = "a repeated request starts again"
)

const (
	walkGates    = 3
	walkLifetime = 40 * time.Second
	walkTick     = 100 * time.Millisecond
)

// walk is a random interleaving of requests, repeats, gate crashes and hand-overs among several gates.
type walk struct {
	r         *rand.Rand
	mutation  mutation
	now       time.Time
	spawned   int
	gates     []*walkGate // nil for a gate that is down
	log       []logClaim
	logUp     bool
	inFlight  []logClaim // appends whose answer was lost and that may still take effect
	ids       []string
	starts    map[string]int // starts that may have had an effect
	answered  map[string]int // how often an answer other than not-run was given
	running   []activeRun
	handovers []handoverMessage
	outcomes  []outcomeMessage
	unsettled map[string]bool
}

type logClaim struct {
	id, digest, holder string
}

type walkGate struct {
	registry      *Registry
	folded        int
	logEndSeenAt  time.Time
	spawnedAt     time.Time
	pendingClaims []string // keys whose claim is being read back
}

type activeRun struct {
	id   string
	gate *walkGate
}

type handoverMessage struct {
	raw         []byte
	successor   string
	predecessor *walkGate
}

type outcomeMessage struct {
	id, from, to string
	released     bool
}

func newWalk(seed uint64, injected mutation) *walk {
	w := &walk{
		r: rand.New(rand.NewPCG(seed, 3)), mutation: injected, now: time.UnixMilli(1_000_000), logUp: true,
		starts: map[string]int{}, answered: map[string]int{}, gates: make([]*walkGate, walkGates),
	}
	for slot := range w.gates {
		w.gates[slot] = w.spawnGate(slot)
	}
	return w
}

func (w *walk) spawnGate(slot int) *walkGate {
	w.spawned++
	r := New(fmt.Sprintf("gate-%d.%03d", slot, w.spawned), Options{Lifetime: walkLifetime, MaxAnswerBytes: 400})
	g := &walkGate{registry: r, spawnedAt: w.now}
	if w.logUp {
		g.folded, g.logEndSeenAt = len(w.log), w.now
		return g
	}
	for _, peer := range w.gates {
		if peer != nil && peer.folded >= g.folded {
			g.folded, g.logEndSeenAt = peer.folded, peer.logEndSeenAt
		}
	}
	return g
}

func (w *walk) step() string {
	w.now = w.now.Add(walkTick)
	slot := w.r.IntN(walkGates)
	g := w.gates[slot]
	op := w.r.Float64()
	if g == nil {
		if op < 0.3 {
			w.gates[slot] = w.spawnGate(slot)
		}
		return ""
	}
	switch {
	case op < 0.04:
		w.ids = append(w.ids, g.registry.Mint(w.now))
	case op < 0.06:
		w.ids = append(w.ids, KeyID("paint", fmt.Sprint("order-", len(w.ids))))
	case op < 0.40 && len(w.ids) > 0:
		recent := w.ids[max(0, len(w.ids)-6):]
		return w.request(g, recent[w.r.IntN(len(recent))])
	case op < 0.42 && len(w.ids) > 0:
		return w.request(g, w.ids[w.r.IntN(len(w.ids))])
	case op < 0.54:
		w.endRandomRun()
	case op < 0.70:
		w.foldSome(g)
	case op < 0.78:
		return w.resolveOldestClaim(g)
	case op < 0.80:
		w.logUp = !w.logUp || w.r.Float64() < 0.5
	case op < 0.83:
		w.completeLostAppend()
	case op < 0.845:
		w.gates[slot] = nil
	case op < 0.87:
		w.handOver(g)
	case op < 0.90:
		w.deliverHandover()
	case op < 0.95:
		w.deliverOutcome()
	case op < 0.96:
		g.registry.Expire(w.now)
	default:
		w.markGoneIncarnations(g)
	}
	return w.checkStarts()
}

// request sends a request to a gate and follows up to three forwards to the gate that decides.
func (w *walk) request(g *walkGate, id string) string {
	for range 4 {
		var next string
		switch d := w.decide(g, id).(type) {
		case Start:
			w.start(g, id)
			return w.checkStarts()
		case NeedsClaim:
			w.appendClaim(g, id)
			return ""
		case HeldElsewhere:
			next = d.Holder()
		case RepeatAnswer, AnswerGone:
			if w.starts[id] == 0 && !w.isErrorAnswer(d) {
				return fmt.Sprintf("answer returned for %q, which never ran", id)
			}
			return ""
		default:
			return ""
		}
		if g = w.gateFor(next); g == nil {
			return ""
		}
	}
	return ""
}

func (w *walk) isErrorAnswer(d Decision) bool {
	repeat, ok := d.(RepeatAnswer)
	return ok && repeat.Answer().Code() != 0
}

func (w *walk) decide(g *walkGate, id string) Decision {
	if w.mutation == expiredTicketsAccepted {
		g.registry.options.Lifetime = time.Hour
		for _, a := range g.registry.authorities {
			a.ExpiredUntilMs = 0
		}
		defer func() { g.registry.options.Lifetime = walkLifetime }()
	}
	if isKey(id) {
		return w.decideKey(g, id)
	}
	d := g.registry.Begin(id, "d", w.now)
	if _, again := d.(RepeatAnswer); again && w.mutation == repeatStartsAgain {
		return Start{}
	}
	if n, elsewhere := d.(HeldElsewhere); elsewhere && w.mutation == peerDecidesForGoneGate && w.gateFor(n.Holder()) == nil {
		return Start{}
	}
	return d
}

func (w *walk) decideKey(g *walkGate, id string) Decision {
	first := w.firstClaim(g, id)
	d := g.registry.BeginKey(id, "d", first, w.now)
	if _, lost := d.(OutcomeUnknown); lost && w.mutation == startsOnForgottenClaim && first.holder == g.registry.incarnation {
		return Start{}
	}
	return d
}

func isKey(id string) bool { return strings.HasPrefix(id, "paint\x00") }

func (w *walk) firstClaim(g *walkGate, id string) FirstClaim {
	for _, c := range w.log[:g.folded] {
		if c.id == id {
			return NewFirstClaim(c.holder, c.digest)
		}
	}
	return FirstClaim{}
}

// gateFor returns the gate that runs as the incarnation or has adopted its state.
func (w *walk) gateFor(incarnation string) *walkGate {
	for _, g := range w.gates {
		if g != nil && g.registry.HasAuthorityFor(incarnation) {
			return g
		}
	}
	return nil
}

func (w *walk) start(g *walkGate, id string) {
	w.starts[id]++
	w.running = append(w.running, activeRun{id, g})
}

// appendClaim writes the claim. If the log is down or the answer is lost, the claim may take effect later or never.
func (w *walk) appendClaim(g *walkGate, id string) {
	c := logClaim{id, "d", g.registry.incarnation}
	g.pendingClaims = append(g.pendingClaims, id)
	switch p := w.r.Float64(); {
	case w.mutation == startsWithoutReadBack:
		w.resolveClaim(g, id, NewFirstClaim(c.holder, c.digest))
	case w.logUp && p < 0.8:
		w.log = append(w.log, c)
	case p < 0.9:
		w.inFlight = append(w.inFlight, c)
	}
}

func (w *walk) completeLostAppend() {
	if len(w.inFlight) > 0 {
		w.log = append(w.log, w.inFlight[0])
		w.inFlight = w.inFlight[1:]
	}
}

// foldSome lets a gate read some more of the log; it can reach the end of the log only while the log is up.
func (w *walk) foldSome(g *walkGate) {
	if !w.logUp {
		return
	}
	g.folded += w.r.IntN(len(w.log) - g.folded + 1)
	if g.folded == len(w.log) {
		g.logEndSeenAt = w.now
	}
}

// resolveOldestClaim reads a claim back, or gives up and checks that a request reported as not run has not started.
func (w *walk) resolveOldestClaim(g *walkGate) string {
	if len(g.pendingClaims) == 0 {
		return ""
	}
	id := g.pendingClaims[0]
	if first := w.firstClaim(g, id); first.holder != "" {
		g.pendingClaims = g.pendingClaims[1:]
		w.resolveClaim(g, id, first)
		return w.checkStarts()
	}
	if w.mutation == startsWithoutFirstClaim && w.r.Float64() < 0.1 {
		g.pendingClaims = g.pendingClaims[1:]
		w.resolveClaim(g, id, NewFirstClaim(g.registry.incarnation, "d"))
		return w.checkStarts()
	}
	if w.r.Float64() < 0.7 {
		return ""
	}
	g.pendingClaims = g.pendingClaims[1:]
	g.registry.AbandonClaim(id)
	if w.isCertainlyNotRun(g, id) && w.starts[id] > 0 {
		return fmt.Sprintf("%q reported as not run, but started %d times", id, w.starts[id])
	}
	return ""
}

func (w *walk) resolveClaim(g *walkGate, id string, first FirstClaim) {
	g.pendingClaims = slices.DeleteFunc(g.pendingClaims, func(reading string) bool { return reading == id })
	if _, ok := g.registry.ResolveClaim(id, "d", first, w.now).(Start); ok {
		w.start(g, id)
	}
}

// isCertainlyNotRun asks every gate. A gate that is down, or that started after this gate last read the end of the log,
// leaves open what its earlier incarnation may have run.
func (w *walk) isCertainlyNotRun(g *walkGate, id string) bool {
	if w.mutation == peersNotAsked {
		return true
	}
	for _, other := range w.gates {
		if other == nil || other.registry.MayHaveRun(id) || w.firstClaim(other, id).holder != "" {
			return false
		}
		if w.mutation != youngPeersTrusted && !other.spawnedAt.Before(g.logEndSeenAt) && other != g {
			return false
		}
	}
	return w.mutation == youngPeersTrusted || !g.spawnedAt.After(g.logEndSeenAt)
}

// endRandomRun ends one run: its answer is stored, or the request is released because it certainly did not run.
func (w *walk) endRandomRun() {
	if len(w.running) == 0 {
		return
	}
	i := w.r.IntN(len(w.running))
	ended := w.running[i]
	w.running = slices.Delete(w.running, i, i+1)
	if !slices.Contains(w.gates, ended.gate) {
		return
	}
	registry := ended.gate.registry
	var to string
	released := w.r.Float64() < 0.25
	if released {
		w.starts[ended.id]--
		to = registry.Release(ended.id)
	} else {
		to = registry.Finish(ended.id, NewAnswer(AnswerSpec{Status: 200, Body: []byte("whole answer")}))
	}
	if to != "" {
		w.outcomes = append(w.outcomes, outcomeMessage{ended.id, registry.incarnation, to, released})
	}
}

func (w *walk) handOver(g *walkGate) {
	if g.registry.Successor() != "" {
		return
	}
	successor := w.gates[w.r.IntN(walkGates)]
	if successor == nil || successor == g || successor.registry.Successor() != "" {
		return
	}
	authorities := g.registry.authorities
	handover := g.registry.HandOver(successor.registry.incarnation)
	if w.mutation == runningHandedOverAsUnstarted {
		for id, e := range handover.w.Entries {
			if e.Phase == phaseRunning {
				delete(handover.w.Entries, id)
			}
		}
	}
	raw, _ := json.Marshal(handover)
	w.handovers = append(w.handovers, handoverMessage{raw, successor.registry.incarnation, g})
	if w.mutation == predecessorKeepsEntries {
		g.registry.authorities = authorities
	}
}

func (w *walk) deliverHandover() {
	if len(w.handovers) == 0 {
		return
	}
	i := w.r.IntN(len(w.handovers))
	message := w.handovers[i]
	if w.r.Float64() < 0.6 { // otherwise it is delivered again later
		w.handovers = slices.Delete(w.handovers, i, i+1)
	}
	for _, g := range w.gates {
		if g != nil && g.registry.incarnation == message.successor && w.r.Float64() > 0.2 {
			var handover HandoverState
			_ = json.Unmarshal(message.raw, &handover)
			g.registry.Adopt(handover)
		}
	}
}

func (w *walk) deliverOutcome() {
	if len(w.outcomes) == 0 {
		return
	}
	i := w.r.IntN(len(w.outcomes))
	p := w.outcomes[i]
	if w.r.Float64() < 0.6 { // otherwise it is delivered again later
		w.outcomes = slices.Delete(w.outcomes, i, i+1)
	}
	g := w.gateFor(p.to)
	if g == nil || g.registry.incarnation != p.to {
		return
	}
	answer := NewAnswer(AnswerSpec{Status: 200, Body: []byte("whole answer")})
	switch {
	case p.released:
		g.registry.RecordPeerOutcome(p.id, p.from, nil)
	default:
		g.registry.RecordPeerOutcome(p.id, p.from, &answer)
	}
}

// markGoneIncarnations tells a gate which incarnations have certainly ended.
func (w *walk) markGoneIncarnations(g *walkGate) {
	alive := map[string]bool{}
	for _, other := range w.gates {
		if other != nil {
			alive[other.registry.incarnation] = true
		}
	}
	for _, e := range g.registry.entries {
		if e.RunningAt != "" && !alive[e.RunningAt] {
			g.registry.MarkIncarnationGone(e.RunningAt, NewAnswer(AnswerSpec{Code: 302}))
		}
	}
}

func (w *walk) checkStarts() string {
	for id, n := range w.starts {
		if n > 1 {
			return fmt.Sprintf("%q started %d times", id, n)
		}
	}
	return ""
}

func (w *walk) run(steps int) string {
	for i := range steps {
		if violation := w.step(); violation != "" {
			return fmt.Sprintf("step %d: %s", i, violation)
		}
	}
	return ""
}
