package gates

import (
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"

	"mangowing/core/codes"
)

// RefusedError is a gate's answer that the call changed nothing, or is not yet in force everywhere.
type RefusedError struct {
	result Result
}

// Result returns the gate's answer.
func (r *RefusedError) Result() Result { return r.result }

// Error returns the code's number and name, the detail and every fault.
func (r *RefusedError) Error() string {
	lines := []string{r.result.Code().String()}
	if r.result.Detail() != "" {
		lines[0] += ": " + r.result.Detail()
	}
	for _, fault := range r.result.Faults() {
		lines = append(lines, "  "+fault)
	}
	return strings.Join(lines, "\n")
}

type attempt struct {
	gate    string
	problem string
}

// UnreachableError reports that no gate answered; a write's outcome is unknown if one of them may have acted on it.
type UnreachableError struct {
	attempts     []attempt
	mayHaveActed bool
	lastRefusal  *RefusedError
}

// MayHaveTakenEffect reports whether a gate may have received the call and acted on it.
func (u *UnreachableError) MayHaveTakenEffect() bool { return u.mayHaveActed }

// Error returns each gate that was tried and the reason why its last attempt failed.
func (u *UnreachableError) Error() string {
	lines := []string{"no gate answered; nothing was changed"}
	if u.mayHaveActed {
		lines[0] = "outcome unknown: a gate may have received the call but no answer came"
	}
	for _, a := range u.attempts {
		lines = append(lines, fmt.Sprintf("  %s: %s", a.gate, a.problem))
	}
	return strings.Join(lines, "\n")
}

func (u *UnreachableError) recordAttempt(gate string, err error, mayHaveActed bool) {
	i := slices.IndexFunc(u.attempts, func(a attempt) bool { return a.gate == gate })
	if i < 0 {
		i = len(u.attempts)
		u.attempts = append(u.attempts, attempt{gate: gate})
	}
	u.attempts[i].problem = oneLineText(err)
	u.mayHaveActed = u.mayHaveActed || mayHaveActed
	var refused *RefusedError
	if errors.As(err, &refused) {
		u.lastRefusal = refused
	}
}

// oneLineText returns the error's text on one line, without the URL that net/http adds.
func oneLineText(err error) string {
	var call *url.Error
	if errors.As(err, &call) {
		err = call.Err
	}
	return strings.ReplaceAll(err.Error(), "\n", "; ")
}

// errorToReport returns the last refusal if no gate can have acted on the call, otherwise u with all attempts.
func (u *UnreachableError) errorToReport() error {
	if u.lastRefusal != nil && !u.mayHaveActed {
		return u.lastRefusal
	}
	return u
}

// refusedOrNil returns nil for an OK result and a *RefusedError for any other.
func refusedOrNil(r Result) error {
	if r.Code() == codes.OK {
		return nil
	}
	return &RefusedError{r}
}
