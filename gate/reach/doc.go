// Package reach decides whether a gate is cut off from the log and the owner while others are not. It is a state machine that
// is fed with times; it uses neither network nor clock.
package reach
