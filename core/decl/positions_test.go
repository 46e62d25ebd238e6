package decl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFaultPositions(t *testing.T) {
	dir := t.TempDir()
	text := "; teams\n[team buyers]\nshare = 3\n\n[team  floor]\nshare = 1\nshare = 1\nlimit = " + strings.Repeat("x", 1<<20) + "\n"
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "teams.ini"), []byte(text), 0o600))
	objects, err := ReadDirectory(dir)
	assert.NilError(t, err)
	positions, err := ReadPositions(dir)
	assert.NilError(t, err)
	_, faults := Compile(objects)
	messages := map[string]string{}
	for _, f := range faults {
		assert.Assert(t, len(f.String()) < 250, "quoted values are truncated")
		messages[f.Section()+" "+f.Key()] = positions.Of(f) + " " + f.String()
	}
	assert.Assert(t, strings.HasPrefix(messages["team floor share"], "teams.ini:7 [team floor] share: given twice"), messages["team floor share"])
	assert.Assert(t, strings.HasPrefix(messages["team floor limit"], "teams.ini:8 "), messages["team floor limit"])
	assert.Assert(t, strings.HasPrefix(messages["team buyers organisation"], "teams.ini:2 "), "a missing key has the position of its section")
}

func TestQuoteValue(t *testing.T) {
	scenarios := []struct{ value, expected string }{
		{"a\tb", `"a\tb"`},
		{strings.Repeat("é", 81), `"` + strings.Repeat("é", 80) + `"... (162 bytes)`},
	}
	for _, s := range scenarios {
		assert.Equal(t, QuoteValue(s.value), s.expected)
	}
}
