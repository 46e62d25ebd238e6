package gates

import (
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strings"

	"mangowing/core/codes"
)

// Refused is an answer in which a gate says that the call changed nothing, or not yet everywhere.
type Refused struct {
	result Result
}

// Result returns the gate's answer.
func (r *Refused) Result() Result { return r.result }

// Error returns number, name, detail and every fault.
func (r *Refused) Error() string {
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

// Unreachable says that no gate answered; a write's outcome is unknown if one of them may have received it.
type Unreachable struct {
	tried    []attempt
	received bool
	last     *Refused
}

// MayHaveTakenEffect tells whether a gate may have received the call.
func (u *Unreachable) MayHaveTakenEffect() bool { return u.received }

// Error returns each gate tried and why it gave no answer the last time.
func (u *Unreachable) Error() string {
	lines := []string{"no gate answered; nothing was changed"}
	if u.received {
		lines[0] = "outcome unknown: a gate may have received the call but no answer came"
	}
	for _, a := range u.tried {
		lines = append(lines, fmt.Sprintf("  %s: %s", a.gate, a.problem))
	}
	return strings.Join(lines, "\n")
}

func (u *Unreachable) note(gate string, err error, received bool) {
	i := slices.IndexFunc(u.tried, func(a attempt) bool { return a.gate == gate })
	if i < 0 {
		i = len(u.tried)
		u.tried = append(u.tried, attempt{gate: gate})
	}
	u.tried[i].problem = problem(err)
	u.received = u.received || received
	var refused *Refused
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
func (u *Unreachable) verdict() error {
	if u.last != nil && !u.received {
		return u.last
	}
	return u
}

func refusal(r Result) error {
	if r.Code() == codes.OK {
		return nil
	}
	return &Refused{r}
}
