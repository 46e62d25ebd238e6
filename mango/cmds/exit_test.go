package cmds

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/mango/gates"
)

func TestExitCodeOfEveryRefusal(t *testing.T) {
	for _, e := range codes.Table() {
		if e.Code() == codes.OK {
			continue
		}
		var r gates.Result
		assert.NilError(t, r.UnmarshalJSON(fmt.Appendf(nil, `{"code":%d,"outcome":%q}`, e.Code(), e.Outcome())))
		expected := ExitRefused
		switch {
		case e.Code() == codes.RevisionConflict:
			expected = ExitConflict
		case e.Outcome() == codes.Unknown:
			expected = ExitUnknown
		}
		assert.Equal(t, exitOfRefusal(r), expected, e.Name())
	}
}

func TestExitCodeOfOtherErrors(t *testing.T) {
	assert.Equal(t, ExitCode(nil), ExitOK)
	assert.Equal(t, ExitCode(&faultsError{"x"}), ExitRefused)
	assert.Equal(t, ExitCode(fmt.Errorf("call: %w", &gates.UnreachableError{})), ExitUnknown)
	assert.Equal(t, ExitCode(usagef("x")), ExitUsage)
}
