package cmds

import (
	"errors"
	"fmt"

	"mangowing/core/codes"
	"mangowing/mango/gates"
)

// Exit codes of mango.
const (
	ExitOK       = 0 // done
	ExitRefused  = 1 // refused, nothing changed; warnings of a check
	ExitUsage    = 2 // wrong usage or settings; errors of a check
	ExitUnknown  = 3 // outcome unknown or no gate reachable
	ExitConflict = 4 // another operator's change was accepted first
)

type usageError struct {
	text string
}

func (u *usageError) Error() string { return u.text }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Sprintf(format, args...)}
}

// localRefusalError reports a command that mango itself refuses, before anything is written.
type localRefusalError struct {
	text string
}

func (l *localRefusalError) Error() string { return l.text }

// ExitCode returns the exit code for a command's error; errors of other kinds count as wrong usage.
func ExitCode(err error) int {
	var refused *gates.RefusedError
	var unreachable *gates.UnreachableError
	var localRefusal *localRefusalError
	var findings *findingsError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &unreachable):
		return ExitUnknown
	case errors.As(err, &refused):
		return exitCodeForResult(refused.Result())
	case errors.As(err, &findings):
		return findings.exitCode()
	case errors.As(err, &localRefusal):
		return ExitRefused
	default:
		return ExitUsage
	}
}

func exitCodeForResult(r gates.Result) int {
	switch {
	case r.Code() == codes.RevisionConflict:
		return ExitConflict
	case r.Outcome() == codes.Unknown:
		return ExitUnknown
	default:
		return ExitRefused
	}
}
