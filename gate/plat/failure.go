package plat

import (
	"errors"
	"fmt"
)

// Effect is what is known about the effect of a call that failed.
type Effect uint8

// The three effects; the zero value is EffectUnknown.
const (
	EffectUnknown Effect = iota // bytes may have been sent and no whole answer came
	EffectNone                  // no byte was sent: surely not done
	EffectRefused               // the other side refused with a 4xx status: not done
)

// String returns unknown, none or refused.
func (e Effect) String() string {
	switch e {
	case EffectNone:
		return "none"
	case EffectRefused:
		return "refused"
	default:
		return "unknown"
	}
}

// CallError is the error of every call of this package.
type CallError struct {
	call   string
	effect Effect
	status int
	detail string
	cause  error
}

// Effect returns what is known about the call's effect.
func (f *CallError) Effect() Effect { return f.effect }

// Status returns the HTTP status of the answer, 0 if there was none.
func (f *CallError) Status() int { return f.status }

// Detail returns the text of the other side's answer, shortened.
func (f *CallError) Detail() string { return f.detail }

// Unwrap returns the cause, nil for an answer with a bad status.
func (f *CallError) Unwrap() error { return f.cause }

// Error returns call, effect and cause.
func (f *CallError) Error() string {
	if f.cause != nil {
		return fmt.Sprintf("%s: effect %s: %s", f.call, f.effect, f.cause)
	}
	return fmt.Sprintf("%s: effect %s: status %d: %s", f.call, f.effect, f.status, f.detail)
}

// EffectOf returns the effect of a failed call, EffectUnknown for an error of another kind.
func EffectOf(err error) Effect {
	var f *CallError
	if errors.As(err, &f) {
		return f.effect
	}
	return EffectUnknown
}
