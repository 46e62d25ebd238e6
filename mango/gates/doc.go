// Package gates sends a call to the gates in turn until one answers. The error of a call without an answer states whether
// the call may have taken effect.
package gates
