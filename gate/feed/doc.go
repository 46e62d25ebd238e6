// Package feed keeps a gate's copy of the configuration fresh: from the platform, and from other gates when the
// platform turns this gate away.
package feed
