package plat

import (
	"errors"
	"fmt"
)

// Effect says whether a failed call may have taken effect.
type Effect uint8

// Effects of a failed call. The zero value is EffectUnknown.
const (
	EffectUnknown Effect = iota // bytes may have been sent, but no complete and valid answer was received
	EffectNone                  // nothing was sent, so the call had no effect
	EffectRefused               // the server refused the call with a 4xx status, so it had no effect
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

// CallError is the error of every failed call.
type CallError struct {
	call   string
	effect Effect
	status int
	detail string
	cause  error
}

// Effect returns whether the call may have taken effect.
func (f *CallError) Effect() Effect { return f.effect }

// Status returns the HTTP status of the answer, 0 if there was none.
func (f *CallError) Status() int { return f.status }

// Detail returns the text of the answer, truncated to 512 bytes.
func (f *CallError) Detail() string { return f.detail }

// Unwrap returns the cause, nil if the error is the answer's status.
func (f *CallError) Unwrap() error { return f.cause }

// Error returns a message with the call, its effect and the cause or status.
func (f *CallError) Error() string {
	if f.cause != nil {
		return fmt.Sprintf("%s: effect %s: %s", f.call, f.effect, f.cause)
	}
	return fmt.Sprintf("%s: effect %s: status %d: %s", f.call, f.effect, f.status, f.detail)
}

// EffectOf returns the effect of the CallError that err wraps, EffectUnknown for any other error.
func EffectOf(err error) Effect {
	var f *CallError
	if errors.As(err, &f) {
		return f.effect
	}
	return EffectUnknown
}
