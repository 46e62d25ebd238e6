package fold

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/core/record"
)

// TestRemovedSectionCanBeDeclaredAgain also checks that of two operators who declare it concurrently only the first succeeds.
func TestRemovedSectionCanBeDeclaredAgain(t *testing.T) {
	f := NewFolder()
	apply := func(id string, o record.Object) codes.Code {
		data, err := record.EncodeBatch([]record.Record{record.NewWithID(id, "eva", 0, record.NewChange([]record.Object{o}, ""))})
		assert.NilError(t, err)
		results, err := f.Apply(f.Offset()+1, data)
		assert.NilError(t, err)
		return results[0].Code()
	}
	pool := record.NewObject("pool", "web", 0).WithField("vms", "w1")
	assert.Equal(t, apply("1", pool), codes.OK)
	_, revision := f.Publish().Object("pool", "web")
	assert.Equal(t, apply("2", record.NewObject("pool", "web", revision).AsRemoved()), codes.OK)
	assert.Equal(t, apply("3", pool), codes.OK)
	assert.Equal(t, apply("4", pool), codes.RevisionConflict)
	_, known := f.Publish().Config().Pool("web")
	assert.Assert(t, known)
}
