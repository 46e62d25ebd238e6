package segs

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mangowing/gate/ports"
)

const (
	walkSeeds     = 200
	walkSteps     = 15000
	walkGates     = 3
	walkParts     = 4
	snapshotStart = "snapshot"
	snapshotEnd   = "end"
)

// ownerEntry is a record of the owner topic: a claim, or a heartbeat or commit with a segment.
type ownerEntry struct {
	gate    int
	claim   bool
	segment Segment
}

// walkPartition is a partition of the journal. A repeated sequence number of the current epoch gets the first answer again.
type walkPartition struct {
	failed  bool
	records []string
	epoch   int64
	offsets []int64 // by sequence number of the current epoch
}

func (p *walkPartition) append(a ports.Append) (int64, error) {
	if a.Epoch < p.epoch {
		return 0, ports.ErrFenced
	}
	if a.Epoch > p.epoch {
		p.epoch, p.offsets = a.Epoch, nil
	}
	end := int64(len(p.records))
	switch {
	case len(a.Records) == 0:
		if len(p.offsets) == 0 {
			p.offsets = []int64{end}
		}
		return end, nil
	case a.Sequence < int64(len(p.offsets)):
		return p.offsets[a.Sequence], nil
	case a.Sequence > int64(len(p.offsets)):
		return 0, ports.ErrSequence
	}
	for _, r := range a.Records {
		p.records = append(p.records, string(r))
	}
	p.offsets = append(p.offsets, end)
	return end, nil
}

// walkTerm is one ownership of a gate. The facts stand for jobs, starts and ends.
type walkTerm struct {
	claim    int64
	writer   *Writer
	state    []string   // all facts decided or replayed, in order
	group    []string   // facts that wait to be acknowledged
	chunks   [][]string // appends that are due
	snapshot int64      // offset of the last snapshot's start
	epoch    int64      // of the next attempt, 0 until a heartbeat was confirmed
}

type walkGate struct {
	read        int // records of the owner topic that the gate knows
	segment     Segment
	term        *walkTerm
	pausedUntil int
}

// walk plays gates over a log. Each step is at most one call of one gate, so that all interleavings of calls occur.
type walk struct {
	t            *testing.T
	rng          *rand.Rand
	seed         uint64
	step         int
	owners       []ownerEntry
	parts        [walkParts]walkPartition
	late         []func() // calls that the log has not carried out yet, though their caller has given up waiting
	gates        [walkGates]walkGate
	facts        int
	acknowledged map[string]bool
	decidedBy    map[string]int64 // claim of the term that decided a fact
	void         map[string]bool
	lastReplay   int64
	switches     int
	takeovers    int
}

func (w *walk) fail(format string, args ...any) {
	w.t.Fatalf("seed %d, step %d: %s", w.seed, w.step, fmt.Sprintf(format, args...))
}

// call carries a call out, loses it or its answer, carries it out later or twice. isUp tells whether the log takes it now.
func (w *walk) call(isUp bool, f func() (int64, error)) (int64, error) {
	fate := w.rng.IntN(20)
	if !isUp || fate < 2 {
		if w.rng.IntN(2) == 0 {
			w.late = append(w.late, func() { _, _ = f() })
		}
		return 0, ports.ErrOutcomeUnknown
	}
	offset, err := f()
	if fate == 2 {
		w.late = append(w.late, func() { _, _ = f() })
	}
	if fate == 3 || fate == 4 {
		return 0, ports.ErrOutcomeUnknown
	}
	return offset, err
}

func (w *walk) appendJournal(a ports.Append) (int64, error) {
	p := &w.parts[a.Partition]
	return w.call(!p.failed, func() (int64, error) { return p.append(a) })
}

// appendOwner appends to the owner topic if it ends where the gate has read it last, as the elector does.
func (w *walk) appendOwner(g *walkGate, e ownerEntry) (int64, error) {
	end := g.read
	offset, err := w.call(true, func() (int64, error) {
		if len(w.owners) != end {
			return 0, ports.ErrEndMismatch
		}
		w.owners = append(w.owners, e)
		return int64(end), nil
	})
	if err == nil {
		g.read, g.segment = end+1, g.segment.Merge(e.segment)
	}
	return offset, err
}

func (w *walk) follow(n int) {
	g := &w.gates[n]
	for ; g.read < len(w.owners); g.read++ {
		e := w.owners[g.read]
		g.segment = g.segment.Merge(e.segment)
		if e.claim {
			g.term = nil
			if e.gate == n {
				g.term = &walkTerm{claim: int64(g.read + 1), writer: NewWriter(g.segment, int64(g.read+1))}
			}
		}
	}
}

// replay returns the facts of the segment from its newest whole snapshot on.
func (w *walk) replay(s Segment) (state []string) {
	records := w.parts[s.Partition].records
	var pending []string
	inSnapshot := false
	for at := s.Snapshot; at < int64(len(records)); at++ {
		r := records[at]
		switch {
		case at == s.Start && s.HasHeader():
			if err := s.CheckHeader([]byte(r)); err != nil {
				w.fail("%v", err)
			}
		case r == snapshotStart:
			pending, inSnapshot = nil, true
		case r == snapshotEnd && inSnapshot:
			state, inSnapshot = slices.Clone(pending), false
		case inSnapshot && r[0] == 's':
			pending = append(pending, r[1:])
		case r[0] == 'f':
			inSnapshot = false
			state = append(state, r[1:])
		}
	}
	return state
}

// checkTakeover checks what a successor has replayed: everything acknowledged, each fact once, and nothing that an earlier successor
// has found missing.
func (w *walk) checkTakeover(term *walkTerm, state []string) {
	if term.claim <= w.lastReplay {
		w.fail("claim %d replays after claim %d", term.claim, w.lastReplay)
	}
	w.lastReplay = term.claim
	seen := map[string]bool{}
	for _, f := range state {
		if seen[f] || w.void[f] {
			w.fail("claim %d replays %s: twice %v, void %v", term.claim, f, seen[f], w.void[f])
		}
		seen[f] = true
	}
	for f, by := range w.decidedBy {
		if by < term.claim && !seen[f] {
			w.void[f] = true
			if w.acknowledged[f] {
				w.fail("claim %d lacks %s, which claim %d has acknowledged", term.claim, f, by)
			}
		}
	}
	w.takeovers++
}

func (w *walk) snapshot(term *walkTerm) [][]string {
	chunks := [][]string{{snapshotStart}, {}, {snapshotEnd}}
	for _, f := range term.state {
		chunks[1] = append(chunks[1], "s"+f)
	}
	return slices.DeleteFunc(chunks, func(c []string) bool { return len(c) == 0 })
}

func (w *walk) decide(term *walkTerm) {
	for range w.rng.IntN(3) {
		w.facts++
		f := fmt.Sprint(w.facts)
		w.decidedBy[f], w.void[f] = term.claim, term.claim < w.lastReplay
		term.state, term.group = append(term.state, f), append(term.group, f)
	}
}

func (w *walk) acknowledge(term *walkTerm) {
	if !term.writer.MayAcknowledge() {
		w.fail("acknowledges in phase %d", term.writer.phase)
	}
	for _, f := range term.group {
		if w.void[f] {
			w.fail("claim %d acknowledges %s, which is void", term.claim, f)
		}
		w.acknowledged[f] = true
	}
	term.group = nil
}

func (w *walk) stepOwner(g *walkGate) {
	term := g.term
	switch {
	case term.writer.phase == phaseClaimed:
		s := term.writer.Current()
		if _, err := w.appendJournal(term.writer.Fence()); err == nil && !w.parts[s.Partition].failed {
			term.state = w.replay(s)
			w.checkTakeover(term, term.state)
			w.must(term.writer.Fenced())
		} else if err == ports.ErrFenced {
			g.term = nil
		}
	case len(term.chunks) > 0:
		w.appendChunk(g)
	case term.writer.phase == phaseCommitting:
		w.commit(g)
	case term.writer.phase == phaseGivenUp:
		w.open(g)
	default:
		w.acknowledge(term)
		w.decide(term)
		for _, f := range term.group {
			term.chunks = append(term.chunks, []string{"f" + f})
		}
		if w.rng.IntN(8) == 0 {
			term.chunks = append(term.chunks, w.snapshot(term)...)
		}
	}
}

func (w *walk) must(err error) {
	if err != nil {
		w.fail("%v", err)
	}
}

func (w *walk) appendChunk(g *walkGate) {
	term := g.term
	var records [][]byte
	for _, r := range term.chunks[0] {
		records = append(records, []byte(r))
	}
	a, err := term.writer.Append(records)
	w.must(err)
	offset, err := w.appendJournal(a)
	switch {
	case err == nil:
		term.writer.Appended(offset)
		switch opening := term.writer.phase == phaseOpening; {
		case term.chunks[0][0] == snapshotStart:
			term.snapshot = offset
		case term.chunks[0][0] == snapshotEnd && opening:
			_, err := term.writer.Complete()
			w.must(err)
		case term.chunks[0][0] == snapshotEnd:
			term.writer.Marked(term.snapshot)
			g.segment = g.segment.Merge(term.writer.Current())
		}
		term.chunks = term.chunks[1:]
	case err != ports.ErrOutcomeUnknown:
		g.term = nil
	case w.rng.IntN(3) > 0:
	case term.writer.phase == phaseOpening:
		w.must(term.writer.Abandon())
		term.chunks, term.epoch = nil, 0
	default:
		w.must(term.writer.GiveUp())
		w.decide(term) // what was decided meanwhile is in the snapshot as well
		term.chunks, term.epoch = nil, 0
	}
}

func (w *walk) open(g *walkGate) {
	term := g.term
	if term.epoch == 0 {
		if offset, err := w.appendOwner(g, ownerEntry{segment: g.segment}); err == nil {
			term.epoch = offset + 1
		}
		return
	}
	partition := w.rng.IntN(walkParts)
	if _, err := w.appendJournal(FenceAppend(partition, term.epoch)); err == nil {
		header, err := term.writer.Open(partition, term.epoch)
		w.must(err)
		term.chunks = append([][]string{{string(header)}}, w.snapshot(term)...)
	} else if err == ports.ErrFenced {
		g.term = nil
	}
}

func (w *walk) commit(g *walkGate) {
	term := g.term
	if g.segment.Number < term.writer.next.Number {
		if _, err := w.appendOwner(g, ownerEntry{segment: term.writer.next}); err != nil {
			return
		}
	}
	w.must(term.writer.Committed())
	w.switches++
	w.acknowledge(term)
}

func (w *walk) run() {
	for w.step = range walkSteps {
		n := w.rng.IntN(walkGates)
		g := &w.gates[n]
		switch roll := w.rng.IntN(100); {
		case roll < 4:
			p := &w.parts[w.rng.IntN(walkParts)]
			p.failed = !p.failed
		case roll < 10 && len(w.late) > 0:
			i := w.rng.IntN(len(w.late))
			w.late[i]()
			w.late = slices.Delete(w.late, i, i+1)
		case w.step < g.pausedUntil:
		case roll < 12:
			g.pausedUntil = w.step + w.rng.IntN(400)
		case roll < 30:
			w.follow(n)
		case roll < 32 && g.term == nil:
			if _, err := w.appendOwner(g, ownerEntry{gate: n, claim: true, segment: g.segment}); err == nil {
				g.read-- // the gate becomes owner by reading its claim
				w.follow(n)
			}
		case g.term != nil:
			w.stepOwner(g)
		}
	}
}

// Guards against a switch of the journal's partition that loses what was acknowledged, brings back what a successor has not found, or
// counts something twice: with lost, late and doubled calls, partitions that fail and return, pauses and takeovers.
func TestWalkOverSegments(t *testing.T) {
	switches, takeovers := 0, 0
	for seed := range uint64(walkSeeds) {
		w := &walk{t: t, rng: rand.New(rand.NewPCG(seed, 4)), seed: seed, acknowledged: map[string]bool{}, decidedBy: map[string]int64{}, void: map[string]bool{}}
		w.run()
		switches, takeovers = switches+w.switches, takeovers+w.takeovers
	}
	t.Logf("%d switches, %d takeovers", switches, takeovers)
	assert.Assert(t, switches > walkSeeds && takeovers > walkSeeds, "%d switches, %d takeovers", switches, takeovers)
}

// Guards against switches while the log is slow as a whole, and against none when one partition fails.
func TestAppendIsStalledOnlyIfItsPartitionIsSlow(t *testing.T) {
	ms := time.Millisecond
	scenarios := []struct {
		testName string
		age      time.Duration
		bytes    int
		isAlive  bool
		latency  time.Duration
		expected bool
	}{
		{"partition silent, log quick", 400 * ms, 0, true, 12 * ms, true},
		{"not yet", 390 * ms, 0, true, 12 * ms, false},
		{"the whole log silent", 5 * time.Second, 0, false, 12 * ms, false},
		{"log 60 times slower, quickest heartbeat", time.Second, 0, true, 250 * ms, false},
		{"log 60 times slower, slowest heartbeat", 2 * time.Second, 0, true, time.Second, false},
		{"large append on a thin link", 700 * ms, 512 << 10, true, 60 * ms, false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.Equal(t, IsStalled(s.age, s.bytes, s.isAlive, s.latency), s.expected)
		})
	}
}

// Guards against a slow log taken for a quick one: heartbeats in flight count, and those that were sent before the append don't show that
// the log is alive.
func TestLatenciesOfHeartbeats(t *testing.T) {
	var l Latencies
	l.Sent(1, 100)
	l.Ended(1, 130, true)
	l.Sent(2, 200)
	assert.Equal(t, l.Greatest(250), time.Duration(50))
	l.Ended(2, 260, false)
	assert.Equal(t, l.IsAliveSince(99) && !l.IsAliveSince(100), true)
	assert.Equal(t, l.Greatest(260+latencyWindow), time.Duration(60))
	assert.Equal(t, l.Greatest(261+latencyWindow), time.Duration(0))
}

// Guards against a switch to a partition that has just failed, and against none if all have.
func TestCandidatesHaveNotFailedLately(t *testing.T) {
	r := NewRotation(4)
	r.Failed(3, time.Second)
	r.Failed(2, 2*time.Second)
	assert.DeepEqual(t, r.Candidates(2, 3*time.Second), []int{0, 1, 3, 2})
	assert.DeepEqual(t, r.Candidates(2, time.Second+setAsideTime), []int{3, 0, 1, 2})
}

// Guards against a successor that takes a mark for another segment: those without segments are plain offsets.
func TestMarks(t *testing.T) {
	for _, s := range []Segment{{Snapshot: 17}, {Number: 3, Partition: 5, Epoch: 90, Start: 4, Snapshot: 12}} {
		parsed, err := ParseMark(s.Mark())
		assert.NilError(t, err)
		assert.Equal(t, parsed, s)
	}
	assert.Equal(t, Segment{Snapshot: 17}.Mark(), "17")
	for _, value := range []string{"", "-7", "soon", "1e999", `{"number":-1}`, `{"start":9,"snapshot":3}`} {
		_, err := ParseMark(value)
		assert.Assert(t, err != nil, value)
	}
}
