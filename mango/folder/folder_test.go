package folder

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"mangowing/core/record"
)

const iniWithComments = `; pools of the house
[pool a]
; the old machines
vms = a-1

# lent out
[ pool b ]
vms = b-1

[pool c]
vms = c-1
`

func writeSections(t *testing.T, change func([]record.Object) []record.Object) (string, string) {
	dir := t.TempDir()
	path := filepath.Join(dir, "all.ini")
	assert.NilError(t, os.WriteFile(path, []byte(iniWithComments), 0o600))
	d, err := Open(dir)
	assert.NilError(t, err)
	assert.NilError(t, d.Write(change(d.Objects())))
	_, err = Open(dir)
	assert.NilError(t, err)
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	added, _ := os.ReadFile(filepath.Join(dir, "teams.ini"))
	return string(text), string(added)
}

func TestWriteKeepsUnchangedText(t *testing.T) {
	scenarios := []struct {
		testName string
		change   func([]record.Object) []record.Object
		expected string
		added    string
	}{
		{"nothing", func(o []record.Object) []record.Object { return o }, iniWithComments, ""},
		{
			"one section changed",
			func(o []record.Object) []record.Object {
				o[1] = record.NewObject("pool", "b", 0).WithField("vms", "b-[1-2]")
				return o
			},
			"; pools of the house\n[pool a]\n; the old machines\nvms = a-1\n\n# lent out\n[pool b]\nvms = b-[1-2]\n\n[pool c]\nvms = c-1\n", "",
		},
		{
			"one section removed",
			func(o []record.Object) []record.Object { return o[:2] },
			"; pools of the house\n[pool a]\n; the old machines\nvms = a-1\n\n# lent out\n[ pool b ]\nvms = b-1\n\n", "",
		},
		{
			"one section added",
			func(o []record.Object) []record.Object {
				return append(o, record.NewObject("team", "t", 0).WithField("share", "1"))
			},
			iniWithComments, "[team t]\nshare = 1\n",
		},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			text, added := writeSections(t, s.change)
			assert.Equal(t, text, s.expected)
			assert.Equal(t, added, s.added)
		})
	}
}
