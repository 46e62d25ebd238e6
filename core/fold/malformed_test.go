package fold

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/core/record"
)

func TestMalformedRecordsAreSkippedAndCounted(t *testing.T) {
	scenarios := []struct {
		testName string
		data     string
		counted  uint64
		results  int
	}{
		{"empty entry", "", 1, 1},
		{"no JSON", "\x00\xff{", 1, 1},
		{"no array", `{"id":"x"}`, 1, 1},
		{"no records", `[]`, 0, 0},
		{"null", `null`, 0, 0},
		{"record without an id", `[{"kind":"claim","body":{}}]`, 1, 1},
		{"unknown kind", `[{"id":"x","kind":"new-kind","body":{}}]`, 1, 1},
		{"body of another type", `[{"id":"x","kind":"change","body":[]}]`, 1, 1},
		{"good one between bad ones", `[7,{"id":"x","kind":"key-withdraw","body":{"hash":"h"}},null]`, 2, 3},
		{"lease without a holder", `[{"id":"x","kind":"lease","body":{"ttl-ms":6000}}]`, 1, 1},
		{"lease without an end", `[{"id":"x","kind":"lease","body":{"holder":"g","ttl-ms":9223372036854775807}}]`, 1, 1},
		{"step of no VM", `[{"id":"x","kind":"vm-step","body":{"state":"draining"}}]`, 1, 1},
		{"step of no job", `[{"id":"x","kind":"job-step","body":{}}]`, 1, 1},
		{"unknown phase", `[{"id":"x","kind":"allotment","body":{"team":"buyers","base":1,"phase":"other"}}]`, 1, 1},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			f := newDeclaredFolder(t)
			results := applyNext(t, f, []byte(s.data))
			assert.Equal(t, len(results), s.results)
			assert.Equal(t, f.Publish().Malformed(), s.counted)
			assert.Equal(t, f.Offset(), uint64(2))
			grant := encodeEntry(t, record.NewKeyGrant("h2", "buyers", ""))
			assert.Equal(t, applyNext(t, f, grant)[0].Code(), codes.OK, "later entries are still folded")
		})
	}
}

func TestStepsOfUnknownObjectsAreRefused(t *testing.T) {
	scenarios := []struct {
		testName string
		body     record.Body
	}{
		{"move to an undeclared pool", record.NewVMStep(record.VMStepSpec{VM: "vm-1", State: VMDraining, Pool: "pour", Target: "none"})},
		{"undeclared wave", record.NewWaveStep("none", 0, WaveRunning, "", 0)},
		{"rights of an undeclared team", record.NewAllotment("none", 0, "intent", "a", "b", 1)},
		{"key of an undeclared team", record.NewKeyGrant("h", "none", "")},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.Equal(t, applyNext(t, newDeclaredFolder(t), encodeEntry(t, s.body))[0].Code(), codes.ObjectUnknown)
		})
	}
}

func TestRightsAreNotHandedToAnUndeclaredDataCentre(t *testing.T) {
	f := newDeclaredFolder(t)
	intent := record.NewAllotment("buyers", f.Publish().AllotmentRevision("buyers"), "intent", "a", "nowhere", 1)
	assert.Equal(t, applyNext(t, f, encodeEntry(t, intent))[0].Code(), codes.RevisionConflict)
}

func seedCorpus(f *testing.F) {
	for _, body := range []record.Body{
		record.NewChange(initialObjects(), "note"), record.NewKeyGrant("h", "buyers", "l"), record.NewKeyWithdraw("h"),
		record.NewLease("g", 0, 6000), record.NewVMStep(record.VMStepSpec{VM: "vm-1", State: VMDraining, Pool: "pour", Target: "quote"}),
		record.NewClaim("buyers", "k", "d", "g"), record.NewWaveStep("autumn", 0, WaveRunning, "", 0),
		record.NewJobStep(record.JobStepSpec{Job: "j"}), record.NewAllotment("buyers", 1, "intent", "a", "b", 1),
		record.NewSnapshot(1, json.RawMessage(`{}`)),
	} {
		f.Add(encodeEntry(f, body))
	}
	f.Add([]byte(`[{"id":"x","kind":"allotment","body":{"team":"buyers","base":1,"phase":"release"}}]`))
}

// FuzzApply checks that folding arbitrary bytes gives the same state from a folder and from its restored snapshot.
func FuzzApply(f *testing.F) {
	seedCorpus(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		a, b := newDeclaredFolder(t), (*Folder)(nil)
		b, err := Restore(json.RawMessage(encodeState(t, a)))
		assert.NilError(t, err)
		applyNext(t, a, data)
		applyNext(t, b, data)
		c, err := Restore(json.RawMessage(encodeState(t, a)))
		assert.NilError(t, err)
		assert.Equal(t, encodeState(t, c), encodeState(t, b))
	})
}

// FuzzRestore restores arbitrary bytes as a snapshot and, if that succeeds, folds another entry.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(encodeState(f, newDeclaredFolder(f))))
	f.Add([]byte(`{"allotments":{"buyers":{"revision":1,"pending":{"from":"a","to":"b","count":1}}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		folder, err := Restore(data)
		if err != nil || folder.Offset() == ^uint64(0) {
			return
		}
		applyNext(t, folder, encodeEntry(t, record.NewAllotment("buyers", 1, "release", "a", "b", 1)))
		_ = encodeState(t, folder)
	})
}

func TestGrantOfAWithdrawnKeyIsRefused(t *testing.T) {
	f := newDeclaredFolder(t)
	applyNext(t, f, encodeEntry(t, record.NewKeyWithdraw("h")))
	v := applyNext(t, f, encodeEntry(t, record.NewKeyGrant("h", "buyers", "")))
	assert.Equal(t, v[0].Code(), codes.KeyWithdrawn)
}
