package ticket

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// slip names a mistake that the walk's own copy of a protocol step makes.
type slip string

const (
	noSlip           slip = "as designed"
	giverKeeps       slip = "the giver keeps what it handed over"
	heirSeized       slip = "a peer decides for a gate that is gone"
	runsForgotten    slip = "work running at the giver handed over as unstarted"
	ownClaimSuffices slip = "a claim starts without being the first"
	noReadBack       slip = "a claim starts without being read back"
	claimIsMemory    slip = "an own claim starts without memory of it"
	peersNotAsked    slip = "a lost claim called not run without asking the others"
	youngPeersCount  slip = "a lost claim called not run though a gate is younger than the view of the log"
	noHorizon        slip = "old tickets forgotten, not refused"
	repeatStarts     slip = "a repeat starts again"
)

const (
	walkGates    = 3
	walkLifetime = 40 * time.Second
	walkTick     = 100 * time.Millisecond
)

// walk is a random interleaving of requests, repeats, deaths and hand-overs through several gates.
type walk struct {
	r         *rand.Rand
	slip      slip
	now       time.Time
	born      int
	gates     []*walkGate // nil where the address refuses connections
	log       []logClaim
	logUp     bool
	inFlight  []logClaim // appends whose answer was lost and which may still take effect
	ids       []string
	starts    map[string]int // starts that may have had an effect
	answered  map[string]int // how often an answer other than not-run was given
	running   []run
	estates   []heldEstate
	passes    []pass
	unsettled map[string]bool
}

type logClaim struct {
	id, digest, holder string
}

type walkGate struct {
	registry *Registry
	folded   int
	tipSeen  time.Time
	bornAt   time.Time
	reading  []string // keys whose claim is being read back
}

type run struct {
	id   string
	gate *walkGate
}

type heldEstate struct {
	raw   []byte
	heir  string
	giver *walkGate
}

type pass struct {
	id, from, to string
	released     bool
}

func newWalk(seed uint64, s slip) *walk {
	w := &walk{
		r: rand.New(rand.NewPCG(seed, 3)), slip: s, now: time.UnixMilli(1_000_000), logUp: true,
		starts: map[string]int{}, answered: map[string]int{}, gates: make([]*walkGate, walkGates),
	}
	for slot := range w.gates {
		w.gates[slot] = w.spawn(slot)
	}
	return w
}

func (w *walk) spawn(slot int) *walkGate {
	w.born++
	r := New(fmt.Sprintf("gate-%d.%03d", slot, w.born), Options{Lifetime: walkLifetime, MaxAnswerBytes: 400})
	g := &walkGate{registry: r, bornAt: w.now}
	if w.logUp {
		g.folded, g.tipSeen = len(w.log), w.now
		return g
	}
	for _, peer := range w.gates {
		if peer != nil && peer.folded >= g.folded {
			g.folded, g.tipSeen = peer.folded, peer.tipSeen
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
			w.gates[slot] = w.spawn(slot)
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
		w.endRun()
	case op < 0.70:
		w.fold(g)
	case op < 0.78:
		return w.settleClaim(g)
	case op < 0.80:
		w.logUp = !w.logUp || w.r.Float64() < 0.5
	case op < 0.83:
		w.lateAppend()
	case op < 0.845:
		w.gates[slot] = nil
	case op < 0.87:
		w.handOver(g)
	case op < 0.90:
		w.deliverEstate()
	case op < 0.95:
		w.deliverPass()
	case op < 0.96:
		g.registry.Expire(w.now)
	default:
		w.noteGone(g)
	}
	return w.check()
}

// request sends one to a gate, which forwards it as often as it is told to.
func (w *walk) request(g *walkGate, id string) string {
	for range 4 {
		var next string
		switch d := w.decide(g, id).(type) {
		case Start:
			w.start(g, id)
			return w.check()
		case NeedsClaim:
			w.append(g, id)
			return ""
		case HeldElsewhere:
			next = d.Holder()
		case RepeatAnswer, AnswerGone:
			if w.starts[id] == 0 && !w.unknownAnswer(d) {
				return fmt.Sprintf("an answer to %q, which never ran", id)
			}
			return ""
		default:
			return ""
		}
		if g = w.holder(next); g == nil {
			return ""
		}
	}
	return ""
}

func (w *walk) unknownAnswer(d Decision) bool {
	repeat, ok := d.(RepeatAnswer)
	return ok && repeat.Answer().Code() != 0
}

func (w *walk) decide(g *walkGate, id string) Decision {
	if w.slip == noHorizon {
		g.registry.options.Lifetime = time.Hour
		for _, a := range g.registry.authorities {
			a.HorizonMs = 0
		}
		defer func() { g.registry.options.Lifetime = walkLifetime }()
	}
	if isKey(id) {
		return w.decideKey(g, id)
	}
	d := g.registry.Begin(id, "d", w.now)
	if _, again := d.(RepeatAnswer); again && w.slip == repeatStarts {
		return Start{}
	}
	if n, elsewhere := d.(HeldElsewhere); elsewhere && w.slip == heirSeized && w.holder(n.Holder()) == nil {
		return Start{}
	}
	return d
}

func (w *walk) decideKey(g *walkGate, id string) Decision {
	first := w.first(g, id)
	d := g.registry.BeginKey(id, "d", first, w.now)
	if _, lost := d.(OutcomeUnknown); lost && w.slip == claimIsMemory && first.holder == g.registry.incarnation {
		return Start{}
	}
	return d
}

func isKey(id string) bool { return strings.HasPrefix(id, "paint\x00") }

func (w *walk) first(g *walkGate, id string) FirstClaim {
	for _, c := range w.log[:g.folded] {
		if c.id == id {
			return NewFirstClaim(c.holder, c.digest)
		}
	}
	return FirstClaim{}
}

// holder returns the gate that runs as the incarnation, or that adopted it.
func (w *walk) holder(incarnation string) *walkGate {
	for _, g := range w.gates {
		if g != nil && g.registry.HasAuthorityFor(incarnation) {
			return g
		}
	}
	return nil
}

func (w *walk) start(g *walkGate, id string) {
	w.starts[id]++
	w.running = append(w.running, run{id, g})
}

// append writes the claim; with the log down, or the answer lost, it may take effect later.
func (w *walk) append(g *walkGate, id string) {
	c := logClaim{id, "d", g.registry.incarnation}
	g.reading = append(g.reading, id)
	switch p := w.r.Float64(); {
	case w.slip == noReadBack:
		w.claimed(g, id, NewFirstClaim(c.holder, c.digest))
	case w.logUp && p < 0.8:
		w.log = append(w.log, c)
	case p < 0.9:
		w.inFlight = append(w.inFlight, c)
	}
}

func (w *walk) lateAppend() {
	if len(w.inFlight) > 0 {
		w.log = append(w.log, w.inFlight[0])
		w.inFlight = w.inFlight[1:]
	}
}

// fold lets a gate read on; only a log that is up shows its end.
func (w *walk) fold(g *walkGate) {
	if !w.logUp {
		return
	}
	g.folded += w.r.IntN(len(w.log) - g.folded + 1)
	if g.folded == len(w.log) {
		g.tipSeen = w.now
	}
}

// settleClaim reads a claim back, or gives up and says that nothing ran if that is certain.
func (w *walk) settleClaim(g *walkGate) string {
	if len(g.reading) == 0 {
		return ""
	}
	id := g.reading[0]
	if first := w.first(g, id); first.holder != "" {
		g.reading = g.reading[1:]
		w.claimed(g, id, first)
		return w.check()
	}
	if w.slip == ownClaimSuffices && w.r.Float64() < 0.1 {
		g.reading = g.reading[1:]
		w.claimed(g, id, NewFirstClaim(g.registry.incarnation, "d"))
		return w.check()
	}
	if w.r.Float64() < 0.7 {
		return ""
	}
	g.reading = g.reading[1:]
	g.registry.AbandonClaim(id)
	if w.certainlyNotRun(g, id) && w.starts[id] > 0 {
		return fmt.Sprintf("%q called not run, but started %d times", id, w.starts[id])
	}
	return ""
}

func (w *walk) claimed(g *walkGate, id string, first FirstClaim) {
	g.reading = slices.DeleteFunc(g.reading, func(reading string) bool { return reading == id })
	if _, ok := g.registry.ResolveClaim(id, "d", first, w.now).(Start); ok {
		w.start(g, id)
	}
}

// certainlyNotRun asks every gate; one that is gone, or younger than this gate's last sight of the log's end, hides
// what an earlier incarnation may have done.
func (w *walk) certainlyNotRun(g *walkGate, id string) bool {
	if w.slip == peersNotAsked {
		return true
	}
	for _, other := range w.gates {
		if other == nil || other.registry.MayHaveRun(id) || w.first(other, id).holder != "" {
			return false
		}
		if w.slip != youngPeersCount && !other.bornAt.Before(g.tipSeen) && other != g {
			return false
		}
	}
	return w.slip == youngPeersCount || !g.bornAt.After(g.tipSeen)
}

// endRun ends a run; its answer reaches the registry, or the request is known not to have run.
func (w *walk) endRun() {
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
		w.passes = append(w.passes, pass{ended.id, registry.incarnation, to, released})
	}
}

func (w *walk) handOver(g *walkGate) {
	if g.registry.Successor() != "" {
		return
	}
	heir := w.gates[w.r.IntN(walkGates)]
	if heir == nil || heir == g || heir.registry.Successor() != "" {
		return
	}
	kept := g.registry.authorities
	estate := g.registry.HandOver(heir.registry.incarnation)
	if w.slip == runsForgotten {
		for id, e := range estate.w.Entries {
			if e.Phase == running {
				delete(estate.w.Entries, id)
			}
		}
	}
	raw, _ := json.Marshal(estate)
	w.estates = append(w.estates, heldEstate{raw, heir.registry.incarnation, g})
	if w.slip == giverKeeps {
		g.registry.authorities = kept
	}
}

func (w *walk) deliverEstate() {
	if len(w.estates) == 0 {
		return
	}
	i := w.r.IntN(len(w.estates))
	held := w.estates[i]
	if w.r.Float64() < 0.6 { // else it is repeated later
		w.estates = slices.Delete(w.estates, i, i+1)
	}
	for _, g := range w.gates {
		if g != nil && g.registry.incarnation == held.heir && w.r.Float64() > 0.2 {
			var estate HandoverState
			_ = json.Unmarshal(held.raw, &estate)
			g.registry.Adopt(estate)
		}
	}
}

func (w *walk) deliverPass() {
	if len(w.passes) == 0 {
		return
	}
	i := w.r.IntN(len(w.passes))
	p := w.passes[i]
	if w.r.Float64() < 0.6 { // else it is repeated later
		w.passes = slices.Delete(w.passes, i, i+1)
	}
	g := w.holder(p.to)
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

// noteGone tells a gate which incarnations certainly ended.
func (w *walk) noteGone(g *walkGate) {
	alive := map[string]bool{}
	for _, other := range w.gates {
		if other != nil {
			alive[other.registry.incarnation] = true
		}
	}
	for _, e := range g.registry.entries {
		if e.Away != "" && !alive[e.Away] {
			g.registry.MarkIncarnationGone(e.Away, NewAnswer(AnswerSpec{Code: 302}))
		}
	}
}

func (w *walk) check() string {
	for id, n := range w.starts {
		if n > 1 {
			return fmt.Sprintf("%q started %d times", id, n)
		}
	}
	return ""
}

func (w *walk) run(steps int) string {
	for i := range steps {
		if breach := w.step(); breach != "" {
			return fmt.Sprintf("step %d: %s", i, breach)
		}
	}
	return ""
}
