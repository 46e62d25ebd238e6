package fold

import (
	"encoding/json"
	"fmt"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowing/core/codes"
	"mangowing/core/record"
)

// generator generates log entries: records that are valid for a state, nearly valid ones, repeats and malformed data.
type generator struct {
	rt   *rapid.T
	n    int
	sent []record.Record
}

func (g *generator) pick(label string, choices ...string) string {
	return rapid.SampledFrom(choices).Draw(g.rt, label)
}

func (g *generator) team() string { return g.pick("team", "buyers", "plant-floor") }
func (g *generator) pool() string { return g.pick("pool", "pour", "quote") }
func (g *generator) vm() string   { return g.pick("vm", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6") }
func (g *generator) dc() string   { return g.pick("data-centre", "a", "b", "c") }
func (g *generator) state() string {
	return g.pick("state", VMServing, VMDraining, VMMoving, VMRebooting, VMQuarantined, VMLeaving)
}
func (g *generator) hash() string { return g.pick("hash", "h1", "h2", "h3") }

// base returns the current revision most of the time, otherwise a stale one.
func (g *generator) base(current uint64) uint64 {
	if rapid.IntRange(0, 5).Draw(g.rt, "stale") == 0 && current > 0 {
		return current - 1
	}
	return current
}

// token returns an operator's token (0), the planner's or one that does not match the lease.
func (g *generator) token(s *State) uint64 {
	return rapid.SampledFrom([]uint64{0, s.Lease().Token(), s.Lease().Token() + 1}).Draw(g.rt, "token")
}

func initialObjects() []record.Object {
	return []record.Object{
		record.NewObject("fleet", "vlnka", 0).WithField("data-centres", "a, b, c"),
		record.NewObject("pool", "pour", 0).WithField("vms", "vm-[1-4]").WithField("min-serving", "2"),
		record.NewObject("pool", "quote", 0).WithField("vms", "vm-[5-6]"),
		record.NewObject("queue", "quotes", 0).WithField("pool", "quote"),
		record.NewObject("team", "buyers", 0).WithField("organisation", "o").WithField("share", "1").WithField("limit", "7"),
		record.NewObject("team", "plant-floor", 0).WithField("organisation", "o").WithField("share", "2").WithField("limit", "2"),
		record.NewObject("wave", "autumn", 0).WithField("min-serving", "1"),
	}
}

func (g *generator) object(s *State) record.Object {
	switch g.pick("object", "team", "pool", "fleet") {
	case "team":
		name := g.team()
		_, base := s.Object("team", name)
		limit := strconv.Itoa(rapid.IntRange(0, 12).Draw(g.rt, "limit"))
		return record.NewObject("team", name, g.base(base)).WithField("organisation", "o").WithField("share", "1").WithField("limit", limit)
	case "pool":
		_, base := s.Object("pool", "pour")
		vms := g.pick("vms", "vm-[1-4]", "vm-[1-3]", "vm-[1-5]")
		return record.NewObject("pool", "pour", g.base(base)).WithField("vms", vms).WithField("min-serving", "2")
	default:
		_, base := s.Object("fleet", "vlnka")
		return record.NewObject("fleet", "vlnka", g.base(base)).WithField("data-centres", g.pick("data-centres", "a, b, c", "a, b"))
	}
}

func (g *generator) vmStep(s *State) record.Body {
	name := g.vm()
	vm := s.VM(name)
	target := g.pool()
	if rapid.Bool().Draw(g.rt, "as-drained") {
		target = vm.Target()
	}
	pool := g.pool()
	if rapid.Bool().Draw(g.rt, "as-agreed") {
		pool = vm.Pool()
	}
	return record.NewVMStep(record.VMStepSpec{
		VM: name, Base: g.base(vm.Revision()), State: g.state(), Pool: pool, Target: target, Token: g.token(s),
	})
}

func (g *generator) allotment(s *State) record.Body {
	team := g.team()
	count := rapid.IntRange(-1, 4).Draw(g.rt, "count")
	return record.NewAllotment(team, g.base(s.AllotmentRevision(team)), g.pick("phase", "intent", "release"), g.dc(), g.dc(), count)
}

func (g *generator) job(s *State) record.Body {
	id := g.pick("job", "j1", "j2")
	job, _ := s.Job(id)
	return record.NewJobStep(record.JobStepSpec{Job: id, Base: g.base(job.Revision()), State: "running", Worker: g.vm(), Token: g.token(s)})
}

func (g *generator) body(s *State) record.Body {
	switch rapid.IntRange(0, 11).Draw(g.rt, "kind") {
	case 0, 1:
		return record.NewChange([]record.Object{g.object(s)}, "")
	case 2:
		return record.NewKeyGrant(g.hash(), g.team(), "")
	case 3:
		return record.NewKeyWithdraw(g.hash())
	case 4:
		return record.NewLease(g.pick("holder", "g1", "g2", ""), g.base(s.Lease().Revision()), 6000)
	case 5:
		return record.NewClaim(g.team(), g.pick("key", "k1", "k2"), "digest", g.pick("holder", "g1", "g2"))
	case 6:
		state := g.pick("wave-state", WaveRunning, WavePaused, WaveCancelled, WaveDone)
		return record.NewWaveStep("autumn", g.base(s.Wave("autumn").Revision()), state, "", g.token(s))
	case 7:
		return g.job(s)
	case 8:
		return g.allotment(s)
	default:
		return g.vmStep(s)
	}
}

// record returns a new record or repeats an earlier one.
func (g *generator) record(s *State) record.Record {
	if len(g.sent) > 0 && rapid.IntRange(0, 7).Draw(g.rt, "repeat") == 0 {
		return rapid.SampledFrom(g.sent).Draw(g.rt, "earlier")
	}
	g.n++
	r := record.NewWithID(fmt.Sprint("r", g.n), "writer", int64(g.n), g.body(s))
	g.sent = append(g.sent, r)
	return r
}

func (g *generator) malformed() []byte {
	return []byte(g.pick("malformed", "", "{}", "[{}]", "[1]", `[{"id":"x","kind":"vm-step","body":3}]`, `[{"id":"y","kind":"new","body":{}}]`))
}

// entry returns the next log entry: occasionally malformed data, otherwise the given number of records.
func (g *generator) entry(s *State, records int) []byte {
	if rapid.IntRange(0, 15).Draw(g.rt, "broken") == 0 {
		return g.malformed()
	}
	var raws []json.RawMessage
	for range records {
		raw, err := g.record(s).Encode()
		assert.NilError(g.rt, err)
		raws = append(raws, raw)
	}
	data, err := json.Marshal(raws)
	assert.NilError(g.rt, err)
	return data
}

func encodeEntry(t assert.TestingT, bodies ...record.Body) []byte {
	var records []record.Record
	for _, body := range bodies {
		records = append(records, record.New("test", 0, body))
	}
	data, err := record.EncodeBatch(records)
	assert.NilError(t, err)
	return data
}

func newDeclaredFolder(t assert.TestingT) *Folder {
	f := NewFolder()
	results, err := f.Apply(1, encodeEntry(t, record.NewChange(initialObjects(), "")))
	assert.NilError(t, err)
	assert.Equal(t, results[0].Code(), codes.OK, "%v", results[0].Faults())
	return f
}

func applyNext(t assert.TestingT, f *Folder, data []byte) []Result {
	results, err := f.Apply(f.Offset()+1, data)
	assert.NilError(t, err)
	return results
}

func encodeState(t assert.TestingT, f *Folder) string {
	out, err := f.Encode()
	assert.NilError(t, err)
	return string(out)
}

// foldRandomEntries folds random entries and calls check with the states before and after each.
func foldRandomEntries(t *testing.T, entries, records int, check func(rt *rapid.T, before, after *State)) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newDeclaredFolder(rt)
		gen := &generator{rt: rt}
		before := f.Publish()
		for range entries {
			applyNext(rt, f, gen.entry(before, records))
			after := f.Publish()
			check(rt, before, after)
			before = after
		}
	})
}
