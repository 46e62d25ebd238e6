package fold

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowing/core/codes"
	"mangowing/core/record"
)

const (
	entriesPerRun   = 40
	recordsPerEntry = 3
)

func TestSnapshotAndTailGiveTheSameState(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		whole, gen := newDeclaredFolder(rt), &generator{rt: rt}
		cut := rapid.IntRange(0, entriesPerRun-1).Draw(rt, "cut")
		var restored *Folder
		for i := range entriesPerRun {
			data := gen.entry(whole.Publish(), recordsPerEntry)
			applyNext(rt, whole, data)
			if restored != nil {
				applyNext(rt, restored, data)
			}
			if i == cut {
				snapshot, err := whole.Encode()
				assert.NilError(rt, err)
				restored, err = Restore(snapshot)
				assert.NilError(rt, err)
			}
		}
		assert.Equal(rt, restored.Publish().Digest(), whole.Publish().Digest())
		assert.Equal(rt, encodeState(rt, restored), encodeState(rt, whole))
	})
}

func TestEntriesAreFoldedOnceAndInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, gen := newDeclaredFolder(rt), &generator{rt: rt}
		for range entriesPerRun {
			applyNext(rt, f, gen.entry(f.Publish(), recordsPerEntry))
		}
		expected := encodeState(rt, f)
		_, err := f.Apply(f.Offset()+2, gen.entry(f.Publish(), recordsPerEntry))
		assert.Equal(rt, err, ErrGap)
		for offset := uint64(1); offset <= f.Offset(); offset++ {
			results, err := f.Apply(offset, gen.entry(f.Publish(), recordsPerEntry))
			assert.NilError(rt, err)
			assert.Equal(rt, len(results), 0)
		}
		assert.Equal(rt, encodeState(rt, f), expected, "entries folded already change nothing")
	})
}

func TestRepeatsOfRecordsChangeNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, gen := newDeclaredFolder(rt), &generator{rt: rt}
		for range entriesPerRun {
			applyNext(rt, f, gen.entry(f.Publish(), 1))
		}
		if len(gen.sent) == 0 {
			return
		}
		before := f.Publish()
		data, err := record.EncodeBatch(gen.sent)
		assert.NilError(rt, err)
		for _, v := range applyNext(rt, f, data) {
			assert.Equal(rt, v.Detail(), "repeat")
		}
		assert.Equal(rt, f.Publish().Revision(), before.Revision())
	})
}

func TestPublishedStatesNeverChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, gen := newDeclaredFolder(rt), &generator{rt: rt}
		for range entriesPerRun / 2 {
			applyNext(rt, f, gen.entry(f.Publish(), recordsPerEntry))
		}
		kept := Folder{state: *f.Publish()}
		expected := encodeState(rt, &kept)
		for range entriesPerRun / 2 {
			applyNext(rt, f, gen.entry(f.Publish(), recordsPerEntry))
		}
		assert.Equal(rt, encodeState(rt, &kept), expected)
	})
}

func TestOneOfConcurrentWritersWins(t *testing.T) {
	scenarios := []struct {
		testName string
		body     func(s *State, writer int) record.Body
	}{
		{"change of a team", func(s *State, _ int) record.Body {
			_, base := s.Object("team", "buyers")
			o := record.NewObject("team", "buyers", base).WithField("organisation", "o").WithField("share", "3").WithField("limit", "4")
			return record.NewChange([]record.Object{o}, "")
		}},
		{"new team", func(*State, int) record.Body {
			o := record.NewObject("team", "warehouse", 0).WithField("organisation", "o").WithField("share", "3").WithField("limit", "4")
			return record.NewChange([]record.Object{o}, "")
		}},
		{"lease", func(s *State, n int) record.Body {
			return record.NewLease("gate-"+string(rune('a'+n)), s.Lease().Revision(), 6000)
		}},
		{"move of a VM", func(s *State, _ int) record.Body {
			return record.NewVMStep(record.VMStepSpec{VM: "vm-1", Base: s.VM("vm-1").Revision(), State: VMDraining, Pool: "pour", Target: "quote"})
		}},
		{"wave", func(s *State, _ int) record.Body {
			return record.NewWaveStep("autumn", s.Wave("autumn").Revision(), WaveRunning, "", 0)
		}},
		{"claim", func(_ *State, n int) record.Body {
			return record.NewClaim("buyers", "k", "d", "gate-"+string(rune('a'+n)))
		}},
		{"job", func(*State, int) record.Body {
			return record.NewJobStep(record.JobStepSpec{Job: "j", State: "running"})
		}},
		{"hand-over of rights", func(s *State, _ int) record.Body {
			return record.NewAllotment("buyers", s.AllotmentRevision("buyers"), "intent", "a", "c", 1)
		}},
		{"key", func(*State, int) record.Body { return record.NewKeyGrant("h", "buyers", "") }},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := newDeclaredFolder(t)
			base := f.Publish()
			winners := 0
			for n := range 5 {
				if applyNext(t, f, encodeEntry(t, s.body(base, n)))[0].Code() == codes.OK {
					winners++
				}
			}
			assert.Equal(t, winners, 1)
		})
	}
}

func TestWithdrawnKeysNeverWorkAgain(t *testing.T) {
	foldRandomEntries(t, entriesPerRun, recordsPerEntry, func(rt *rapid.T, before, after *State) {
		for _, hash := range before.KeyHashes() {
			was, _ := before.Key(hash)
			is, _ := after.Key(hash)
			assert.Assert(rt, !was.IsWithdrawn() || is.IsWithdrawn(), "key %s works again", hash)
			assert.Assert(rt, was.Team() == is.Team(), "key %s changed its team", hash)
		}
	})
}

func TestOnlyTheEndOfAMoveChangesThePool(t *testing.T) {
	foldRandomEntries(t, entriesPerRun, 1, func(rt *rapid.T, before, after *State) {
		for _, name := range []string{"vm-1", "vm-2", "vm-3", "vm-4", "vm-5", "vm-6"} {
			was, is := before.VM(name), after.VM(name)
			if was.Pool() == is.Pool() || before.Config() != after.Config() && was.Pool() == "" {
				continue
			}
			assert.Equal(rt, was.State(), VMMoving, name)
			assert.Equal(rt, is.State(), VMServing, name)
			assert.Equal(rt, is.Pool(), was.Target(), name)
		}
	})
}

func TestDrainsKeepThePoolsMinimum(t *testing.T) {
	foldRandomEntries(t, entriesPerRun, 1, func(rt *rapid.T, before, after *State) {
		for _, name := range after.VMNames() {
			if is := after.VM(name); is.State() == VMDraining && before.VM(name).State() == VMServing {
				assert.Assert(rt, after.Serving(is.Pool()) >= after.MinServing(is.Pool()), "pool %s", is.Pool())
			}
		}
	})
}

func TestFencedStepsChangeNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f, gen := newDeclaredFolder(rt), &generator{rt: rt}
		for range entriesPerRun {
			applyNext(rt, f, gen.entry(f.Publish(), recordsPerEntry))
			before := f.Publish()
			name := gen.vm()
			step := record.VMStepSpec{
				VM: name, Base: before.VM(name).Revision(), State: gen.state(), Pool: before.VM(name).Pool(),
				Target: before.VM(name).Target(), Token: before.Lease().Token() + 1,
			}
			v := applyNext(rt, f, encodeEntry(rt, record.NewVMStep(step)))
			assert.Equal(rt, v[0].Code(), codes.FencedOff)
			assert.Equal(rt, f.Publish().VM(name), before.VM(name))
		}
	})
}

func TestAllotmentsSumToTheLimit(t *testing.T) {
	foldRandomEntries(t, entriesPerRun, 1, func(rt *rapid.T, before, after *State) {
		for _, team := range after.Config().Teams() {
			checkAllotment(rt, team, before, after)
		}
	})
}

// TestSplitEqualsChangingOneRightAtATime compares one large change of a limit with a series of changes by one right.
func TestSplitEqualsChangingOneRightAtATime(t *testing.T) {
	dataCentres := []string{"a", "b", "c"}
	rapid.Check(t, func(rt *rapid.T) {
		old, total := map[string]int{}, 0
		for _, dc := range dataCentres {
			old[dc] = rapid.IntRange(0, 9).Draw(rt, dc)
			total += old[dc]
		}
		limit := rapid.IntRange(3, 30).Draw(rt, "limit")
		oneByOne := old
		for n := total; n != limit; {
			direction := 1
			if n > limit {
				direction = -1
			}
			n += direction
			oneByOne = adjustSplit("team", oneByOne, dataCentres, n)
		}
		assert.DeepEqual(rt, adjustSplit("team", old, dataCentres, limit), oneByOne)
	})
}

func checkAllotment(rt *rapid.T, team string, before, after *State) {
	declared, _ := after.Config().Team(team)
	_, _, pending, _ := after.PendingAllotment(team)
	sum, raised, lowered := pending, false, false
	was, _ := before.allotments.get(team)
	is, _ := after.allotments.get(team)
	for _, dc := range after.Config().Fleet().DataCentres() {
		n := after.Allotment(team, dc)
		assert.Assert(rt, n >= 0, "team %s has %d in %s", team, n, dc)
		sum += n
		raised = raised || is.Split[dc] > was.Split[dc]
		lowered = lowered || is.Split[dc] < was.Split[dc]
	}
	assert.Equal(rt, sum, declared.Limit(), "team %s", team)
	sameDataCentres := len(before.Config().Fleet().DataCentres()) == len(after.Config().Fleet().DataCentres())
	if before.Config() != after.Config() && sameDataCentres {
		assert.Assert(rt, !raised || !lowered, "team %s: counts went both ways", team)
	}
}

func TestFleetRevisionFollowsEveryChangeOfTheFleet(t *testing.T) {
	foldRandomEntries(t, entriesPerRun, 1, func(rt *rapid.T, before, after *State) {
		changed := before.Config() != after.Config() || before.Wave("autumn") != after.Wave("autumn")
		for _, name := range after.VMNames() {
			changed = changed || before.VM(name) != after.VM(name)
		}
		assert.Equal(rt, before.FleetRevision() != after.FleetRevision(), changed)
	})
}
