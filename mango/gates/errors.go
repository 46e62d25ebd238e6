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

// Error returns number, name, detail and every fault.
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

// UnreachableError reports that no gate answered; a write's outcome is unknown if one of them may have received it.
type UnreachableError struct {
	tried    []attempt
	received bool
	last     *RefusedError
}

// MayHaveTakenEffect tells whether a gate may have received the call.
func (u *UnreachableError) MayHaveTakenEffect() bool { return u.received }

// Error returns each gate tried and why it gave no answer the last time.
func (u *UnreachableError) Error() string {
	lines := []string{"no gate answered; nothing was changed"}
	if u.received {
		lines[0] = "outcome unknown: a gate may have received the call but no answer came"
	}
	for _, a := range u.tried {
		lines = append(lines, fmt.Sprintf("  %s: %s", a.gate, a.problem))
	}
	return strings.Join(lines, "\n")
}

func (u *UnreachableError) note(gate string, err error, received bool) {
	i := slices.IndexFunc(u.tried, func(a attempt) bool { return a.gate == gate })
	if i < 0 {
		i = len(u.tried)
		u.tried = append(u.tried, attempt{gate: gate})
	}
	u.tried[i].problem = problem(err)
	u.received = u.received || received
	var refused *RefusedError
	if errors.As(err, &refused) {
		u.last = refused
	}
}

// problem returns the error's text on one line, without the address that net/http repeats.
func problem(err error) string {
	var call *url.Error
	if errors.As(err, &call) {
		err = call.Err
	}
	return strings.ReplaceAll(err.Error(), "\n", "; ")
}

// verdict returns the last refusal if no gate can have acted, else the whole account.
func (u *UnreachableError) verdict() error {
	if u.last != nil && !u.received {
		return u.last
	}
	return u
}

func refusal(r Result) error {
	if r.Code() == codes.OK {
		return nil
	}
	return &RefusedError{r}
}
