// Package gates sends calls to the gates in turn until one answers, and tells what became of a call that none answered.
package gates
