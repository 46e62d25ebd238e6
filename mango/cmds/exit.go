package cmds

import (
	"errors"
	"fmt"

	"mangowing/core/codes"
	"mangowing/mango/gates"
)

// Exit codes of mango.
const (
	ExitOK       = 0
	ExitRefused  = 1
	ExitUsage    = 2
	ExitUnknown  = 3
	ExitConflict = 4
)

type usageError struct {
	text string
}

func (u *usageError) Error() string { return u.text }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// faultsError is a directory that was refused before any gate was asked.
type faultsError struct {
	text string
}

func (f *faultsError) Error() string { return f.text }

// ExitCode returns the exit code for a command's error.
func ExitCode(err error) int {
	var refused *gates.RefusedError
	var unreachable *gates.UnreachableError
	var faults *faultsError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &unreachable):
		return ExitUnknown
	case errors.As(err, &refused):
		return exitOfRefusal(refused.Result())
	case errors.As(err, &faults):
		return ExitRefused
	default:
		return ExitUsage
	}
}

func exitOfRefusal(r gates.Result) int {
	switch {
	case r.Code() == codes.RevisionConflict:
		return ExitConflict
	case r.Outcome() == codes.Unknown:
		return ExitUnknown
	default:
		return ExitRefused
	}
}
