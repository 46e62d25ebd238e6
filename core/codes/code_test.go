package codes

import (
	"errors"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"regexp"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
)

func declaredCodes(t *testing.T) map[string]Code {
	file, err := parser.ParseFile(token.NewFileSet(), "code.go", nil, 0)
	assert.NilError(t, err)
	out := map[string]Code{}
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "Code" {
			number, err := strconv.Atoi(spec.Values[0].(*ast.BasicLit).Value)
			assert.NilError(t, err)
			out[spec.Names[0].Name] = Code(number)
		}
		return true
	})
	return out
}

func TestEveryCodeHasOneEntry(t *testing.T) {
	declared := declaredCodes(t)
	assert.Equal(t, len(declared), len(Table()))
	entries := map[Code]bool{}
	names := map[string]bool{}
	last := -1
	for _, e := range Table() {
		assert.Assert(t, int(e.Code()) > last, "%s is out of order or duplicated", e.Code())
		assert.Assert(t, !names[e.Name()], "%s is a duplicate name", e.Name())
		last = int(e.Code())
		entries[e.Code()] = true
		names[e.Name()] = true
	}
	for name, code := range declared {
		assert.Assert(t, entries[code], "%s has no entry", name)
	}
}

func TestEntriesAreComplete(t *testing.T) {
	kebab := regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)
	for _, e := range Table() {
		assert.Assert(t, kebab.MatchString(e.Name()), e.Name())
		assert.Assert(t, e.Status() >= http.StatusOK && e.Status() < 600, e.Name())
		assert.Assert(t, e.CallerAdvice() != "" && e.OperatorAdvice() != "", e.Name())
		assert.Equal(t, ParseOutcome(e.Outcome().String()), e.Outcome())
	}
}

func TestCodeOfError(t *testing.T) {
	refused := Errorf(TeamLimit, "team %s", "a")
	scenarios := []struct {
		testName string
		err      error
		expected Code
	}{
		{"none", nil, OK},
		{"coded", refused, TeamLimit},
		{"wrapped", fmt.Errorf("call: %w", refused), TeamLimit},
		{"other", errors.New("x"), Internal},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			assert.Equal(t, Of(s.err), s.expected)
		})
	}
	assert.Equal(t, refused.Error(), "201 team-limit: team a")
	assert.Equal(t, Code(9999).Entry().Code(), Internal)
}
