package cmds

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"mangowing/core/codes"
	"mangowing/mango/gates"
)

func TestExitCodeForEveryResultCode(t *testing.T) {
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
		assert.Equal(t, exitCodeForResult(r), expected, e.Name())
	}
}

func TestExitCodeForOtherErrors(t *testing.T) {
	assert.Equal(t, ExitCode(nil), ExitOK)
	assert.Equal(t, ExitCode(&localRefusalError{"x"}), ExitRefused)
	assert.Equal(t, ExitCode(fmt.Errorf("call: %w", &gates.UnreachableError{})), ExitUnknown)
	assert.Equal(t, ExitCode(usagef("x")), ExitUsage)
}
