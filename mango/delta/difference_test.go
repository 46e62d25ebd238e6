package delta

import (
	"testing"

	"gotest.tools/v3/assert"

	"mangowing/core/record"
)

func team(name string, base uint64, fields ...string) record.Object {
	o := record.NewObject("team", name, base)
	for i := 0; i < len(fields); i += 2 {
		o = o.WithField(fields[i], fields[i+1])
	}
	return o
}

func TestCompare(t *testing.T) {
	scenarios := []struct {
		testName string
		inForce  []record.Object
		wanted   []record.Object
		kind     string
		base     uint64
		lines    []string
	}{
		{"same", []record.Object{team("a", 7, "share", "1")}, []record.Object{team("a", 0, "share", "1")}, "", 0, nil},
		{"other order of keys", []record.Object{team("a", 7, "share", "1", "limit", "2")}, []record.Object{team("a", 0, "limit", "2", "share", "1")}, "", 0, nil},
		{"added", nil, []record.Object{team("a", 0, "share", "1")}, "added", 0, []string{"+share = 1"}},
		{"changed", []record.Object{team("a", 7, "share", "1")}, []record.Object{team("a", 0, "share", "2")}, "changed", 7, []string{"-share = 1", "+share = 2"}},
		{"key dropped", []record.Object{team("a", 7, "share", "1", "limit", "2")}, []record.Object{team("a", 0, "share", "1")}, "changed", 7, []string{"-limit = 2"}},
		{"removed", []record.Object{team("a", 7, "share", "1")}, nil, "removed", 7, []string{"-share = 1"}},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			differences := Compare(s.inForce, s.wanted)
			if s.kind == "" {
				assert.Equal(t, len(differences), 0)
				return
			}
			d := differences[0]
			assert.Equal(t, d.Kind(), s.kind)
			assert.Equal(t, d.Section(), "team a")
			assert.Equal(t, d.Change().Base(), s.base)
			assert.Equal(t, d.Change().IsRemoved(), s.kind == "removed")
			var lines []string
			for _, l := range d.Lines() {
				lines = append(lines, map[bool]string{true: "+", false: "-"}[l.IsAdded()]+l.Text())
			}
			assert.DeepEqual(t, lines, s.lines)
		})
	}
}
