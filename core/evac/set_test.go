package evac

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a set that contradicts newer requests: a successor that had read less of the topic ended an evacuation.
func TestReplace(t *testing.T) {
	t0 := time.UnixMilli(1_700_000_000_000)
	scenarios := []struct {
		testName string
		read     []string
		offset   int64
		changes  []Change
		after    []string
	}{
		{"the same set", []string{"a", "b"}, 7, nil, []string{"a", "b"}},
		{"one more", []string{"c", "b", "a"}, 8, []Change{{DataCentre: "c", Since: t0.Add(time.Second)}}, []string{"a", "b", "c"}},
		{"a missed removal", []string{"b"}, 8, []Change{{DataCentre: "a", Since: t0, Ended: true}}, []string{"b"}},
		{"all withdrawn", nil, 7, []Change{{DataCentre: "a", Since: t0, Ended: true}, {DataCentre: "b", Since: t0, Ended: true}}, nil},
		{"read less far", nil, 6, nil, []string{"a", "b"}},
		{"no name", []string{"", "a", "b"}, 8, nil, []string{"a", "b"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			var set Set
			set.Replace(t0, []string{"b", "a"}, 7)
			assert.DeepEqual(t, set.Replace(t0.Add(time.Second), s.read, s.offset), s.changes)
			assert.DeepEqual(t, set.Names(), s.after)
		})
	}
}
