package limits

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"mangowing/core/fold"
	"mangowing/core/record"
)

// BenchmarkFollow measures applying a state in which none of the 750 teams' allotments changed.
func BenchmarkFollow(b *testing.B) {
	objects := []record.Object{record.NewObject("fleet", "plant", 0).WithField("data-centres", testDC)}
	for i := range 750 {
		objects = append(objects, record.NewObject("team", fmt.Sprint("team-", i), 0).
			WithField("organisation", "body-works").WithField("share", "1").WithField("limit", "40"))
	}
	data, err := record.EncodeBatch([]record.Record{record.New("operator", 0, record.NewChange(objects, ""))})
	assert.NilError(b, err)
	folder := fold.NewFolder()
	_, err = folder.Apply(1, data)
	assert.NilError(b, err)
	state := folder.Publish()
	a := allotmentTracker{dataCentre: testDC}
	assert.Equal(b, len(a.update(state)), 750)
	for b.Loop() {
		a.update(state)
	}
}
