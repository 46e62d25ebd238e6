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

func (w *generator) pick(label string, choices ...string) string {
	return rapid.SampledFrom(choices).Draw(w.rt, label)
}

func (w *generator) team() string { return w.pick("team", "buyers", "plant-floor") }
func (w *generator) pool() string { return w.pick("pool", "pour", "quote") }
func (w *generator) vm() string   { return w.pick("vm", "vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6") }
func (w *generator) dc() string   { return w.pick("data-centre", "a", "b", "c") }
func (w *generator) state() string {
	return w.pick("state", VMServing, VMDraining, VMMoving, VMRebooting, VMQuarantined, VMLeaving)
}
func (w *generator) hash() string { return w.pick("hash", "h1", "h2", "h3") }

// base returns the current revision most of the time, otherwise a stale one.
func (w *generator) base(current uint64) uint64 {
	if rapid.IntRange(0, 5).Draw(w.rt, "stale") == 0 && current > 0 {
		return current - 1
	}
	return current
}

// token returns an operator's token (0), the planner's or one that does not match the lease.
func (w *generator) token(s *State) uint64 {
	return rapid.SampledFrom([]uint64{0, s.Lease().Token(), s.Lease().Token() + 1}).Draw(w.rt, "token")
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

func (w *generator) object(s *State) record.Object {
	switch w.pick("object", "team", "pool", "fleet") {
	case "team":
		name := w.team()
		_, base := s.Object("team", name)
		limit := strconv.Itoa(rapid.IntRange(0, 12).Draw(w.rt, "limit"))
		return record.NewObject("team", name, w.base(base)).WithField("organisation", "o").WithField("share", "1").WithField("limit", limit)
	case "pool":
		_, base := s.Object("pool", "pour")
		vms := w.pick("vms", "vm-[1-4]", "vm-[1-3]", "vm-[1-5]")
		return record.NewObject("pool", "pour", w.base(base)).WithField("vms", vms).WithField("min-serving", "2")
	default:
		_, base := s.Object("fleet", "vlnka")
		return record.NewObject("fleet", "vlnka", w.base(base)).WithField("data-centres", w.pick("data-centres", "a, b, c", "a, b"))
	}
}

func (w *generator) vmStep(s *State) record.Body {
	name := w.vm()
	vm := s.VM(name)
	target := w.pool()
	if rapid.Bool().Draw(w.rt, "as-drained") {
		target = vm.Target()
	}
	pool := w.pool()
	if rapid.Bool().Draw(w.rt, "as-agreed") {
		pool = vm.Pool()
	}
	return record.NewVMStep(record.VMStepSpec{
		VM: name, Base: w.base(vm.Revision()), State: w.state(), Pool: pool, Target: target, Token: w.token(s),
	})
}

func (w *generator) allotment(s *State) record.Body {
	team := w.team()
	count := rapid.IntRange(-1, 4).Draw(w.rt, "count")
	return record.NewAllotment(team, w.base(s.AllotmentRevision(team)), w.pick("phase", "intent", "release"), w.dc(), w.dc(), count)
}

func (w *generator) job(s *State) record.Body {
	id := w.pick("job", "j1", "j2")
	job, _ := s.Job(id)
	return record.NewJobStep(record.JobStepSpec{Job: id, Base: w.base(job.Revision()), State: "running", Worker: w.vm(), Token: w.token(s)})
}

func (w *generator) body(s *State) record.Body {
	switch rapid.IntRange(0, 11).Draw(w.rt, "kind") {
	case 0, 1:
		return record.NewChange([]record.Object{w.object(s)}, "")
	case 2:
		return record.NewKeyGrant(w.hash(), w.team(), "")
	case 3:
		return record.NewKeyWithdraw(w.hash())
	case 4:
		return record.NewLease(w.pick("holder", "g1", "g2", ""), w.base(s.Lease().Revision()), 6000)
	case 5:
		return record.NewClaim(w.team(), w.pick("key", "k1", "k2"), "digest", w.pick("holder", "g1", "g2"))
	case 6:
		state := w.pick("wave-state", WaveRunning, WavePaused, WaveCancelled, WaveDone)
		return record.NewWaveStep("autumn", w.base(s.Wave("autumn").Revision()), state, "", w.token(s))
	case 7:
		return w.job(s)
	case 8:
		return w.allotment(s)
	default:
		return w.vmStep(s)
	}
}

// record returns a new record or repeats an earlier one.
func (w *generator) record(s *State) record.Record {
	if len(w.sent) > 0 && rapid.IntRange(0, 7).Draw(w.rt, "repeat") == 0 {
		return rapid.SampledFrom(w.sent).Draw(w.rt, "earlier")
	}
	w.n++
	r := record.NewWithID(fmt.Sprint("r", w.n), "writer", int64(w.n), w.body(s))
	w.sent = append(w.sent, r)
	return r
}

func (w *generator) malformed() []byte {
	return []byte(w.pick("malformed", "", "{}", "[{}]", "[1]", `[{"id":"x","kind":"vm-step","body":3}]`, `[{"id":"y","kind":"new","body":{}}]`))
}

// entry returns the next log entry: occasionally malformed data, otherwise the given number of records.
func (w *generator) entry(s *State, records int) []byte {
	if rapid.IntRange(0, 15).Draw(w.rt, "broken") == 0 {
		return w.malformed()
	}
	var raws []json.RawMessage
	for range records {
		raw, err := w.record(s).Encode()
		assert.NilError(w.rt, err)
		raws = append(raws, raw)
	}
	data, err := json.Marshal(raws)
	assert.NilError(w.rt, err)
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
		w := &generator{rt: rt}
		before := f.Publish()
		for range entries {
			applyNext(rt, f, w.entry(before, records))
			after := f.Publish()
			check(rt, before, after)
			before = after
		}
	})
}
