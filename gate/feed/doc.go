// Package feed keeps a gate's copy of the configuration up to date, from the platform or, if this gate can't reach the
// platform, from other gates. It also lets an owner hand over the ownership to a stronger or better connected gate.
package feed
