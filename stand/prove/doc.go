// Package prove holds the proofs on real processes: gates are killed, frozen, cut off and replaced while work runs.
package prove
