package decl

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against files that expand to more than memory holds, and against faults of the text without their line.
func TestReadDirectoryBoundsItsFiles(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "a.ini")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }

	write(strings.Repeat(";", maxFileBytes+1))
	_, err := ReadDirectory(dir)
	assert.ErrorContains(t, err, "more than")
	_, err = ReadPositions(dir)
	assert.ErrorContains(t, err, "more than")

	write("[pool p]\nvms = a\n\n  nonsense\n")
	_, err = ReadDirectory(dir)
	var syntax *SyntaxError
	assert.Assert(t, errors.As(err, &syntax))
	assert.Equal(t, syntax.Line, 4)

	_, err = ExpandNames("a-[1-60000], b-[1-60000]")
	assert.ErrorContains(t, err, "more than")
	_, err = ExpandNames("a-[" + strings.Repeat("0", 2*maxNameBytes) + "1-9]")
	assert.ErrorContains(t, err, "bytes")

	var pools strings.Builder
	for i := range maxVMs/maxRangeLength + 1 {
		name := string(rune('a' + i))
		pools.WriteString("[pool " + name + "]\nvms = " + name + "-[1-100000]\n")
	}
	objects, err := ReadINI([]byte(pools.String()))
	assert.NilError(t, err)
	_, faults := Compile(objects)
	assert.Equal(t, len(faults), 1)
}
