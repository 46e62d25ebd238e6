package gates

import (
	"errors"
	"fmt"
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

// Unreachable says that no gate answered; a write's outcome is unknown if one of them may have received it.
type Unreachable struct {
	tried    []string
	received bool
	last     *Refused
}

// MayHaveTakenEffect tells whether a gate may have received the call.
func (u *Unreachable) MayHaveTakenEffect() bool { return u.received }

// Error returns each gate tried and why it gave no answer.
func (u *Unreachable) Error() string {
	what := "no gate answered; nothing was changed"
	if u.received {
		what = "outcome unknown: a gate may have received the call but no answer came"
	}
	return what + "\n  " + strings.Join(u.tried, "\n  ")
}

func (u *Unreachable) note(gate string, err error, received bool) {
	line := fmt.Sprintf("%s: %s", gate, err)
	if len(u.tried) == 0 || u.tried[len(u.tried)-1] != line {
		u.tried = append(u.tried, line)
	}
	u.received = u.received || received
	var refused *Refused
	if errors.As(err, &refused) {
		u.last = refused
	}
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
