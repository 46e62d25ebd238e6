package decl

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFaultsNameFileAndLine(t *testing.T) {
	dir := t.TempDir()
	text := "; teams\n[team buyers]\nshare = 3\n\n[team  floor]\nshare = 1\nshare = 1\nlimit = " + strings.Repeat("x", 1<<20) + "\n"
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "teams.ini"), []byte(text), 0o600))
	objects, err := ReadDirectory(dir)
	assert.NilError(t, err)
	origins, err := Locate(dir)
	assert.NilError(t, err)
	_, faults := Compile(objects)
	places := map[string]string{}
	for _, f := range faults {
		assert.Assert(t, len(f.String()) < 250, "what is quoted is cut")
		places[f.Section()+" "+f.Key()] = origins.Of(f) + " " + f.String()
	}
	assert.Assert(t, strings.HasPrefix(places["team floor share"], "teams.ini:7 [team floor] share: given twice"), places["team floor share"])
	assert.Assert(t, strings.HasPrefix(places["team floor limit"], "teams.ini:8 "), places["team floor limit"])
	assert.Assert(t, strings.HasPrefix(places["team buyers organisation"], "teams.ini:2 "), "a missing key stands where its section does")
}

func TestQuoted(t *testing.T) {
	scenarios := []struct{ value, expected string }{
		{"a\tb", `"a\tb"`},
		{strings.Repeat("é", 81), `"` + strings.Repeat("é", 80) + `"... (162 bytes)`},
	}
	for _, s := range scenarios {
		assert.Equal(t, Quoted(s.value), s.expected)
	}
}
